package peer

import (
	"net"
	"sync/atomic"
	"time"
)

// countingConn counts the bytes on the wire, including those of TLS, and gives each
// write a timeout. For tests it can be made silent, like a connection whose state a
// device between the ends has lost.
type countingConn struct {
	net.Conn
	writeTimeout time.Duration // zero: none
	sent         atomic.Uint64
	received     atomic.Uint64
	lastRead     atomic.Int64 // time of the last read of data, as UnixNano
	silent       atomic.Bool  // discards all data read and written
	strictEnd    atomic.Bool  // io.EOF is an error: see carryStream
	closed       atomic.Bool
}

func newCountingConn(c net.Conn, writeTimeout time.Duration) *countingConn {
	return &countingConn{Conn: c, writeTimeout: writeTimeout}
}

// Read reads from the connection and counts the bytes.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	for c.silent.Load() && err == nil {
		n, err = c.Conn.Read(p)
	}
	if n > 0 {
		c.received.Add(uint64(n))
		c.lastRead.Store(time.Now().UnixNano())
	}
	return n, c.endOf(err)
}

// Write writes to the connection, fails after the write timeout, and counts the
// bytes.
func (c *countingConn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	if err := c.Conn.SetWriteDeadline(c.writeDeadline()); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	c.sent.Add(uint64(n))
	return n, err
}

// writeDeadline returns when a write that begins now times out; zero: never.
func (c *countingConn) writeDeadline() time.Time {
	if c.writeTimeout == 0 {
		return time.Time{}
	}
	return time.Now().Add(c.writeTimeout)
}

// SetWriteDeadline does nothing, because Write sets its own deadline.
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

// readSince reports whether any data was read after t.
func (c *countingConn) readSince(t time.Time) bool {
	return c.lastRead.Load() > t.UnixNano()
}
