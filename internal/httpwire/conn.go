package httpwire

import (
	"bufio"
	"context"
	"errors"
	"net"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// conn is one connection to an upstream, used by one request at a time.
type conn struct {
	net.Conn
	reader  *HeadReader
	bw      *bufio.Writer
	address string
	expires time.Time // while idle: not used from then on

	checkByRead bool // see Options
}

// Buffer sizes of a connection, in bytes.
const (
	readBuffer  = 4 << 10
	writeBuffer = 4 << 10
)

// DialFunc opens a TCP connection to an address, IP:port.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// DialOptions configure the connections of a dialer. All must be positive.
type DialOptions struct {
	UserTimeout   time.Duration // bytes unacknowledged for this long break a connection
	ProbeIdle     time.Duration // silence before the first keep-alive probe
	ProbeInterval time.Duration // between two probes
	ProbeCount    int           // unanswered probes that break a connection
}

// NewDialer returns a function that opens connections with the given options.
func NewDialer(o DialOptions) DialFunc {
	dialer := net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     o.ProbeIdle,
			Interval: o.ProbeInterval,
			Count:    o.ProbeCount,
		},
		Control: func(_, _ string, raw syscall.RawConn) error { return setUserTimeout(raw, o.UserTimeout) },
	}
	return func(ctx context.Context, address string) (net.Conn, error) {
		return dialer.DialContext(ctx, "tcp", address)
	}
}

// dial opens a connection within the pool's timeout.
func (p *Pool) dial(ctx context.Context, address string) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, p.opts.DialTimeout)
	defer cancel()
	c, err := p.opts.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return &conn{
		Conn:    c,
		reader:  NewHeadReader(c, p.opts.Memory),
		bw:      bufio.NewWriterSize(c, writeBuffer),
		address: address,

		checkByRead: p.opts.CheckByRead,
	}, nil
}

// setUserTimeout sets how long written bytes may stay unacknowledged before the kernel
// breaks the connection.
func setUserTimeout(raw syscall.RawConn, timeout time.Duration) error {
	var sockErr error
	err := raw.Control(func(fd uintptr) {
		sockErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return sockErr
}

// socket returns the connection's socket, nil if it goes through another daemon.
func (c *conn) socket() syscall.RawConn {
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return nil
	}
	return raw
}

// canBeChecked reports whether isUsable can tell the state of the connection while it is idle.
func (c *conn) canBeChecked() bool { return c.checkByRead || c.socket() != nil }

// isUsable reports whether an idle connection is open and has no unread bytes. Such
// bytes cannot be the answer to a request that is not sent yet.
func (c *conn) isUsable() bool {
	if len(c.reader.Buffered()) > 0 {
		return false
	}
	if raw := c.socket(); raw != nil {
		return hasNoData(raw)
	}
	return c.checkByRead && c.isSilent()
}

// hasNoData reports whether an open socket has no unread bytes.
func hasNoData(raw syscall.RawConn) bool {
	noData := false
	err := raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		noData = err == unix.EAGAIN || err == unix.EWOULDBLOCK
		return true
	})
	return err == nil && noData
}

// silentReadTime is how long a read waits that is to find nothing.
const silentReadTime = time.Millisecond

// isSilent reports whether a read finds neither bytes nor the end of the connection. What it reads is lost.
func (c *conn) isSilent() bool {
	if err := c.SetReadDeadline(time.Now().Add(silentReadTime)); err != nil {
		return false
	}
	n, err := c.Conn.Read(make([]byte, 1))
	if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
		return false
	}
	return c.SetReadDeadline(time.Time{}) == nil
}
