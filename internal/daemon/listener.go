package daemon

import (
	"net"
	"sync"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
)

var connectionsRefused = metrics.NewCounter("buckthorndock_connections_refused_total")

// limitedListener allows max open connections and closes further ones at once, so
// that callers cannot use up the file descriptors of the process.
type limitedListener struct {
	net.Listener
	max  int64
	open atomic.Int64
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= l.max {
			return &limitedConn{Conn: conn, listener: l}, nil
		}
		l.open.Add(-1)
		connectionsRefused.Inc()
		_ = conn.Close()
	}
}

// limitedConn is a connection that is counted until it is closed.
type limitedConn struct {
	net.Conn
	listener *limitedListener
	once     sync.Once
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	c.once.Do(func() { c.listener.open.Add(-1) })
	return c.Conn.Close()
}
