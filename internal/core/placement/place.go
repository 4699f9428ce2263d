package placement

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/buckthorndock/buckthorndock/internal/core/request"
	"github.com/buckthorndock/buckthorndock/internal/core/settings"
)

// Errors of requests that are invalid whatever the state of the view.
var (
	ErrUnknownPool    = merry.Sentinel("unknown pool")
	ErrUnknownPolicy  = merry.Sentinel("unknown placement policy")
	ErrNegativeTokens = merry.Sentinel("negative token count")
)

// Place decides where a request is sent. It records nothing: the caller calls NotePlaced
// when it sends the request. Place returns ErrUnknownPool, ErrUnknownPolicy or
// ErrNegativeTokens.
func Place(v *View, r Request, now time.Time, rng *rand.Rand) (Decision, error) {
	if r.Policy == "" {
		r.Policy = settings.PolicyLengthAware
	}
	if !knownPolicy(r.Policy) {
		return Decision{}, merry.Wrap(ErrUnknownPolicy, merry.AppendMessage(r.Policy))
	}
	if r.Tokens < 0 || r.MaxTokens < 0 {
		return Decision{}, merry.Wrap(ErrNegativeTokens)
	}
	p := v.pools[r.Pool]
	if p == nil {
		return Decision{}, merry.Wrap(ErrUnknownPool, merry.AppendMessage(r.Pool))
	}
	t := task{view: v, req: &r, now: now, rng: rng}
	return t.place(p), nil
}

func knownPolicy(policy string) bool {
	switch policy {
	case settings.PolicyRandom, settings.PolicyLeastLoaded,
		settings.PolicyLeastLoadedPriority, settings.PolicyLengthAware:
		return true
	}
	return false
}

// usesPriority reports whether the policy sends priorities to the engines.
func usesPriority(policy string) bool {
	return policy == settings.PolicyLeastLoadedPriority || policy == settings.PolicyLengthAware
}

// enginePriority returns the priority to send to the engine. Engines know three, which
// the length-aware policy also uses to let the shortest prompts overtake longer ones:
// of the normal requests, those with the shortest prompts are sent as urgent while they
// are a small share of the work, and those with very long prompts as bulk. Moderately
// long ones stay normal: as bulk they would wait longer than without any separation.
func (t *task) enginePriority(g *group) request.Priority {
	r := t.req
	if !usesPriority(r.Policy) {
		return request.Normal
	}
	requested := min(r.Priority, lowestPriority)
	if requested != request.Normal || !t.separatesByLength() {
		return requested
	}
	if float64(r.Tokens) >= t.view.opts.demoteFrom(r.LongFrom) {
		return request.Bulk
	}
	if g.boundary.promotes && float64(r.Tokens) < t.view.opts.promoteBelow(r.LongFrom) {
		return request.Urgent
	}
	return requested
}

// task is one call of Place.
type task struct {
	view *View
	req  *Request
	now  time.Time
	rng  *rand.Rand
}

// place tries the front's own domain, then other domains as far as the spill rule
// allows, and last the suspect engines of the own domain.
func (t *task) place(p *pool) Decision {
	own := t.placeIn(p.groups[t.req.Domain], Live)
	if reason, ok := spillReason(t.req.Spill, &own); ok {
		if d, ok := t.spill(p, reason); ok {
			return d
		}
	}
	if own.Verdict != NoEngine || own.Reason != ReasonNoneLive {
		return own
	}
	suspects := t.placeIn(p.groups[t.req.Domain], Suspect)
	if suspects.Verdict == Placed {
		suspects.Reason = ReasonSuspectOnly
		return suspects
	}
	return own
}

// spillReason reports whether the rule allows a request to spill to another failure
// domain when d is the decision for its own domain.
func spillReason(rule string, d *Decision) (Reason, bool) {
	dead := d.Verdict == NoEngine && d.Reason == ReasonNoneLive
	switch {
	case dead && (rule == settings.SpillDead || rule == settings.SpillOverload):
		return ReasonSpillDead, true
	case d.Verdict == Placed, d.Verdict == NeedsGang, rule != settings.SpillOverload:
		return "", false
	}
	return ReasonSpillOverload, true
}

// spill returns the decision for the other domain with the earliest first token, or else
// for the first one that has the engines for a gang.
func (t *task) spill(p *pool, reason Reason) (best Decision, found bool) {
	for _, domain := range t.req.SpillDomains {
		if domain == t.req.Domain {
			continue
		}
		d := t.placeIn(p.groups[domain], Live)
		if d.Verdict != Placed && d.Verdict != NeedsGang {
			continue
		}
		if !found || spillsBefore(&d, &best) {
			best = d
			found = true
		}
	}
	if found && best.Verdict == Placed {
		best.Reason = reason
	}
	best.Spilled = found
	return best, found
}

func spillsBefore(a, b *Decision) bool {
	if a.Verdict != b.Verdict {
		return a.Verdict == Placed
	}
	return a.Chosen.Estimate.FirstToken < b.Chosen.Estimate.FirstToken
}

// placeIn decides among the engines of one domain that are in the given state.
func (t *task) placeIn(g *group, state State) Decision {
	d := Decision{
		Verdict:        NoEngine,
		Reason:         ReasonNoneLive,
		Class:          ClassOf(t.req.Tokens, t.req.LongFrom),
		EnginePriority: request.Normal,
	}
	if g == nil {
		return d
	}
	v := t.view
	g.refresh(&v.opts, t.req.LongFrom, t.now)
	d.EnginePriority = t.enginePriority(g)
	s := v.newEstimator(g, t.req, d.EnginePriority, t.now)
	c := t.findCandidates(g, state)
	switch {
	case len(c.eligible) == 0:
		d.Backlog = s.backlog(g)
	case len(c.fitting) == 0:
		t.decideGang(&d, g, c.eligible)
	case len(c.withMemory) == 0:
		t.decideWait(&d, &s, g, c.fitting)
	default:
		t.choose(&d, &s, g, &c)
	}
	return d
}

// candidates holds the engines of a group that passed each successive test.
type candidates struct {
	state      State
	eligible   []*Engine // in the state, with the model, not excluded
	fitting    []*Engine // with enough total memory, and a limit that admits the prompt
	withMemory []*Engine // with enough free memory
	relaxed    bool      // no engine's limit admits the prompt, so limits are ignored
}

func (t *task) findCandidates(g *group, state State) candidates {
	v := t.view
	need := t.req.MemoryNeeded()
	c := candidates{state: state}
	c.eligible = v.eligible[:0]
	c.fitting = v.fitting[:0]
	for _, e := range g.enginesInState(state) {
		if !t.eligible(e, state) {
			continue
		}
		c.eligible = append(c.eligible, e)
		if t.fitsEngine(e, need) {
			c.fitting = append(c.fitting, e)
		}
	}
	v.eligible, v.fitting = c.eligible, c.fitting
	c.fitting, c.relaxed = t.applyBoundary(c.fitting)
	c.withMemory = v.withMemory[:0]
	for _, e := range c.fitting {
		if e.hasFreeMemory(need) {
			c.withMemory = append(c.withMemory, e)
		}
	}
	v.withMemory = c.withMemory
	return c
}

func (t *task) eligible(e *Engine, state State) bool {
	if e.state != state || e.report.Leaving {
		return false
	}
	if !e.serves(t.req.Model) {
		return false
	}
	return len(t.req.Exclude) == 0 || !slices.Contains(t.req.Exclude, e.spec.Name)
}

// fitsEngine reports whether the engine's total memory is at least need tokens. When it
// is unknown, only short prompts fit.
func (t *task) fitsEngine(e *Engine, need int64) bool {
	if e.knowsMemory() {
		return need <= e.report.MemoryTotal
	}
	return ClassOf(t.req.Tokens, t.req.LongFrom) == Short
}

// applyBoundary returns the engines whose limit admits the prompt. When there is none it
// returns all of them, and relaxed is true.
func (t *task) applyBoundary(engines []*Engine) (kept []*Engine, relaxed bool) {
	if !t.separatesByLength() || len(engines) == 0 {
		return engines, false
	}
	n := 0
	for i, e := range engines {
		if t.withinLimit(e) {
			engines[i], engines[n] = engines[n], e
			n++
		}
	}
	if n == 0 {
		return engines, true
	}
	return engines[:n], false
}

func (t *task) separatesByLength() bool {
	return t.req.Policy == settings.PolicyLengthAware && t.req.LongFrom > 0
}

// withinLimit reports whether the limit of the engine admits the prompt. A short prompt
// may exceed it by LimitSlack: among prompts of similar lengths a strict limit would only
// partition the engines.
func (t *task) withinLimit(e *Engine) bool {
	limit := e.limit()
	if limit == anyLength {
		return true
	}
	if ClassOf(t.req.Tokens, t.req.LongFrom) == Long {
		return t.req.Tokens <= limit
	}
	return float64(t.req.Tokens) <= float64(limit)*t.view.opts.LimitSlack
}

// decideWait chooses the engine with the earliest expected first token, including the wait
// for its memory. It refuses a request that would miss its deadline even without that wait.
func (t *task) decideWait(d *Decision, s *estimator, g *group, engines []*Engine) {
	top := newTop(t.rng)
	for _, e := range engines {
		est := s.estimate(e)
		top.add(e, est, est.cost())
	}
	best := top.at(0)
	d.Verdict = WaitMemory
	d.Reason = ReasonMemoryFull
	d.Backlog = s.backlog(g)
	d.Earliest = t.now.Add(best.est.MemoryWait)
	top.fill(d, ReasonLater)
	// The wait for memory is only a rough estimate, so no request is refused for it.
	rest := best.est
	rest.Finish -= rest.MemoryWait
	if s.missesDeadline(&rest) {
		t.decideTooLate(d, s, g, best)
	}
}

func (t *task) decideTooLate(d *Decision, s *estimator, g *group, best *scored) {
	d.Verdict = TooLate
	d.Reason = ReasonDeadline
	d.Chosen = Candidate{}
	d.Rejected = [2]Candidate{best.candidate(ReasonDeadline)}
	d.Earliest = t.now.Add(best.est.Finish)
	d.Backlog = s.backlog(g)
}
