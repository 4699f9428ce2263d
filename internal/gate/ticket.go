package gate

import (
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/buckthorndock/buckthorndock/internal/core/admission"
	"github.com/buckthorndock/buckthorndock/internal/core/request"
)

// Ticket is the right to work on one admitted request.
type Ticket struct {
	Waited time.Duration // time spent in the queue

	gate  *Gate
	pool  *pool
	chain []admission.Node
	cost  admission.Cost
	done  atomic.Bool
}

// Done ends the request: it releases its share of the limits, corrects the charge to
// the tokens that were used (prompt and answer; none for request.NotRun), and
// processes the pool's queue. Only the first call has an effect.
func (t *Ticket) Done(outcome request.Outcome, tokens int) {
	if !t.done.CompareAndSwap(false, true) {
		return
	}
	if outcome == request.NotRun {
		tokens = 0
	}
	t.release(tokens)
	metrics.GetOrCreateCounter(`buckthorndock_gate_done_total{outcome="` + string(outcome) + `"}`).Inc()
	t.pool.retryQueued()
}

func (t *Ticket) release(tokens int) {
	g := t.gate
	now := g.opts.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limiter.Done(t.chain, t.cost, tokens, now)
}

var (
	admitted  = metrics.NewCounter("buckthorndock_gate_admitted_total")
	queueTime = metrics.NewHistogram("buckthorndock_gate_queue_seconds")
)

func countRefused(code request.Code) {
	metrics.GetOrCreateCounter(`buckthorndock_gate_refused_total{code="` + string(code) + `"}`).Inc()
}
