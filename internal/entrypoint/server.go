package entrypoint

import (
	"context"
	"io"
	"math"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/buckthorndock/buckthorndock/internal/core/conntable"
)

// Options configure a Server.
type Options struct {
	Name     string // of the listener, in metrics and log lines
	Handler  http.Handler
	MaxConns int                     // open at once
	Limits   func() conntable.Limits // those in force
	// Overloaded reports whether new connections are to be closed unread, because others can serve
	// them. If nil, none is.
	Overloaded func() bool
	// OnTurnedAway is called for each connection that is closed for lack of room. It may be nil.
	OnTurnedAway func()
	// ConnContext is that of http.Server, for the connections as the listener accepts them. It may be nil.
	ConnContext func(ctx context.Context, c net.Conn) context.Context
}

// Server is an HTTP server within the bounds of its process.
type Server struct {
	*http.Server
	bounds *Bounds
	name   string
	opts   Options
	group  *conntable.Group
}

// reasonOverload counts connections that Options.Overloaded turned away.
const reasonOverload conntable.Reason = "overload"

// NewServer returns a server that shares the bounds.
func (b *Bounds) NewServer(o Options) *Server {
	s := &Server{bounds: b, name: o.Name, opts: o}
	b.mu.Lock()
	s.group = b.table.AddGroup(o.MaxConns, o.Limits)
	b.mu.Unlock()
	s.Server = &http.Server{
		Handler:        http.HandlerFunc(s.serveHTTP),
		MaxHeaderBytes: math.MaxInt32, // the table has the limit in force
		ConnState:      s.stateChanged,
		ConnContext:    s.connContext,
	}
	for _, why := range []conntable.Reason{conntable.HeadTimeout, conntable.HeadTooLong, conntable.HeadMemory, conntable.Room, conntable.Full, conntable.IdleTimeout} {
		closedCounter(o.Name, why) // shown from the start
	}
	return s
}

// Open returns the number of open connections.
func (s *Server) Open() int {
	s.bounds.mu.Lock()
	defer s.bounds.mu.Unlock()
	return s.group.Open()
}

// Listen opens a TCP listener for the server at an IP:port. What the kernel receives for its connections
// and the process does not read is bounded.
func (s *Server) Listen(address string) (net.Listener, error) {
	size := s.bounds.memory.receiveBuffer(s.opts.MaxConns)
	c := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var failed error
		err := raw.Control(func(fd uintptr) {
			// Connections inherit it. It must be set before they are made.
			failed = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, size)
		})
		if err != nil {
			return err
		}
		return failed
	}}
	l, err := c.Listen(context.Background(), "tcp", address)
	return l, merry.Prependf(err, "listen at %s", address)
}

// Serve serves the connections of a listener, as http.Server.Serve.
func (s *Server) Serve(l net.Listener) error {
	return s.Server.Serve(&listener{Listener: l, server: s})
}

func (s *Server) count(why conntable.Reason) {
	closedCounter(s.name, why).Inc()
	if (why == conntable.Room || why == conntable.Full) && s.opts.OnTurnedAway != nil {
		s.opts.OnTurnedAway()
	}
}

// admit adds a new connection to the table. It returns nil if the connection was turned away.
func (s *Server) admit(raw net.Conn) *conn {
	if s.opts.Overloaded != nil && s.opts.Overloaded() {
		s.count(reasonOverload)
		_ = raw.Close() // nothing has been read from it
		return nil
	}
	c := &conn{Conn: raw, server: s}
	s.bounds.step(func(now time.Time) (evicted []conntable.Eviction) {
		c.entry, evicted = s.group.Add(now)
		if c.entry != nil {
			c.entry.Data = c
		}
		return evicted
	})
	if c.entry == nil {
		s.count(conntable.Full)
		_ = raw.Close() // nothing has been read from it
		return nil
	}
	return c
}

type connKey struct{}

func (s *Server) connContext(ctx context.Context, c net.Conn) context.Context {
	own := c.(*conn)
	if s.opts.ConnContext != nil {
		ctx = s.opts.ConnContext(ctx, own.Conn)
	}
	return context.WithValue(ctx, connKey{}, own)
}

func (s *Server) serveHTTP(w http.ResponseWriter, r *http.Request) {
	c := r.Context().Value(connKey{}).(*conn)
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	hasBody := r.Body != nil && r.Body != http.NoBody
	s.bounds.step(func(now time.Time) []conntable.Eviction {
		c.entry.Serve(hasBody, now)
		c.cancelRequest = cancel
		return nil
	})
	r = r.WithContext(ctx)
	if hasBody {
		r.Body = &body{ReadCloser: r.Body, conn: c}
	}
	s.opts.Handler.ServeHTTP(w, r)
}

// body tells the table where the body of a request ends.
type body struct {
	io.ReadCloser
	conn *conn
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		b.conn.server.bounds.step(func(time.Time) []conntable.Eviction {
			b.conn.entry.EndBody()
			return nil
		})
	}
	return n, err
}

// stateChanged is the http.Server's ConnState hook.
func (s *Server) stateChanged(c net.Conn, state http.ConnState) {
	own := c.(*conn)
	switch state {
	case http.StateIdle:
		s.bounds.step(func(now time.Time) []conntable.Eviction {
			own.entry.Finish(now)
			return nil
		})
	case http.StateClosed, http.StateHijacked:
		own.released.Store(true)
		s.bounds.step(func(time.Time) []conntable.Eviction {
			own.entry.Remove()
			return nil
		})
	}
}

// listener turns connections away for which there is no room.
type listener struct {
	net.Listener
	server *Server
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.server.admit(raw); c != nil {
			return c, nil
		}
	}
}
