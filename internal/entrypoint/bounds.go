package entrypoint

import (
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"github.com/buckthorndock/buckthorndock/internal/core/conntable"
)

// Limits of the log lines about connections that are let go. All of them are counted.
const (
	evictionLogsPerSecond = 2
	evictionLogsBurst     = 10
)

// maxSweepInterval bounds the time until changed limits apply to connections that are open, and
// minSweepInterval how often they are looked at.
const (
	maxSweepInterval = time.Second
	minSweepInterval = 10 * time.Millisecond
)

// Bounds are shared by all HTTP servers of a process. They are safe for concurrent use.
type Bounds struct {
	memory Memory
	log    *logrus.Entry

	mu         sync.Mutex
	table      *conntable.Table
	sweep      *time.Timer // nil until there is a connection
	armed      bool        // sweep will run
	logs       *rate.Limiter
	suppressed int // evictions since the last line that had none of their own
}

// NewBounds returns the bounds of a process that may use m.
func NewBounds(m Memory, log *logrus.Entry) *Bounds {
	b := &Bounds{
		memory: m,
		log:    log,
		table:  conntable.New(m.Share(headShare)),
		logs:   rate.NewLimiter(evictionLogsPerSecond, evictionLogsBurst),
	}
	metrics.GetOrCreateGauge(`buckthorndock_head_memory_bytes`, func() float64 { return float64(b.HeadMemory()) })
	return b
}

// Memory returns what the process may use.
func (b *Bounds) Memory() Memory { return b.memory }

// HeadMemory returns the memory in bytes that is counted for heads of requests.
func (b *Bounds) HeadMemory() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.table.Held()
}

// step changes the table, and then closes the connections that it lets go.
func (b *Bounds) step(do func(now time.Time) []conntable.Eviction) {
	b.mu.Lock()
	evicted := do(time.Now())
	b.arm()
	b.mu.Unlock()
	for _, e := range evicted {
		b.letGo(e)
	}
}

// arm has the connections looked at when the next one expires. The caller holds the lock.
func (b *Bounds) arm() {
	if b.armed {
		return
	}
	next, ok := b.table.NextExpiry()
	if !ok {
		return
	}
	b.armed = true
	after := min(max(time.Until(next), minSweepInterval), maxSweepInterval)
	if b.sweep == nil {
		b.sweep = time.AfterFunc(after, b.expire)
		return
	}
	b.sweep.Reset(after)
}

// expire lets the connections go whose time is over.
func (b *Bounds) expire() {
	b.step(func(now time.Time) []conntable.Eviction {
		b.armed = false
		return b.table.Expired(now)
	})
}

// letGo closes a connection that the table has let go, counts it and logs it within the limits.
func (b *Bounds) letGo(e conntable.Eviction) {
	c := e.Conn.Data.(*conn)
	b.mu.Lock()
	cancel := c.cancelRequest
	b.mu.Unlock()
	c.server.count(e.Reason)
	if e.Reason != conntable.IdleTimeout {
		b.logEviction(c, e)
	}
	if e.Reason == conntable.HeadTooLong {
		c.refuseHead()
		return
	}
	_ = c.Conn.Close() // its server sees the error of the read
	if cancel != nil {
		cancel()
	}
}

func (b *Bounds) logEviction(c *conn, e conntable.Eviction) {
	b.mu.Lock()
	allowed := b.logs.Allow()
	suppressed := b.suppressed
	if allowed {
		b.suppressed = 0
	} else {
		b.suppressed++
	}
	held := b.table.Held()
	b.mu.Unlock()
	if !allowed {
		return
	}
	b.log.WithFields(logrus.Fields{
		"listener":          c.server.name,
		"from":              c.RemoteAddr().String(),
		"reason":            e.Reason,
		"head_bytes":        e.HeadBytes,
		"head_lines":        e.HeadLines,
		"age_ms":            e.Age.Milliseconds(),
		"head_memory_bytes": held,
		"not_logged":        suppressed,
	}).Warn("connection_let_go")
}

// closedCounter returns the counter of a listener's connections that were closed for a reason.
func closedCounter(listener string, why conntable.Reason) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf(`buckthorndock_connections_closed_total{listener=%q,reason=%q}`, listener, why))
}
