package router

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/core/placement"
	"github.com/buckthorndock/buckthorndock/internal/core/request"
	"github.com/buckthorndock/buckthorndock/internal/core/settings"
)

// Options configure a Router.
type Options struct {
	Domain string // failure domain of this host
	// SpillDomains returns the other failure domains that can be reached now. Nil means
	// none.
	SpillDomains func() []string
	Now          func() time.Time // time.Now by default
	Seed         uint64           // of the random choices
}

// Router places requests of this front on upstreams. It is safe for concurrent use.
type Router struct {
	opts Options

	mu      sync.Mutex
	view    *placement.View
	rng     *rand.Rand
	pools   map[string]bool
	leaving leaving
	speeds  serviceSpeeds
	changed chan struct{} // closed and replaced when capacity may have grown
}

// New returns a Router without upstreams.
func New(opts Options) *Router {
	if opts.Now == nil {
		opts.Now = time.Now
	}
	if opts.SpillDomains == nil {
		opts.SpillDomains = func() []string { return nil }
	}
	return &Router{
		opts:    opts,
		view:    placement.NewView(placement.Options{}),
		rng:     rand.New(rand.NewPCG(opts.Seed, opts.Seed^0x9e3779b97f4a7c15)),
		pools:   map[string]bool{},
		leaving: leaving{settings: map[string]bool{}, listed: map[string]*listedLeave{}},
		speeds:  newServiceSpeeds(),
		changed: make(chan struct{}),
	}
}

// ApplySettings replaces the upstreams of all pools by those of a settings snapshot.
func (r *Router) ApplySettings(snap *settings.Snapshot) {
	r.mu.Lock()
	defer r.mu.Unlock()
	seen := map[string]bool{}
	clear(r.leaving.settings)
	for _, p := range snap.Pools() {
		seen[p.Name] = true
		r.view.SetPool(p.Name, specsOf(p))
		r.applyLeaving(p)
	}
	for name := range r.pools {
		if !seen[name] {
			r.view.SetPool(name, nil)
		}
	}
	r.pools = seen
	r.retainSpeeds()
	r.signal()
}

func specsOf(p *settings.PoolView) []placement.Spec {
	specs := make([]placement.Spec, len(p.Upstreams))
	for i, u := range p.Upstreams {
		specs[i] = placement.Spec{Name: u.Name, Address: u.Address, Domain: u.Domain}
	}
	return specs
}

// Place decides where a request goes; see placement.Place. The spill domains are
// filled in for work that may be sent to another domain.
func (r *Router) Place(ask placement.Request) (placement.Decision, error) {
	ask.Domain = r.opts.Domain
	ask.SpillDomains = r.opts.SpillDomains()
	r.mu.Lock()
	defer r.mu.Unlock()
	return placement.Place(r.view, ask, r.opts.Now(), r.rng)
}

// StartVerdict tells whether a request may start now.
type StartVerdict uint8

// Verdicts of PlaceWithin.
const (
	MustWait      StartVerdict = iota // no engine has room for it within the wait
	PlaceRecorded                     // it may start and its placement is recorded
	MayStart                          // nothing is recorded: it has a long prompt, or will be refused
)

// PlaceWithin is Place for the admission gate. A short prompt that would wait no longer than
// wait on its engine is recorded as placed, as build describes it. A long prompt is not
// recorded, because its memory has to be reserved first.
func (r *Router) PlaceWithin(ask placement.Request, wait time.Duration, build func(placement.Decision) placement.Placement) (placement.Decision, StartVerdict, error) {
	ask.Domain = r.opts.Domain
	ask.SpillDomains = r.opts.SpillDomains()
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.opts.Now()
	d, err := placement.Place(r.view, ask, now, r.rng)
	switch {
	case err != nil:
		return d, MayStart, err
	case d.Verdict == placement.WaitMemory:
		return d, MustWait, nil
	case d.Verdict != placement.Placed:
		return d, MayStart, nil
	case d.Chosen.Estimate.Queue > wait:
		return d, MustWait, nil
	case d.Class == placement.Short && r.view.NotePlaced(build(d), now):
		return d, PlaceRecorded, nil
	}
	return d, MayStart, nil
}

// ServiceTime returns the least time that a request takes on an engine; see
// placement.ServiceTime.
func (r *Router) ServiceTime(ask placement.Request) time.Duration {
	ask.Domain = r.opts.Domain
	r.mu.Lock()
	defer r.mu.Unlock()
	return placement.MinServiceTime(r.view, ask, r.opts.Now())
}

// GangMembers chooses the engines of a gang; see placement.GangMembers.
func (r *Router) GangMembers(ask placement.Request) []placement.GangMember {
	ask.Domain = r.opts.Domain
	r.mu.Lock()
	defer r.mu.Unlock()
	return placement.GangMembers(r.view, ask, r.opts.Now())
}

// PlaceService decides which server of a plain service gets a call.
func (r *Router) PlaceService(ask placement.ServiceRequest) (placement.Decision, error) {
	ask.Domain = r.opts.Domain
	ask.SpillDomains = r.opts.SpillDomains()
	r.mu.Lock()
	defer r.mu.Unlock()
	ask.Factor = r.serviceFactor
	return placement.PlaceService(r.view, ask, r.opts.Now(), r.rng)
}

// Placed records that an attempt is sent to an upstream.
func (r *Router) Placed(p placement.Placement) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.view.NotePlaced(p, r.opts.Now())
}

// FirstToken records the arrival of an attempt's first token.
func (r *Router) FirstToken(id placement.ID, cachedTokens int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.view.NoteFirstToken(id, cachedTokens, r.opts.Now())
}

// Finished records the end of an attempt and wakes the requests that wait for capacity.
func (r *Router) Finished(id placement.ID, end placement.End) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.view.NoteFinished(id, end, r.opts.Now())
	r.signal()
}

// ApplyReport applies a load report of an upstream.
func (r *Router) ApplyReport(upstream string, report placement.Report) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.view.ApplyReport(upstream, report) {
		r.signal()
	}
}

// ApplyCacheEvents applies an engine's cache events.
func (r *Router) ApplyCacheEvents(upstream, incarnation string, events []placement.CacheEvent) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.view.ApplyCacheEvents(upstream, incarnation, events)
}

// SetState sets the state of an upstream as observed by this front. An upstream that
// settings or list show as leaving stays so until they change, unless it is dead.
func (r *Router) SetState(upstream string, s placement.State) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.view.Engine(upstream)
	if e == nil || e.State() == s {
		return
	}
	if s != placement.Dead && (r.isLeaving(e) || e.State() == placement.Leaving) {
		s = placement.Leaving
	}
	if e.State() == s {
		return
	}
	if s == placement.Dead {
		r.forgetSpeed(upstream)
	}
	r.view.SetState(upstream, s)
	r.signal()
}

// State returns the state of an upstream; ok is false if it is unknown.
func (r *Router) State(upstream string) (s placement.State, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.view.Engine(upstream)
	if e == nil {
		return placement.Dead, false
	}
	return e.State(), true
}

// Incarnation returns the incarnation in an engine's last report, empty if none is known.
func (r *Router) Incarnation(upstream string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.view.Engine(upstream)
	if e == nil {
		return ""
	}
	report, _ := e.Report()
	return report.Incarnation
}

// Busy reports whether this front has attempts in progress, or any engine of its own failure
// domain reports work.
func (r *Router) Busy() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for pool := range r.pools {
		for _, e := range r.view.Engines(pool) {
			report, ok := e.Report()
			if e.InFlight() > 0 || ok && e.Domain() == r.opts.Domain && report.Running+report.Queued > 0 {
				return true
			}
		}
	}
	return false
}

// UpstreamNames returns the names of a pool's upstreams.
func (r *Router) UpstreamNames(pool string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	engines := r.view.Engines(pool)
	names := make([]string, len(engines))
	for i, e := range engines {
		names[i] = e.Name()
	}
	return names
}

// TokensPerByte returns the estimated number of tokens per byte of a model's input; see
// placement.View.TokensPerByte.
func (r *Router) TokensPerByte(model string, prior float64) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.view.TokensPerByte(model, prior, r.opts.Now())
}

// Changed returns a channel that is closed as soon as capacity may have grown.
func (r *Router) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// signal wakes the requests that wait for capacity. The caller holds mu.
func (r *Router) signal() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// Expire removes attempts whose end was never recorded and returns their number.
func (r *Router) Expire() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.view.Expire(r.opts.Now())
}

// UpstreamStatus is the status of an upstream as shown to operators.
type UpstreamStatus struct {
	Name, Pool, Domain, Address string
	State                       placement.State
	InFlight                    int // attempts of this front
	QueueTokens                 int64
	MemoryUsed, MemoryTotal     int64 // tokens
	ReportAge                   time.Duration
	Reported                    bool
}

// Upstreams returns the status of all upstreams of a pool.
func (r *Router) Upstreams(pool string) []UpstreamStatus {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.opts.Now()
	var all []UpstreamStatus
	for _, e := range r.view.Engines(pool) {
		report, ok := e.Report()
		st := UpstreamStatus{
			Name: e.Name(), Pool: e.Pool(), Domain: e.Domain(), Address: e.Address(),
			State: e.State(), InFlight: e.InFlight(), Reported: ok,
			QueueTokens: report.QueuedPrefill, MemoryUsed: report.MemoryUsed, MemoryTotal: report.MemoryTotal,
		}
		if ok {
			st.ReportAge = now.Sub(report.Taken)
		}
		all = append(all, st)
	}
	return all
}

// NewPlacementRequest returns the placement request for a request to a pool.
func NewPlacementRequest(req *request.Request, pool string, routing settings.Routing) placement.Request {
	return placement.Request{
		Pool:      pool,
		Model:     req.Target,
		Tokens:    req.PromptTokens,
		MaxTokens: req.MaxTokens,
		Prefix:    req.Prefix,
		Priority:  req.Priority,
		Deadline:  req.Deadline,
		Policy:    routing.Policy,
		LongFrom:  routing.LongFromTokens,
		Spill:     routing.Spill,
	}
}
