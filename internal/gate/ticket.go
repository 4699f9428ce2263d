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
	Waited time.Duration // in the queue

	gate  *Gate
	pool  *pool
	chain []admission.Node
	cost  admission.Cost
	done  atomic.Bool
}

// Done ends the request: its limits are given back, put right by the tokens it
// used, prompt and answer, and the pool's queue is tried. Only the first call
// counts.
func (t *Ticket) Done(outcome request.Outcome, tokens int) {
	if !t.done.CompareAndSwap(false, true) {
		return
	}
	if outcome == request.NotRun {
		tokens = 0
	}
	t.release(tokens)
	metrics.GetOrCreateCounter(`buckthorndock_gate_done_total{outcome="` + string(outcome) + `"}`).Inc()
	t.pool.kick()
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
