package placement

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/buckthorndock/buckthorndock/internal/core/request"
	"github.com/buckthorndock/buckthorndock/internal/core/settings"
)

// Errors of asks that no state of the view could answer.
var (
	ErrUnknownPool    = merry.Sentinel("unknown pool")
	ErrUnknownPolicy  = merry.Sentinel("unknown placement policy")
	ErrNegativeTokens = merry.Sentinel("negative token count")
)

// Place decides where a request goes. It notes nothing: the caller answers with
// NotePlaced when it sends the request. The error is one of this package's.
func Place(v *View, a Request, now time.Time, rng *rand.Rand) (Decision, error) {
	if a.Policy == "" {
		a.Policy = settings.PolicyLengthAware
	}
	if !knownPolicy(a.Policy) {
		return Decision{}, merry.Wrap(ErrUnknownPolicy, merry.AppendMessage(a.Policy))
	}
	if a.Tokens < 0 || a.MaxTokens < 0 {
		return Decision{}, merry.Wrap(ErrNegativeTokens)
	}
	p := v.pools[a.Pool]
	if p == nil {
		return Decision{}, merry.Wrap(ErrUnknownPool, merry.AppendMessage(a.Pool))
	}
	t := task{view: v, ask: &a, now: now, rng: rng}
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

// enginePriority returns the priority to send. Engines know three, which the
// length-aware policy also uses to let the shortest prompts pass longer ones:
// normal ones count as urgent while they are a small part of the work, and very
// long ones as bulk. What is only somewhat long stays normal: behind all bulk work
// it would wait longer than without any separation.
func (t *task) enginePriority(g *group) request.Priority {
	a := t.ask
	if !usesPriority(a.Policy) {
		return request.Normal
	}
	asked := min(a.Priority, leastUrgent)
	if asked != request.Normal || !t.separates() {
		return asked
	}
	if float64(a.Tokens) >= t.view.opts.demoteFrom(a.LongFrom) {
		return request.Bulk
	}
	if g.boundary.promotes && float64(a.Tokens) < t.view.opts.promoteBelow(a.LongFrom) {
		return request.Urgent
	}
	return asked
}

// task is one placement under way.
type task struct {
	view *View
	ask  *Request
	now  time.Time
	rng  *rand.Rand
}

// place tries the own domain, then, as far as the rule allows, the others, and
// the own suspects last.
func (t *task) place(p *pool) Decision {
	own := t.placeIn(p.groups[t.ask.Domain], Live)
	if reason, ok := spillReason(t.ask.Spill, &own); ok {
		if d, ok := t.spill(p, reason); ok {
			return d
		}
	}
	if own.Verdict != NoEngine || own.Reason != ReasonNoneLive {
		return own
	}
	suspects := t.placeIn(p.groups[t.ask.Domain], Suspect)
	if suspects.Verdict == Placed {
		suspects.Reason = ReasonSuspectOnly
		return suspects
	}
	return own
}

// spillReason reports whether the rule lets a request, of which the own domain
// said d, go to another failure domain.
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

// spill finds the other domain with the earliest first token, or else one that
// can gather a gang.
func (t *task) spill(p *pool, reason Reason) (best Decision, found bool) {
	for _, domain := range t.ask.SpillDomains {
		if domain == t.ask.Domain {
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

// placeIn decides among the engines of one domain that are in the state.
func (t *task) placeIn(g *group, state State) Decision {
	d := Decision{
		Verdict:        NoEngine,
		Reason:         ReasonNoneLive,
		Class:          ClassOf(t.ask.Tokens, t.ask.LongFrom),
		EnginePriority: request.Normal,
	}
	if g == nil {
		return d
	}
	v := t.view
	g.refresh(&v.opts, t.ask.LongFrom, t.now)
	d.EnginePriority = t.enginePriority(g)
	s := v.estimator(g, t.ask, d.EnginePriority, t.now)
	c := t.candidates(g, state)
	switch {
	case len(c.able) == 0:
		d.Backlog = s.backlog(g)
	case len(c.fit) == 0:
		t.gang(&d, g, c.able)
	case len(c.room) == 0:
		t.wait(&d, &s, g, c.fit)
	default:
		t.choose(&d, &s, g, &c)
	}
	return d
}

// candidates holds the engines of a group that passed each test in turn.
type candidates struct {
	state   State
	able    []*Engine // in the state, with the model, not excluded
	fit     []*Engine // big enough, and on the right side of the boundary
	room    []*Engine // with enough free memory
	relaxed bool      // no engine for long prompts was able, so the others are taken
}

func (t *task) candidates(g *group, state State) candidates {
	v := t.view
	need := t.ask.MemoryNeeded()
	c := candidates{state: state}
	c.able = v.able[:0]
	c.fit = v.fit[:0]
	for _, e := range g.inState(state) {
		if !t.able(e, state) {
			continue
		}
		c.able = append(c.able, e)
		if t.holds(e, need) {
			c.fit = append(c.fit, e)
		}
	}
	v.able, v.fit = c.able, c.fit
	c.fit, c.relaxed = t.bounded(c.fit)
	c.room = v.room[:0]
	for _, e := range c.fit {
		if e.hasRoom(need) {
			c.room = append(c.room, e)
		}
	}
	v.room = c.room
	return c
}

func (t *task) able(e *Engine, state State) bool {
	if e.state != state || e.report.Leaving {
		return false
	}
	if !e.serves(t.ask.Model) {
		return false
	}
	return len(t.ask.Exclude) == 0 || !slices.Contains(t.ask.Exclude, e.spec.Name)
}

// holds reports whether the engine's whole memory is enough. Long prompts go only
// where that is known.
func (t *task) holds(e *Engine, need int64) bool {
	if e.knowsMemory() {
		return need <= e.report.MemoryTotal
	}
	return ClassOf(t.ask.Tokens, t.ask.LongFrom) == Short
}

// bounded leaves a prompt only the engines whose limit admits it, as long as one
// of them is able.
func (t *task) bounded(fit []*Engine) (kept []*Engine, relaxed bool) {
	if !t.separates() || len(fit) == 0 {
		return fit, false
	}
	n := 0
	for i, e := range fit {
		if t.admits(e) {
			fit[i], fit[n] = fit[n], e
			n++
		}
	}
	if n == 0 {
		return fit, true
	}
	return fit[:n], false
}

func (t *task) separates() bool {
	return t.ask.Policy == settings.PolicyLengthAware && t.ask.LongFrom > 0
}

// admits compares the prompt with the limit of the engine. A short prompt may be
// somewhat over it: among prompts of nearly one length a strict limit would only
// divide the engines.
func (t *task) admits(e *Engine) bool {
	limit := e.limit()
	if limit == anyLength {
		return true
	}
	if ClassOf(t.ask.Tokens, t.ask.LongFrom) == Long {
		return t.ask.Tokens <= limit
	}
	return float64(t.ask.Tokens) <= float64(limit)*t.view.opts.LimitSlack
}

// wait names the engine that is expected to have the memory first.
func (t *task) wait(d *Decision, s *estimator, g *group, fit []*Engine) {
	top := newTop(t.rng)
	for _, e := range fit {
		est := s.of(e)
		top.add(e, est, est.cost())
	}
	best := top.at(0)
	d.Verdict = WaitMemory
	d.Reason = ReasonMemoryFull
	d.Backlog = s.backlog(g)
	d.Earliest = t.now.Add(best.est.MemoryWait)
	top.fill(d, ReasonLater)
	// The wait for memory is a rough guess, so it refuses nobody.
	rest := best.est
	rest.Finish -= rest.MemoryWait
	if s.missesDeadline(&rest) {
		t.tooLate(d, s, g, best)
	}
}

func (t *task) tooLate(d *Decision, s *estimator, g *group, best *scored) {
	d.Verdict = TooLate
	d.Reason = ReasonDeadline
	d.Chosen = Candidate{}
	d.Rejected = [2]Candidate{best.candidate(ReasonDeadline)}
	d.Earliest = t.now.Add(best.est.Finish)
	d.Backlog = s.backlog(g)
}
