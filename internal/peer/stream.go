package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
)

// streamProtocol is the application protocol, negotiated in the TLS handshake, of connections
// that carry HTTP in place of net/rpc. A daemon of an earlier release negotiates none.
const streamProtocol = "buckthorndock-stream"

// purposeStreams is the purpose under which the bytes of streams are counted.
const purposeStreams = "streams"

// ErrNoStreams means that a peer serves no streams.
var ErrNoStreams = merry.Sentinel("the peer serves no streams")

// errStreamCut replaces io.EOF when a stream ends without the TLS alert that announces its end.
var errStreamCut = merry.Sentinel("the stream was cut off")

// streamKeepAlive finds the other end of a stream dead within two seconds.
var streamKeepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: 500 * time.Millisecond, Count: 3}

// StreamServer serves the HTTP requests of peers on streams.
type StreamServer interface {
	Serve(net.Listener) error
	Close() error
}

// MaxStreamHeadBytes bounds the head of a peer's request on a stream: it names an address.
const MaxStreamHeadBytes = 4 << 10

// HandleStreams serves the HTTP requests of peers on streams. It must be called before Run.
func (n *Node) HandleStreams(h http.Handler) {
	s := &streamListener{address: n.server.listener.Addr(), accepted: make(chan net.Conn), closed: make(chan struct{})}
	n.server.streams = s
	if n.opts.NewStreamServer != nil {
		n.server.streamServer = n.opts.NewStreamServer(h)
	} else {
		n.server.streamServer = &http.Server{Handler: h, ReadHeaderTimeout: n.opts.HandshakeTimeout, MaxHeaderBytes: MaxStreamHeadBytes}
	}
	n.serverTLS.NextProtos = []string{streamProtocol}
}

// serveStreams serves the streams of peers, if a handler is set, until the server is closed.
func (n *Node) serveStreams() {
	s := n.server
	if s.streams == nil {
		return
	}
	err := s.streamServer.Serve(s.streams)
	if err != nil && !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		n.log.WithError(err).Error("streams_not_served")
	}
}

// DialStream opens a stream to the peer at an address, on which it serves HTTP/1.1. Its Close
// does not wait for the network.
func (n *Node) DialStream(ctx context.Context, address string) (net.Conn, error) {
	if n.addressCut(address) {
		return nil, ErrCut
	}
	raw, err := n.dial(ctx, address, net.Dialer{KeepAliveConfig: streamKeepAlive})
	if err != nil {
		return nil, err
	}
	cfg := n.clientTLS.Clone()
	cfg.NextProtos = []string{streamProtocol}
	l, err := handshake(ctx, raw, cfg, true, n)
	if err != nil {
		return nil, err
	}
	if l.tls.ConnectionState().NegotiatedProtocol != streamProtocol {
		l.close()
		return nil, ErrNoStreams
	}
	return newStreamConn(l, l.close), nil
}

// streamConn is a stream as a net.Conn.
type streamConn struct {
	net.Conn // of TLS
	link     *link
	onClose  func()
}

func newStreamConn(l *link, onClose func()) *streamConn {
	l.conn.carryStream()
	return &streamConn{Conn: l.tls, link: l, onClose: sync.OnceFunc(onClose)}
}

// Read implements net.Conn. The error is io.EOF only if the peer has announced the end.
func (s *streamConn) Read(p []byte) (int, error) {
	n, err := s.Conn.Read(p)
	s.link.countReceived(purposeStreams)
	return n, err
}

// Write implements net.Conn.
func (s *streamConn) Write(p []byte) (int, error) {
	n, err := s.Conn.Write(p)
	s.link.countSent(purposeStreams)
	return n, err
}

// CloseWrite announces the end of what this side writes.
func (s *streamConn) CloseWrite() error {
	t, ok := s.Conn.(*tls.Conn)
	if !ok {
		return errors.ErrUnsupported
	}
	return t.CloseWrite()
}

// Close closes the connection without announcing an end.
func (s *streamConn) Close() error {
	s.onClose()
	return nil
}

// streamListener passes accepted streams to an HTTP server.
type streamListener struct {
	address   net.Addr
	accepted  chan net.Conn
	closed    chan struct{}
	closeOnce sync.Once
}

// Accept implements net.Listener.
func (l *streamListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accepted:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *streamListener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *streamListener) Addr() net.Addr { return l.address }

// serve passes a link to the HTTP server. onClose is called when it is closed.
func (l *streamListener) serve(link *link, onClose func()) {
	if c, ok := link.conn.Conn.(*net.TCPConn); ok {
		_ = c.SetKeepAliveConfig(streamKeepAlive) // without it the default applies, which is slower
	}
	c := newStreamConn(link, onClose)
	select {
	case l.accepted <- c:
	case <-l.closed:
		_ = c.Close()
	}
}

// carryStream prepares a connection for a stream: a write may wait for a slow reader as long as
// it takes, and an end that TLS has not announced is an error. TLS takes io.EOF between two
// records for a regular end.
func (c *countingConn) carryStream() {
	c.writeTimeout = 0
	c.strictEnd.Store(true)
}

// endOf returns the error of a read of a connection.
func (c *countingConn) endOf(err error) error {
	if err == io.EOF && c.strictEnd.Load() {
		return errStreamCut
	}
	return err
}
