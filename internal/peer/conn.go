package peer

import (
	"net"
	"sync/atomic"
	"time"
)

// countingConn counts the bytes on the wire, TLS included, and bounds each
// write. It may be made silent, as a connection is of which something between
// the ends lost track.
type countingConn struct {
	net.Conn
	writeTimeout time.Duration
	sent         atomic.Uint64
	received     atomic.Uint64
	lastRead     atomic.Int64 // UnixNano
	silent       atomic.Bool
	closed       atomic.Bool
}

func newCountingConn(c net.Conn, writeTimeout time.Duration) *countingConn {
	return &countingConn{Conn: c, writeTimeout: writeTimeout}
}

// Read counts what it reads.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	for c.silent.Load() && err == nil {
		n, err = c.Conn.Read(p)
	}
	if n > 0 {
		c.received.Add(uint64(n))
		c.lastRead.Store(time.Now().UnixNano())
	}
	return n, err
}

// Write counts what it writes and fails after the write timeout.
func (c *countingConn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	if err := c.Conn.SetWriteDeadline(time.Now().Add(c.writeTimeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	c.sent.Add(uint64(n))
	return n, err
}

// SetWriteDeadline does nothing: Write sets its own.
func (c *countingConn) SetWriteDeadline(time.Time) error {
	return nil
}

// Close closes the connection; it may be called more than once.
func (c *countingConn) Close() error {
	if c.closed.Swap(true) {
		return nil
	}
	return c.Conn.Close()
}

// readSince tells whether anything arrived after a time.
func (c *countingConn) readSince(t time.Time) bool {
	return c.lastRead.Load() > t.UnixNano()
}
