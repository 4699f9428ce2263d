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

// DefaultPollInterval is the interval at which a queue is processed when no event
// causes it.
const DefaultPollInterval = 50 * time.Millisecond

// Options configures a Gate.
type Options struct {
	Limits       admission.LimiterOptions
	PollInterval time.Duration    // DefaultPollInterval when zero
	Now          func() time.Time // time.Now when nil
	Seed         uint64           // of the jitter; random when zero
}

// PoolOptions configures a pool. The functions are called with the pool's lock
// held: they must be quick and must not call the Gate.
type PoolOptions struct {
	Queue admission.QueueOptions
	// TryPlace reports whether the request may start now, and if so takes a place
	// for it: after true the request is always admitted. Within a lane it must be
	// monotone as described at admission.Queue.Pop. Nil admits every request.
	TryPlace func(*request.Request) bool
	// Lane identifies the kind of capacity that the request needs. Requests that
	// can be placed while others cannot, such as short prompts beside long ones,
	// must be in different lanes. Nil makes a lane of each target.
	Lane func(*request.Request) uint64
	// MinServiceTime returns the minimum time from start to end. A request with less
	// time left before its deadline is refused. Nil means zero.
	MinServiceTime func(*request.Request) time.Duration
	// MaxPlacedWait returns the maximum wait after placement that TryPlace accepts. A
	// queued request is refused that much earlier, because it must expect this wait
	// when a place becomes free. Nil means zero.
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

// SetPool adds a pool or changes its options. Requests queued in it stay queued.
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

// RemovePool removes a pool and refuses the requests queued in it.
func (g *Gate) RemovePool(name string) {
	g.poolsMu.Lock()
	p := g.pools[name]
	delete(g.pools, name)
	g.poolsMu.Unlock()
	if p != nil {
		p.close()
	}
}

// Admit admits a request: it must fit the limits of each node of chain, there must
// be enough time before its deadline, and the pool must have a place for it now or
// in time. Admit blocks while the request waits in the pool's queue. Exactly one
// of the results is nil. With a Ticket the request may start, and the caller must
// call Done, also when ctx has ended in the meantime. A Refusal is final: the
// request was not run and holds no share of the limits.
func (g *Gate) Admit(ctx context.Context, r *request.Request, chain []admission.Node, weight int, pool string) (*Ticket, *request.Refusal) {
	ticket, refusal := g.admit(ctx, r, chain, weight, pool)
	if refusal != nil {
		countRefused(refusal.Code)
		return nil, refusal
	}
	admitted.Inc()
	return ticket, nil
}

func (g *Gate) admit(ctx context.Context, r *request.Request, chain []admission.Node, weight int, name string) (*Ticket, *request.Refusal) {
	p := g.pool(name)
	if p == nil {
		return nil, g.refuse(request.CodeNoUpstream, time.Second, "no pool %s", name)
	}
	cost := admission.Cost{PromptTokens: r.PromptTokens, TotalTokens: r.TotalTokens()}
	if refusal := g.chargeLimits(r, chain, cost); refusal != nil {
		return nil, refusal
	}
	t := &Ticket{gate: g, pool: p, chain: chain, cost: cost}
	if refusal := p.admit(ctx, r, weight, t); refusal != nil {
		t.release(0)
		return nil, refusal
	}
	return t, nil
}

// chargeLimits counts the request against the limits of each node of chain, or
// refuses it.
func (g *Gate) chargeLimits(r *request.Request, chain []admission.Node, cost admission.Cost) *request.Refusal {
	now := g.opts.Now()
	g.mu.Lock()
	v := g.limiter.Admit(chain, cost, now)
	g.mu.Unlock()
	switch {
	case v.OK:
		return nil
	case v.RetryAfter == 0:
		return request.Refuse(request.CodeLimit, 0, "%s of %s is too low for this request alone", v.Limit, v.Node)
	default:
		return g.refuse(request.CodeLimit, v.RetryAfter, "%s of %s reached", v.Limit, v.Node)
	}
}

// refuse returns a Refusal whose RetryAfter is a random time after backlog.
func (g *Gate) refuse(code request.Code, backlog time.Duration, format string, args ...any) *request.Refusal {
	return request.Refuse(code, g.spreadRetryAfter(backlog), format, args...)
}

// spreadRetryAfter returns a time to retry after, beyond the time backlog that the
// present work takes. It is random so that callers that were refused together do
// not retry together.
func (g *Gate) spreadRetryAfter(backlog time.Duration) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return admission.RetryAfter(backlog, g.rng)
}

// RetryAfter returns the time after which to retry a request that was admitted but
// could not be placed: a random time after backlog or the pool's own backlog,
// whichever is longer. The request counts as refused in the pool's drain rate, as
// those that the Gate itself refuses.
func (g *Gate) RetryAfter(pool string, r *request.Request, backlog time.Duration) time.Duration {
	if p := g.pool(pool); p != nil {
		backlog = max(backlog, p.recordRefused(r))
	}
	return g.spreadRetryAfter(backlog)
}

func (g *Gate) pool(name string) *pool {
	g.poolsMu.RLock()
	defer g.poolsMu.RUnlock()
	return g.pools[name]
}

// RetryQueued processes the queue of a pool. It is called when capacity may have grown.
func (g *Gate) RetryQueued(pool string) {
	if p := g.pool(pool); p != nil {
		p.retryQueued()
	}
}

// Stats is the state of a pool's queue.
type Stats struct {
	Requests int           // queued
	Tokens   int           // prompt tokens of the queued requests
	Backlog  time.Duration // time until all are admitted, at the measured rate; zero when unknown
}

// Stats returns the state of a pool's queue, zero for an unknown pool.
func (g *Gate) Stats(pool string) Stats {
	p := g.pool(pool)
	if p == nil {
		return Stats{}
	}
	return p.stats()
}

// ExchangeUsage applies the usage digests that peers sent since the last call and
// divides the limits again. It returns this host's digest, to be sent to its peers,
// and the sum of its domain, which a gateway sends to other domains. It must be
// called every few seconds, at an interval well under LimiterOptions.StaleAfter.
//
// The digests also have the use of the pools by customer, by which these order their queues.
func (g *Gate) ExchangeUsage(received []admission.Usage) (own, domain admission.Usage) {
	now := g.opts.Now()
	pools := g.allPools()
	use := ownUse(pools, now)
	own, domain = g.exchangeDigests(use, received, now)
	g.setPeerUse(pools, now)
	return own, domain
}

func (g *Gate) exchangeDigests(use []admission.NodeUsage, received []admission.Usage, now time.Time) (own, domain admission.Usage) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limiter.SetUse(use)
	own = g.limiter.Usage(now)
	g.limiter.ApplyPeers(received, now)
	g.limiter.Refresh(now)
	return own, g.limiter.DomainUsage()
}

// SetExpectedHosts sets the number of hosts of the site.
func (g *Gate) SetExpectedHosts(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limiter.SetExpectedHosts(n)
}

// RemoveHost removes a host that has left for good from the division of the limits.
func (g *Gate) RemoveHost(domain, host string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limiter.RemoveHost(domain, host)
}
