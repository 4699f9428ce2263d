package placement

import (
	"math/rand/v2"

	"github.com/buckthorndock/buckthorndock/internal/core/settings"
)

// choose takes one of the engines with room, by the policy of the ask.
func (t *task) choose(d *Decision, s *estimator, g *group, c *candidates) {
	top := newTop(t.rng)
	var loser Reason
	switch t.ask.Policy {
	case settings.PolicyRandom:
		d.Reason, loser = ReasonRandom, ReasonNotDrawn
		t.random(&top, s, c.room)
	case settings.PolicyLeastLoaded, settings.PolicyLeastLoadedPriority:
		d.Reason, loser = ReasonFewestRequests, ReasonMoreRequests
		t.fewest(&top, s, c.room)
	default:
		d.Reason, loser = ReasonEarliest, ReasonLater
		t.earliest(&top, s, g, c)
	}
	d.Verdict = Placed
	top.fill(d, loser)
	t.explain(d, c)
	if s.missesDeadline(&d.Chosen.Estimate) {
		t.lastChance(d, s, g, c)
	}
}

func (t *task) explain(d *Decision, c *candidates) {
	switch {
	case c.relaxed:
		d.Reason = ReasonBoundaryRelaxed
	case len(c.room) == 1:
		d.Reason = ReasonOnly
	case d.Reason == ReasonEarliest && d.Chosen.Estimate.Cached > 0:
		d.Reason = ReasonPrefix
	}
}

// lastChance looks at every engine before a request is refused for its deadline.
// Only the policy that goes by estimates changes its choice.
func (t *task) lastChance(d *Decision, s *estimator, g *group, c *candidates) {
	top := newTop(t.rng)
	for _, e := range c.room {
		est := s.of(e)
		top.add(e, est, int64(est.Finish))
	}
	best := top.at(0)
	if s.missesDeadline(&best.est) {
		t.tooLate(d, s, g, best)
		return
	}
	if t.ask.Policy == settings.PolicyLengthAware {
		top.fill(d, ReasonLater)
		t.explain(d, c)
	}
}

func (t *task) random(top *topThree, s *estimator, room []*Engine) {
	for _, e := range t.sample(room, topSize) {
		top.add(e, s.of(e), 0)
	}
}

func (t *task) fewest(top *topThree, s *estimator, room []*Engine) {
	for _, e := range room {
		top.add(e, Estimate{}, int64(e.requests()))
	}
	for i := range top.n {
		top.best[i].est = s.of(top.best[i].engine)
	}
}

// earliest compares a few drawn engines, so that fronts with the same view do not
// all take the same one, and those that have most of the prompt cached.
func (t *task) earliest(top *topThree, s *estimator, g *group, c *candidates) {
	samples := t.view.opts.Samples
	near, far := t.divide(s, c.room)
	for _, e := range t.sample(near, samples) {
		t.offer(top, s, e)
	}
	for _, e := range t.sample(far, 1) {
		t.offer(top, s, e)
	}
	t.offerCached(top, s, g, c)
}

func (t *task) offer(top *topThree, s *estimator, e *Engine) {
	if top.has(e) {
		return
	}
	est := s.of(e)
	top.add(e, est, est.cost())
}

// divide splits the engines into those on which nothing much longer than the
// prompt is met, and the rest. The order is that of the limits.
func (t *task) divide(s *estimator, room []*Engine) (near, far []*Engine) {
	if s.class == Long || !t.separates() {
		return room, nil
	}
	longest := t.view.opts.SimilarRatio * float64(t.ask.Tokens)
	n := min(t.view.opts.Samples, len(room))
	for n < len(room) && float64(room[n].limit()) <= longest {
		n++
	}
	return room[:n], room[n:]
}

// mostHolders bounds the engines looked at for their cached prefix.
const mostHolders = 32

// offerCached adds the engines that hold the longest part of the prompt.
func (t *task) offerCached(top *topThree, s *estimator, g *group, c *candidates) {
	looked, offered := 0, 0
	for depth := s.prefix.depth; depth > 0 && looked < mostHolders; depth-- {
		holders := g.prefixes.holders[s.prefix.blocks[depth-1]]
		start := t.rng.IntN(len(holders))
		for i := range holders {
			if looked == mostHolders || offered == t.view.opts.Samples {
				return
			}
			looked++
			e := holders[(start+i)%len(holders)]
			if t.mayTake(e, c) {
				offered++
				t.offer(top, s, e)
			}
		}
		if offered > 0 {
			return
		}
	}
}

// mayTake repeats the tests of candidates for one engine.
func (t *task) mayTake(e *Engine, c *candidates) bool {
	need := t.ask.MemoryNeeded()
	if !t.able(e, c.state) || !t.holds(e, need) || !e.hasRoom(need) {
		return false
	}
	return !t.separates() || c.relaxed || t.admits(e)
}

// sample draws n engines without repetition by moving them to the front.
func (t *task) sample(from []*Engine, n int) []*Engine {
	n = min(n, len(from))
	for i := range n {
		j := i + t.rng.IntN(len(from)-i)
		from[i], from[j] = from[j], from[i]
	}
	return from[:n]
}

// scored is a candidate with its rank in the choice; the lowest score wins.
type scored struct {
	engine *Engine
	est    Estimate
	score  int64
	tie    uint64 // random, so that equals are taken equally often
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

// topSize is the chosen candidate and the two best rejected.
const topSize = 3

// topThree keeps the best candidates in order.
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

// fill writes the candidates into the decision.
func (p *topThree) fill(d *Decision, loser Reason) {
	d.Chosen = p.best[0].candidate("")
	d.Rejected = [2]Candidate{}
	for i := 1; i < p.n; i++ {
		reason := loser
		if p.best[i].score == p.best[0].score && loser != ReasonNotDrawn {
			reason = ReasonTie
		}
		d.Rejected[i-1] = p.best[i].candidate(reason)
	}
}
