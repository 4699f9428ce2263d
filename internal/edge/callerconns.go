package edge

import (
	"container/list"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// callerConns bounds the connections of callers: their number, and how long each stays idle. The
// latter replaces http.Server.IdleTimeout, which cannot change while the server runs.
type callerConns struct {
	maxOpen    int // 0: not limited
	idleLimit  func() time.Duration
	overloaded func() bool // new connections are to be closed unread, for other daemons can serve them

	mu   sync.Mutex
	open map[net.Conn]*callerConn
	idle *list.List // of *callerConn, the longest idle first
}

// callerConn is an open connection.
type callerConn struct {
	net.Conn
	timer *time.Timer   // closes it; nil unless it is idle
	place *list.Element // in callerConns.idle; nil unless it is idle
}

func newCallerConns(maxOpen int, idleLimit func() time.Duration, overloaded func() bool) *callerConns {
	return &callerConns{maxOpen: maxOpen, idleLimit: idleLimit, overloaded: overloaded, open: map[net.Conn]*callerConn{}, idle: list.New()}
}

var (
	idleConnsEvicted  = metrics.GetOrCreateCounter(`buckthorndock_caller_connections_closed_total{reason="room"}`)
	newConnsTurnedOff = metrics.GetOrCreateCounter(`buckthorndock_caller_connections_closed_total{reason="full"}`)
	newConnsNotServed = metrics.GetOrCreateCounter(`buckthorndock_caller_connections_closed_total{reason="overload"}`)
)

// stateChanged is the http.Server's ConnState hook.
func (c *callerConns) stateChanged(conn net.Conn, s http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch s {
	case http.StateNew:
		c.add(conn)
	case http.StateIdle:
		c.markIdle(c.open[conn])
	case http.StateActive:
		c.markBusy(c.open[conn])
	case http.StateClosed, http.StateHijacked:
		c.markBusy(c.open[conn])
		delete(c.open, conn)
	}
}

// add adds a new connection, unless the daemon is overloaded. If there are too many, the one that has been idle for longest is closed;
// if none is idle, the new one, whose caller can try another daemon at once.
func (c *callerConns) add(conn net.Conn) {
	if c.overloaded() {
		newConnsNotServed.Inc()
		_ = conn.Close() // nothing has been read from it
		return
	}
	if c.maxOpen > 0 && len(c.open) >= c.maxOpen {
		longest := c.idle.Front()
		if longest == nil {
			newConnsTurnedOff.Inc()
			_ = conn.Close() // nothing has been read from it
			return
		}
		idleConnsEvicted.Inc()
		c.close(longest.Value.(*callerConn))
	}
	c.open[conn] = &callerConn{Conn: conn}
}

// close closes an idle connection.
func (c *callerConns) close(conn *callerConn) {
	c.markBusy(conn)
	delete(c.open, conn.Conn)
	_ = conn.Close() // no request is in progress on it
}

func (c *callerConns) markIdle(conn *callerConn) {
	if conn == nil || conn.place != nil {
		return
	}
	conn.place = c.idle.PushBack(conn)
	conn.timer = time.AfterFunc(c.idleLimit(), func() { c.expire(conn) })
}

// markBusy removes a connection from the idle ones.
func (c *callerConns) markBusy(conn *callerConn) {
	if conn == nil || conn.place == nil {
		return
	}
	c.idle.Remove(conn.place)
	conn.timer.Stop()
	conn.place, conn.timer = nil, nil
}

func (c *callerConns) expire(conn *callerConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if conn.place != nil { // else a request has arrived in the meantime
		c.close(conn)
	}
}
