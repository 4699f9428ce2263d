package gate

import (
	"cmp"
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/core/admission"
	"github.com/buckthorndock/buckthorndock/internal/core/request"
	"github.com/cespare/xxhash/v2"
)

// DefaultPollInterval is how often a pool with a queue is tried without a Kick.
const DefaultPollInterval = 50 * time.Millisecond

// Options configures a Gate.
type Options struct {
	Limits       admission.LimiterOptions
	PollInterval time.Duration    // DefaultPoll when zero
	Now          func() time.Time // time.Now when nil
	Seed         uint64           // of the jitter; a random one when zero
}

// PoolOptions configures a pool. The functions are called with the pool locked:
// they must be quick and must not call the Gate.
type PoolOptions struct {
	Queue admission.QueueOptions
	// TryPlace reports whether the request may start now, and takes the place if
	// so: after true the request is let in for certain. It must be monotone as
	// admission.Queue.Pop says, within a lane. Nil lets all in.
	TryPlace func(*request.Request) bool
	// Lane returns which kind of capacity the request needs: requests that can
	// find a place when others do not belong in another lane, as short prompts
	// beside long ones. Nil makes a lane of each target.
	Lane func(*request.Request) uint64
	// MinServiceTime returns the least time from start to end. A request is given up
	// when less is left. Nil means none.
	MinServiceTime func(*request.Request) time.Duration
	// MaxPlacedWait returns the longest wait with which TryPlace still takes a place. A
	// request that had to queue is given up that much earlier, for it finds all
	// places as full. Nil means none.
	MaxPlacedWait func(*request.Request) time.Duration
}

// Gate admits requests. It is safe for concurrent use.
type Gate struct {
	opts Options

	mu      sync.Mutex
	limiter *admission.Limiter
	rng     *rand.Rand

	poolsMu sync.RWMutex
	pools   map[string]*pool
}

// New returns a Gate without pools.
func New(o Options) *Gate {
	o.PollInterval = cmp.Or(o.PollInterval, DefaultPollInterval)
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Seed == 0 {
		o.Seed = rand.Uint64()
	}
	return &Gate{
		opts:    o,
		limiter: admission.NewLimiter(o.Limits),
		rng:     rand.New(rand.NewPCG(o.Seed, 0)),
		pools:   make(map[string]*pool),
	}
}

// SetPool adds a pool or changes its options; what waits in it goes on waiting.
func (g *Gate) SetPool(name string, o PoolOptions) {
	if o.TryPlace == nil {
		o.TryPlace = func(*request.Request) bool { return true }
	}
	if o.Lane == nil {
		o.Lane = func(r *request.Request) uint64 { return xxhash.Sum64String(r.Target) }
	}
	if o.MaxPlacedWait == nil {
		o.MaxPlacedWait = func(*request.Request) time.Duration { return 0 }
	}
	if o.MinServiceTime == nil {
		o.MinServiceTime = func(*request.Request) time.Duration { return 0 }
	}
	g.poolsMu.Lock()
	p := g.pools[name]
	if p == nil {
		p = newPool(g, o)
		g.pools[name] = p
	}
	g.poolsMu.Unlock()
	p.setOptions(o)
}

// RemovePool drops a pool and refuses what waits in it.
func (g *Gate) RemovePool(name string) {
	g.poolsMu.Lock()
	p := g.pools[name]
	delete(g.pools, name)
	g.poolsMu.Unlock()
	if p != nil {
		p.close()
	}
}

// Admit admits a request: it must fit the limits of each node of chain, its
// deadline must be within reach, and the pool must have a place for it now or
// within time. It blocks while the request waits in the pool's queue. Exactly one
// of the results is nil. With a Ticket the request may start, and the caller must
// call Done, also when ctx has ended meanwhile. A Refusal is final: nothing is
// held, and the request was not run.
func (g *Gate) Admit(ctx context.Context, r *request.Request, chain []admission.Node, weight int, pool string) (*Ticket, *request.Refusal) {
	ticket, refusal := g.enter(ctx, r, chain, weight, pool)
	if refusal != nil {
		countRefused(refusal.Code)
		return nil, refusal
	}
	admitted.Inc()
	return ticket, nil
}

func (g *Gate) enter(ctx context.Context, r *request.Request, chain []admission.Node, weight int, name string) (*Ticket, *request.Refusal) {
	p := g.pool(name)
	if p == nil {
		return nil, g.refuse(request.CodeNoUpstream, time.Second, "no pool %s", name)
	}
	cost := admission.Cost{PromptTokens: r.PromptTokens, TotalTokens: r.TotalTokens()}
	if refusal := g.admit(r, chain, cost); refusal != nil {
		return nil, refusal
	}
	t := &Ticket{gate: g, pool: p, chain: chain, cost: cost}
	if refusal := p.enter(ctx, r, weight, t); refusal != nil {
		t.release(0)
		return nil, refusal
	}
	return t, nil
}

// admit takes the request from the limits.
func (g *Gate) admit(r *request.Request, chain []admission.Node, cost admission.Cost) *request.Refusal {
	now := g.opts.Now()
	g.mu.Lock()
	v := g.limiter.Admit(chain, cost, now)
	g.mu.Unlock()
	switch {
	case v.OK:
		return nil
	case v.RetryAfter == 0:
		return request.Refuse(request.CodeLimit, 0, "%s of %s is less than this request alone", v.Limit, v.Node)
	default:
		return g.refuse(request.CodeLimit, v.RetryAfter, "%s of %s reached", v.Limit, v.Node)
	}
}

// refuse returns a Refusal whose RetryAfter is spread beyond backlog.
func (g *Gate) refuse(code request.Code, backlog time.Duration, format string, args ...any) *request.Refusal {
	return request.Refuse(code, g.spread(backlog), format, args...)
}

// spread returns a time to come back in after a backlog has been worked off,
// spread at random so that a fleet that was refused together does not come back
// together.
func (g *Gate) spread(backlog time.Duration) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return admission.RetryAfter(backlog, g.rng)
}

// RetryAfter returns when a request that was let in, and could not be placed after
// all, may come back: after the backlog given or that of the pool, whichever is
// longer, spread as for those that the gate itself refuses, and counted with them.
func (g *Gate) RetryAfter(pool string, r *request.Request, backlog time.Duration) time.Duration {
	if p := g.pool(pool); p != nil {
		backlog = max(backlog, p.comeBack(r))
	}
	return g.spread(backlog)
}

func (g *Gate) pool(name string) *pool {
	g.poolsMu.RLock()
	defer g.poolsMu.RUnlock()
	return g.pools[name]
}

// RetryQueued tries the waiting requests of a pool, as after its capacity has grown.
func (g *Gate) RetryQueued(pool string) {
	if p := g.pool(pool); p != nil {
		p.kick()
	}
}

// Stats is the state of a pool's queue.
type Stats struct {
	Requests int           // waiting
	Tokens   int           // of their prompts
	Backlog  time.Duration // until they are served, at the measured rate; zero when unknown
}

// Stats returns the state of a pool's queue, zero for an unknown pool.
func (g *Gate) Stats(pool string) Stats {
	p := g.pool(pool)
	if p == nil {
		return Stats{}
	}
	return p.stats()
}

// ExchangeUsage takes the digests that peers sent since the last call, divides the
// limits anew, and returns this host's digest to be sent to its peers and the sum
// of its domain, which a gateway sends to other domains. To be called once an
// interval of some seconds, well under LimiterOptions.StaleAfter.
func (g *Gate) ExchangeUsage(heard []admission.Usage) (own, domain admission.Usage) {
	now := g.opts.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	own = g.limiter.Usage(now)
	g.limiter.ApplyPeers(heard, now)
	g.limiter.Refresh(now)
	return own, g.limiter.DomainUsage()
}

// SetExpectedHosts tells how many hosts the site has.
func (g *Gate) SetExpectedHosts(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limiter.SetExpectedHosts(n)
}

// RemoveHost drops a host that has left for good from the division of the limits.
func (g *Gate) RemoveHost(domain, host string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limiter.RemoveHost(domain, host)
}
