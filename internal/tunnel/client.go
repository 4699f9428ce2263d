package tunnel

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"syscall"

	"github.com/ansel1/merry/v2"

	"github.com/buckthorndock/buckthorndock/internal/httpwire"
)

// ErrUnwilling is wrapped by the errors of tunnels that the other daemon does not open: it
// reaches the upstream no better, does not know it, has too many tunnels, or leaves.
var ErrUnwilling = merry.Sentinel("the daemon opens no tunnel to the upstream")

// errSilentUpstream means that the upstream did not accept the other daemon's connection.
var errSilentUpstream = merry.Sentinel("the upstream accepts no connection of the daemon")

// Statuses of the answer to CONNECT.
const (
	statusRefused   = http.StatusBadGateway         // the upstream refuses the connection
	statusSilent    = http.StatusGatewayTimeout     // no connection for another reason
	statusUnwilling = http.StatusServiceUnavailable // see ErrUnwilling
)

// Dial opens a connection to an upstream's address through the daemon at an address, to which
// dialStream opens a connection. The error is that of Connect.
func Dial(ctx context.Context, dialStream func(context.Context, string) (net.Conn, error), daemon, upstream string) (net.Conn, error) {
	conn, err := dialStream(ctx, daemon)
	if err != nil {
		return nil, merry.Wrap(err, merry.WithCause(ErrUnwilling))
	}
	return Connect(ctx, conn, upstream)
}

// Connect asks the daemon at the other end of conn for a tunnel to an upstream's address. Once
// it returns, conn carries the bytes of that upstream. It closes conn if it fails: with an error
// that wraps ErrUnwilling, or syscall.ECONNREFUSED if the upstream refuses connections.
func Connect(ctx context.Context, conn net.Conn, upstream string) (net.Conn, error) {
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	opened, err := connect(conn, upstream)
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	return opened, nil
}

func connect(conn net.Conn, upstream string) (net.Conn, error) {
	req := &http.Request{Method: http.MethodConnect, URL: &url.URL{Opaque: upstream}, Host: upstream, Header: http.Header{"User-Agent": {""}}}
	if err := req.Write(conn); err != nil {
		return nil, merry.Wrap(err, merry.WithCause(ErrUnwilling))
	}
	reader := httpwire.NewHeadReader(conn, nil)
	res, err := reader.ReadHead(req)
	if err != nil {
		return nil, merry.Wrap(err, merry.WithCause(ErrUnwilling))
	}
	switch res.StatusCode {
	case http.StatusOK:
		return &bufferedConn{Conn: conn, reader: io.MultiReader(bytes.NewReader(reader.Buffered()), conn)}, nil
	case statusRefused:
		return nil, syscall.ECONNREFUSED
	case statusSilent:
		return nil, errSilentUpstream
	}
	return nil, merry.Wrap(ErrUnwilling, merry.AppendMessage(res.Status))
}

// bufferedConn is a connection some of whose bytes have been read into a buffer.
type bufferedConn struct {
	net.Conn
	reader io.Reader
}

// Read reads from the buffer first.
func (c *bufferedConn) Read(p []byte) (int, error) { return c.reader.Read(p) }
