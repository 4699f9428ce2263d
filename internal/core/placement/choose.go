package placement

import (
	"math/rand/v2"

	"github.com/buckthorndock/buckthorndock/internal/core/settings"
)

// choose selects one of the engines with enough free memory, by the policy of the request.
func (t *task) choose(d *Decision, s *estimator, g *group, c *candidates) {
	top := newTop(t.rng)
	var rejectedReason Reason
	switch t.req.Policy {
	case settings.PolicyRandom:
		d.Reason, rejectedReason = ReasonRandom, ReasonNotDrawn
		t.addRandom(&top, s, c.withMemory)
	case settings.PolicyLeastLoaded, settings.PolicyLeastLoadedPriority:
		d.Reason, rejectedReason = ReasonFewestRequests, ReasonMoreRequests
		t.addFewestRequests(&top, s, c.withMemory)
	default:
		d.Reason, rejectedReason = ReasonEarliest, ReasonLater
		t.addEarliest(&top, s, g, c)
	}
	d.Verdict = Placed
	top.fill(d, rejectedReason)
	t.setReason(d, c)
	if s.missesDeadline(&d.Chosen.Estimate) {
		t.recheckDeadline(d, s, g, c)
	}
}

func (t *task) setReason(d *Decision, c *candidates) {
	switch {
	case c.relaxed:
		d.Reason = ReasonBoundaryRelaxed
	case len(c.withMemory) == 1:
		d.Reason = ReasonOnly
	case d.Reason == ReasonEarliest && d.Chosen.Estimate.Cached > 0:
		d.Reason = ReasonPrefix
	}
}

// recheckDeadline estimates all engines with enough free memory before a request is refused
// for its deadline. When one of them can meet it, only the length-aware policy, which chooses
// by estimates, changes its choice.
func (t *task) recheckDeadline(d *Decision, s *estimator, g *group, c *candidates) {
	top := newTop(t.rng)
	for _, e := range c.withMemory {
		est := s.estimate(e)
		top.add(e, est, int64(est.Finish))
	}
	best := top.at(0)
	if s.missesDeadline(&best.est) {
		t.decideTooLate(d, s, g, best)
		return
	}
	if t.req.Policy == settings.PolicyLengthAware {
		top.fill(d, ReasonLater)
		t.setReason(d, c)
	}
}

func (t *task) addRandom(top *topThree, s *estimator, engines []*Engine) {
	for _, e := range t.sample(engines, topSize) {
		top.add(e, s.estimate(e), 0)
	}
}

func (t *task) addFewestRequests(top *topThree, s *estimator, engines []*Engine) {
	for _, e := range engines {
		top.add(e, Estimate{}, int64(e.requests()))
	}
	for i := range top.n {
		top.best[i].est = s.estimate(top.best[i].engine)
	}
}

// addEarliest adds a few randomly sampled engines, so that fronts with the same view do not
// all choose the same one, and those that have most of the prompt cached.
func (t *task) addEarliest(top *topThree, s *estimator, g *group, c *candidates) {
	samples := t.view.opts.Samples
	similar, others := t.splitByLimit(s, c.withMemory)
	for _, e := range t.sample(similar, samples) {
		t.addCandidate(top, s, e)
	}
	for _, e := range t.sample(others, 1) {
		t.addCandidate(top, s, e)
	}
	t.addCached(top, s, g, c)
}

func (t *task) addCandidate(top *topThree, s *estimator, e *Engine) {
	if top.has(e) {
		return
	}
	est := s.estimate(e)
	top.add(e, est, est.cost())
}

// splitByLimit splits the engines, which are in the order of their limits, into those that
// accept nothing much longer than the prompt, and the rest.
func (t *task) splitByLimit(s *estimator, engines []*Engine) (similar, others []*Engine) {
	if s.class == Long || !t.separatesByLength() {
		return engines, nil
	}
	longest := t.view.opts.SimilarRatio * float64(t.req.Tokens)
	n := min(t.view.opts.Samples, len(engines))
	for n < len(engines) && float64(engines[n].limit()) <= longest {
		n++
	}
	return engines[:n], engines[n:]
}

// maxPrefixHolders is the largest number of engines that are checked for their cached prefix.
const maxPrefixHolders = 32

// addCached adds the engines that have the longest part of the prompt cached.
func (t *task) addCached(top *topThree, s *estimator, g *group, c *candidates) {
	checked, added := 0, 0
	for depth := s.prefix.depth; depth > 0 && checked < maxPrefixHolders; depth-- {
		holders := g.prefixes.holders[s.prefix.blocks[depth-1]]
		start := t.rng.IntN(len(holders))
		for i := range holders {
			if checked == maxPrefixHolders || added == t.view.opts.Samples {
				return
			}
			checked++
			e := holders[(start+i)%len(holders)]
			if t.isCandidate(e, c) {
				added++
				t.addCandidate(top, s, e)
			}
		}
		if added > 0 {
			return
		}
	}
}

// isCandidate reports whether findCandidates would have put the engine in withMemory.
func (t *task) isCandidate(e *Engine, c *candidates) bool {
	need := t.req.MemoryNeeded()
	if !t.eligible(e, c.state) || !t.fitsEngine(e, need) || !e.hasFreeMemory(need) {
		return false
	}
	return !t.separatesByLength() || c.relaxed || t.withinLimit(e)
}

// sample selects n random engines without repetition and moves them to the head of from.
func (t *task) sample(from []*Engine, n int) []*Engine {
	n = min(n, len(from))
	for i := range n {
		j := i + t.rng.IntN(len(from)-i)
		from[i], from[j] = from[j], from[i]
	}
	return from[:n]
}

// scored is a candidate with its score; the lowest score wins.
type scored struct {
	engine *Engine
	est    Estimate
	score  int64
	tie    uint64 // random, so that engines with equal scores are chosen equally often
}

func (x *scored) before(y *scored) bool {
	if x.score != y.score {
		return x.score < y.score
	}
	return x.tie < y.tie
}

func (x *scored) candidate(reason Reason) Candidate {
	return Candidate{
		Name:     x.engine.spec.Name,
		Address:  x.engine.spec.Address,
		Domain:   x.engine.spec.Domain,
		Estimate: x.est,
		Requests: x.engine.requests(),
		Reason:   reason,
	}
}

// topSize counts the chosen candidate and the two best rejected ones.
const topSize = 3

// topThree keeps the best candidates, ordered by score.
type topThree struct {
	best [topSize]scored
	n    int
	rng  *rand.Rand
}

func newTop(rng *rand.Rand) topThree {
	return topThree{rng: rng}
}

func (p *topThree) at(i int) *scored { return &p.best[i] }

func (p *topThree) has(e *Engine) bool {
	for i := range p.n {
		if p.best[i].engine == e {
			return true
		}
	}
	return false
}

func (p *topThree) add(e *Engine, est Estimate, score int64) {
	if p.n == topSize && score > p.best[topSize-1].score {
		return
	}
	x := scored{engine: e, est: est, score: score, tie: p.rng.Uint64()}
	i := p.n
	if p.n == topSize {
		i = topSize - 1
		if !x.before(&p.best[i]) {
			return
		}
	} else {
		p.n++
	}
	for i > 0 && x.before(&p.best[i-1]) {
		p.best[i] = p.best[i-1]
		i--
	}
	p.best[i] = x
}

// fill sets Chosen and Rejected of the decision. Rejected candidates get rejectedReason, or
// ReasonTie where the scores are equal.
func (p *topThree) fill(d *Decision, rejectedReason Reason) {
	d.Chosen = p.best[0].candidate("")
	d.Rejected = [2]Candidate{}
	for i := 1; i < p.n; i++ {
		reason := rejectedReason
		if p.best[i].score == p.best[0].score && rejectedReason != ReasonNotDrawn {
			reason = ReasonTie
		}
		d.Rejected[i-1] = p.best[i].candidate(reason)
	}
}
