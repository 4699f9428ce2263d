package entrypoint

import (
	"errors"
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/core/conntable"
)

// conn is a connection of a client that the table knows.
type conn struct {
	net.Conn
	server *Server
	entry  *conntable.Conn
	// released: the connection is no longer one of the server.
	released atomic.Bool
	// cancelRequest cancels the last request: while there are bytes behind it, net/http does not notice
	// the end of the connection. It is set under the lock of the bounds.
	cancelRequest func()
}

// Read implements net.Conn. It reports what was read to the table, which may let the connection go.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 || c.released.Load() {
		return n, err
	}
	letGo := false
	c.server.bounds.step(func(now time.Time) []conntable.Eviction {
		evicted := c.entry.Received(p[:n], now)
		for _, e := range evicted {
			letGo = letGo || e.Conn == c.entry
		}
		return evicted
	})
	if letGo {
		return 0, io.EOF
	}
	return n, err
}

// CloseWrite ends the side of the connection that is written. net/http and tunnels look for it.
func (c *conn) CloseWrite() error {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return errors.ErrUnsupported
	}
	return half.CloseWrite()
}

// Limits on what is still read from a client whose head is refused: closed with unread bytes, the
// connection would be reset and the refusal lost.
const (
	refusalTime  = 500 * time.Millisecond
	refusalBytes = 256 << 10
)

// tooLong is the answer to a head over the limit.
const tooLong = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\n" +
	"431 Request Header Fields Too Large"

// refuseHead answers a head that is too long and closes the connection. Its server reads no more of it.
func (c *conn) refuseHead() {
	_ = c.Conn.SetDeadline(time.Now().Add(refusalTime)) // of a connection that has ended otherwise
	if _, err := io.WriteString(c.Conn, tooLong); err == nil && c.CloseWrite() == nil {
		_, _ = io.CopyN(io.Discard, c.Conn, refusalBytes) // ends with the client or the deadline
	}
	_ = c.Conn.Close()
}
