package gate

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/core/admission"
	"github.com/buckthorndock/buckthorndock/internal/core/request"
	"github.com/buckthorndock/buckthorndock/internal/shutdown"
)

// pool holds the queue of one pool. Lock order: pool.mu before Gate.mu.
type pool struct {
	gate *Gate

	mu     sync.Mutex
	opts   PoolOptions
	queue  *admission.Queue
	drain  admission.DrainRate
	timer  *time.Timer // runs retryQueued; set exactly while requests are queued
	closed bool
}

// farFuture is after any deadline.
var farFuture = time.Unix(1<<40, 0)

// waiter is a queued request. Its result is set once, under the pool's lock, before
// ready is closed.
type waiter struct {
	entry    admission.Entry
	request  *request.Request
	queuedAt time.Time
	ready    chan struct{}
	refusal  *request.Refusal // nil when it was admitted
}

func newPool(g *Gate, o PoolOptions) *pool {
	return &pool{gate: g, opts: o, queue: admission.NewQueue(o.Queue)}
}

func (p *pool) setOptions(o PoolOptions) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.opts = o
	p.queue.SetOptions(o.Queue)
	p.processQueue(p.gate.opts.Now())
}

// close refuses all queued requests and all that arrive later.
func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	now := p.gate.opts.Now()
	for _, e := range p.queue.Expire(farFuture) {
		w := e.Value.(*waiter)
		p.finish(w, p.refuse(w.request, request.CodeNoUpstream, now, "the pool was removed"))
	}
	p.processQueue(now)
}

// admit admits the request, at once or from the queue, or returns why it is refused.
func (p *pool) admit(ctx context.Context, r *request.Request, weight int, t *Ticket) *request.Refusal {
	w, refusal := p.admitOrQueue(ctx, r, weight)
	if w == nil {
		return refusal
	}
	select {
	case <-w.ready:
	case <-ctx.Done():
		p.removeWaiter(ctx, w)
	}
	if w.refusal != nil {
		return w.refusal
	}
	t.Waited = p.gate.opts.Now().Sub(w.queuedAt)
	queueTime.Update(t.Waited.Seconds())
	return nil
}

// admitOrQueue admits or refuses the request at once, or queues it and returns its
// waiter. Both results are nil when it is admitted.
func (p *pool) admitOrQueue(ctx context.Context, r *request.Request, weight int) (*waiter, *request.Refusal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.gate.opts.Now()
	latest := r.Deadline.Add(-p.opts.MinServiceTime(r))
	switch {
	case p.closed:
		return nil, p.refuse(r, request.CodeNoUpstream, now, "the pool was removed")
	case ctx.Err() != nil:
		return nil, contextRefusal(ctx)
	case !now.Before(latest):
		return nil, p.refuse(r, request.CodeDeadline, now, "too little time left before the deadline")
	case p.queue.Len() == 0 && p.opts.TryPlace(r):
		p.queue.RecordServed(r.Customer, weight, max(r.TotalTokens(), 1), now)
		return nil, nil
	}
	latest = latest.Add(-p.opts.MaxPlacedWait(r))
	if !now.Before(latest) {
		return nil, p.refuse(r, request.CodeDeadline, now, "no place will be free in time for the deadline")
	}
	w := p.newWaiter(r, weight, latest)
	w.queuedAt = now
	if wait, ok := p.drain.DrainTime(p.queue.CostAhead(&w.entry), now); ok && now.Add(wait).After(latest) {
		return nil, p.refuse(r, request.CodeDeadline, now, "the queue ahead takes about %s", wait.Round(time.Millisecond))
	}
	if err := p.queue.Push(&w.entry, now); err != nil {
		return nil, p.refuse(r, pushCode(err), now, "%v", err)
	}
	p.drain.SetBacklogged(true, now)
	p.processQueue(now)
	return w, nil
}

func pushCode(err error) request.Code {
	if errors.As(err, new(*admission.FullError)) {
		return request.CodeQueueFull
	}
	return request.CodeInternal
}

func (p *pool) newWaiter(r *request.Request, weight int, latest time.Time) *waiter {
	w := &waiter{request: r, ready: make(chan struct{})}
	w.entry = admission.Entry{
		ID:          r.ID,
		Customer:    r.Customer,
		Weight:      weight,
		Priority:    r.Priority,
		Lane:        p.opts.Lane(r),
		Tokens:      r.PromptTokens,
		Cost:        max(r.TotalTokens(), 1),
		LatestStart: latest,
		Value:       w,
	}
	return w
}

// removeWaiter removes a waiter whose context has ended from the queue, unless it
// already has a result.
func (p *pool) removeWaiter(ctx context.Context, w *waiter) {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-w.ready:
		return
	default:
	}
	p.queue.Remove(w.entry.ID)
	w.refusal = contextRefusal(ctx)
	close(w.ready)
	p.processQueue(p.gate.opts.Now())
}

// leavingRetryAfter is the time to retry after a refusal because this daemon shuts down: another one
// serves at once.
const leavingRetryAfter = 100 * time.Millisecond

func contextRefusal(ctx context.Context) *request.Refusal {
	if errors.Is(context.Cause(ctx), shutdown.ErrLeaving) {
		return request.Refuse(request.CodeLeaving, leavingRetryAfter, "this daemon shuts down")
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return request.Refuse(request.CodeDeadline, 0, "the deadline passed in the queue")
	}
	return request.Refuse(request.CodeCallerGone, 0, "the caller has gone")
}

// retryQueued processes the queue. It is cheap when the queue is empty.
func (p *pool) retryQueued() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.queue.Len() > 0 {
		p.processQueue(p.gate.opts.Now())
	}
}

// processQueue refuses the requests whose latest start has passed, admits those that
// can be placed, and sets the timer for the rest.
func (p *pool) processQueue(now time.Time) {
	for _, e := range p.queue.Expire(now) {
		w := e.Value.(*waiter)
		p.finish(w, p.refuse(w.request, request.CodeDeadline, now, "no place became free in time for the deadline"))
	}
	for {
		e := p.queue.Pop(p.canPlace, now)
		if e == nil {
			break
		}
		p.drain.RecordServed(e.Cost, now)
		p.finish(e.Value.(*waiter), nil)
	}
	p.drain.SetBacklogged(p.queue.Len() > 0, now)
	p.setTimer(now)
}

func (p *pool) canPlace(e *admission.Entry) bool {
	return p.opts.TryPlace(e.Value.(*waiter).request)
}

func (p *pool) finish(w *waiter, refusal *request.Refusal) {
	w.refusal = refusal
	close(w.ready)
}

func (p *pool) setTimer(now time.Time) {
	next, ok := p.queue.NextExpiry()
	if !ok {
		if p.timer != nil {
			p.timer.Stop()
		}
		return
	}
	wait := min(max(next.Sub(now), time.Millisecond), p.gate.opts.PollInterval)
	if p.timer == nil {
		p.timer = time.AfterFunc(wait, p.retryQueued)
		return
	}
	p.timer.Reset(wait)
}

// refuse returns a Refusal whose RetryAfter covers the pool's backlog and the
// requests that were refused lately.
func (p *pool) refuse(r *request.Request, code request.Code, now time.Time, format string, args ...any) *request.Refusal {
	p.drain.RecordRefused(r.TotalTokens(), now)
	return p.gate.refuse(code, p.drain.RetryBacklog(p.queue.Cost(), now), format, args...)
}

// recordRefused counts a refused request and returns the backlog after which its
// caller may retry.
func (p *pool) recordRefused(r *request.Request) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.gate.opts.Now()
	p.drain.RecordRefused(r.TotalTokens(), now)
	return p.drain.RetryBacklog(p.queue.Cost(), now)
}

func (p *pool) stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	backlog, _ := p.drain.DrainTime(p.queue.Cost(), p.gate.opts.Now())
	return Stats{Requests: p.queue.Len(), Tokens: p.queue.Tokens(), Backlog: backlog}
}
