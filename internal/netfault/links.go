package netfault

import (
	"context"
	"net"
	"sync"
	"syscall"
)

// Fault is what happens to the connections of Links.
type Fault string

// Faults of Links.
const (
	None   Fault = ""       // connections work
	Hang   Fault = "hang"   // no byte passes, and new connections are neither accepted nor refused
	Reset  Fault = "reset"  // open connections are reset, new ones refused
	Refuse Fault = "refuse" // open connections work, new ones are refused
)

// Known reports whether a fault is one of the above.
func (f Fault) Known() bool {
	switch f {
	case None, Hang, Reset, Refuse:
		return true
	}
	return false
}

// Links are the connections that are opened by Dial. They are safe for concurrent use.
type Links struct {
	dial func(ctx context.Context, address string) (net.Conn, error)

	mu      sync.Mutex
	fault   Fault
	changed chan struct{} // closed and replaced when fault changes
	open    map[*conn]bool
}

// New returns Links without a fault whose connections are opened by dial, which must return
// a *net.TCPConn.
func New(dial func(ctx context.Context, address string) (net.Conn, error)) *Links {
	return &Links{dial: dial, changed: make(chan struct{}), open: map[*conn]bool{}}
}

// Set replaces the fault.
func (l *Links) Set(f Fault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fault = f
	close(l.changed)
	l.changed = make(chan struct{})
	if f != Reset {
		return
	}
	for c := range l.open {
		c.reset()
	}
}

func (l *Links) state() (f Fault, changed <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fault, l.changed
}

// Dial opens a connection. While connections hang, it waits until the context ends.
func (l *Links) Dial(ctx context.Context, address string) (net.Conn, error) {
	for {
		f, changed := l.state()
		switch f {
		case Reset, Refuse:
			return nil, dialError(address, syscall.ECONNREFUSED)
		case Hang:
			select {
			case <-changed:
				continue
			case <-ctx.Done():
				return nil, dialError(address, ctx.Err())
			}
		}
		raw, err := l.dial(ctx, address)
		if err != nil {
			return nil, err
		}
		return l.track(raw.(*net.TCPConn)), nil
	}
}

func dialError(address string, err error) error {
	to, parseErr := net.ResolveTCPAddr("tcp", address)
	if parseErr != nil {
		return &net.OpError{Op: "dial", Net: "tcp", Err: err}
	}
	return &net.OpError{Op: "dial", Net: "tcp", Addr: to, Err: err}
}

func (l *Links) track(raw *net.TCPConn) *conn {
	c := &conn{TCPConn: raw, links: l, closed: make(chan struct{})}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open[c] = true
	return c
}

// conn is one connection of Links.
type conn struct {
	*net.TCPConn
	links  *Links
	once   sync.Once
	closed chan struct{}

	mu       sync.Mutex
	wasReset bool
}

// reset breaks the connection for both ends.
func (c *conn) reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.wasReset = true
	_ = c.SetLinger(0)
	_ = c.TCPConn.Close()
}

// awaitPassage waits while connections hang. It returns early when the connection is closed.
func (c *conn) awaitPassage() {
	for {
		f, changed := c.links.state()
		if f != Hang {
			return
		}
		select {
		case <-changed:
		case <-c.closed:
			return
		}
	}
}

// result replaces the error of an operation on a connection that was reset.
func (c *conn) result(n int, err error) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil && c.wasReset {
		err = syscall.ECONNRESET
	}
	return n, err
}

// Read reads bytes; those that arrive while connections hang are read afterwards.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	c.awaitPassage()
	return c.result(n, err)
}

// Write writes bytes as soon as connections do not hang.
func (c *conn) Write(p []byte) (int, error) {
	c.awaitPassage()
	return c.result(c.TCPConn.Write(p))
}

// Close closes the connection.
func (c *conn) Close() error {
	c.once.Do(func() {
		close(c.closed)
		c.links.mu.Lock()
		delete(c.links.open, c)
		c.links.mu.Unlock()
	})
	return c.TCPConn.Close()
}
