package standin

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/buckthorndock/buckthorndock/internal/core/conntable"
	"github.com/buckthorndock/buckthorndock/internal/entrypoint"
)

const (
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 5 * time.Minute
	maxHeaderBytes    = 64 << 10
	shutdownTimeout   = 2 * time.Second
)

// DefaultMemoryMB is the memory that the process of a stand-in may use, in 2^20 bytes.
const DefaultMemoryMB = 1024

// NewBounds returns the bounds of all stand-ins of a process that may use memoryMB.
func NewBounds(memoryMB float64) *entrypoint.Bounds {
	return entrypoint.NewBounds(entrypoint.MB(memoryMB), logrus.NewEntry(logrus.StandardLogger()))
}

// limits returns the limits on what a client sends.
func limits() conntable.Limits {
	return conntable.Limits{HeadBytes: maxHeaderBytes, HeadTimeout: readHeaderTimeout, IdleTimeout: idleTimeout}
}

// Server is the HTTP server of one stand-in.
type Server struct {
	Address string // IP:port

	handler http.Handler
	srv     *entrypoint.Server
	done    chan struct{}
}

// Start serves a stand-in on a free port of 127.0.0.1, within bounds of its own.
func Start(h http.Handler) (*Server, error) {
	return Listen(NewBounds(DefaultMemoryMB), "127.0.0.1:0", h)
}

// Listen serves a stand-in on an IP:port, within the bounds of the process. Port 0 takes a free one.
func Listen(bounds *entrypoint.Bounds, address string, h http.Handler) (*Server, error) {
	s := &Server{
		handler: h,
		srv: bounds.NewServer(entrypoint.Options{
			Name:        "standin",
			Handler:     h,
			MaxConns:    bounds.Memory().MaxConnections(),
			Limits:      limits,
			ConnContext: contextWithConn,
		}),
		done: make(chan struct{}),
	}
	l, err := s.srv.Listen(address)
	if err != nil {
		return nil, err
	}
	s.Address = l.Addr().String()
	conns := &connSet{all: make(map[*conn]struct{})}
	if b, ok := h.(connAttacher); ok {
		b.attach(conns, s.kill)
	}
	go func() {
		defer close(s.done)
		_ = s.srv.Serve(&listener{Listener: l, conns: conns})
	}()
	return s, nil
}

// connAttacher is a stand-in whose faults act on its server's connections.
type connAttacher interface {
	attach(conns *connSet, kill func())
}

// kill closes every connection and the listener.
func (s *Server) kill() {
	_ = s.srv.Close()
}

// Close closes every connection and the stand-in.
func (s *Server) Close() {
	s.kill()
	<-s.done
	if c, ok := s.handler.(io.Closer); ok {
		_ = c.Close()
	}
}

// Shutdown waits up to shutdownTimeout for calls in progress, then closes.
func (s *Server) Shutdown() {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	_ = s.srv.Shutdown(ctx)
	s.Close()
}

type connKey struct{}

func contextWithConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// connSet holds the open connections of a server.
type connSet struct {
	mu  sync.Mutex
	all map[*conn]struct{}
}

// silence makes every open connection silent permanently, except the one that ctx
// belongs to.
func (s *connSet) silence(ctx context.Context) {
	requester, _ := ctx.Value(connKey{}).(*conn)
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.all {
		if c != requester {
			c.silent.Store(true)
		}
	}
}

// listener adds each accepted connection to conns.
type listener struct {
	net.Listener
	conns *connSet
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: nc, set: l.conns, closed: make(chan struct{})}
	l.conns.mu.Lock()
	l.conns.all[c] = struct{}{}
	l.conns.mu.Unlock()
	return c, nil
}

// conn is a connection that can become silent, as if the network dropped its
// packets: writes are discarded, and reads return nothing more, not even the
// peer's close.
type conn struct {
	net.Conn
	set    *connSet
	silent atomic.Bool
	once   sync.Once
	closed chan struct{}
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.silent.Load() {
		<-c.closed
		return 0, net.ErrClosed
	}
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.once.Do(func() {
		close(c.closed)
		c.set.mu.Lock()
		delete(c.set.all, c)
		c.set.mu.Unlock()
	})
	return c.Conn.Close()
}
