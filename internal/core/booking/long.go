package booking

import (
	"cmp"
	"slices"
	"time"
)

// Bounds and weights of the choice of engines for a long prompt. Worth is in units of
// Ask.value.
const (
	// onTimeShare of the time left is aimed at, for engines may be slower than
	// their figures.
	onTimeShare = 0.85
	// sendLead is how much before the engines are free the request is sent, for the
	// way there.
	sendLead = 5 * time.Millisecond
	// idleCost is the worth that a second of an engine earns elsewhere, with prompts of
	// about 200,000 tokens.
	idleCost = 13.0
	// waitCost orders engines by when they are free, per second.
	waitCost = 30.0
	// slowCost prefers the earlier of two ways in time, as a share of the worth for
	// the whole of the time left.
	slowCost = 0.2
	// yieldFactor is how much longer than expected a late prompt may still take when
	// it stops yielding to those in time.
	yieldFactor = 1.5
	// otherDomainCostLong is the worth that a part in another failure domain may cost: a cut between
	// them ends the reading.
	otherDomainCostLong = 1.0
	// postponeBy is how much later a prompt that makes others late may be read instead: two of
	// the pauses after which its daemon asks again.
	postponeBy = 200 * time.Millisecond
)

// choice is one way to read a long prompt.
type choice struct {
	loads []load // the engines, the first receives the request
	start time.Time
	prefill  time.Duration // of a part
	cost  float64
	delayCost  float64 // of the cost, what others lose
	late  bool
	delaysOthers bool // makes others late
}

func (c *choice) end() time.Time { return c.start.Add(c.prefill) }

// planLong takes the way that costs the least worth, its own and that of those who
// write on the engines. A prompt that is late in any case yields to those in time: it
// is read as soon as engines are free, and books none ahead until it has to. One that is
// in time but makes others late yields as well, as long as it stays in time.
func (t *placement) planLong(read time.Duration) Plan {
	best := t.cheapest(read)
	if best == nil {
		return Plan{Verdict: t.noCapacity(read)}
	}
	first := best.end().Sub(t.now) + t.passTime(&best.loads[0])
	whole := first + t.decodeTime(best)
	switch {
	case t.ask.Begun: // goes on in any case
	case first > t.ask.Left:
		return Plan{Verdict: TooLate, First: first}
	case t.shouldYield(best, whole), t.canPostpone(best, first):
		return Plan{Verdict: Yield, First: first}
	case best.late && best.delayCost > (1-lateLossShare)*t.ask.value():
		return Plan{Verdict: TooLate, First: first}
	}
	return Plan{
		Reason: best.reason(),
		Parts:  t.parts(best),
		Wait:   max(best.start.Sub(t.now)-sendLead, 0),
		First:  first,
		Read:   best.prefill,
	}
}

// shouldYield reports whether the prompt should wait for engines to be free: it is
// late in any case, and there is time.
func (t *placement) shouldYield(c *choice, whole time.Duration) bool {
	busy := c.start.Sub(t.now) > sendLead
	if !c.late || !busy && !c.delaysOthers {
		return false
	}
	return t.ask.Left >= time.Duration(yieldFactor*float64(whole))
}

// canPostpone reports whether the prompt makes writers late whom it need not: most of them
// will have ended soon, for an answer to a short prompt takes two seconds, and the prompt
// itself would still be in time a little later. It protects the answers under way when a load
// turns from short prompts to long ones.
func (t *placement) canPostpone(c *choice, first time.Duration) bool {
	return !c.late && c.delaysOthers && float64(first+postponeBy) < onTimeShare*float64(t.ask.Objective)
}

// decodeTime returns the time to write the answer. Where the memory of a prompt is spread, each
// step reads the largest part only.
func (t *placement) decodeTime(c *choice) time.Duration {
	own := t.ask.need()
	if t.spreadsMemory() {
		own = t.tokensPerEngine(len(c.loads))
	}
	on := &c.loads[0]
	return t.service.Figures.DecodeTime(t.ask.Expected, len(on.decodes)+1, on.context+own)
}

func (c *choice) reason() Reason {
	switch {
	case c.late:
		return ReasonLate
	case c.delaysOthers:
		return ReasonDelaysOthers
	case len(c.loads) == 1:
		return ReasonAlone
	}
	return ReasonSplit
}

// maxEngines returns how many engines may read one prompt.
func (t *placement) maxEngines() int {
	return min(len(t.loads), t.service.Figures.MaxHelpers+1)
}

// cheapest compares all numbers of engines.
func (t *placement) cheapest(read time.Duration) *choice {
	var best *choice
	most := t.maxEngines()
	r := ranking{loads: t.loads, inOtherDomain: t.inOtherDomain, best: make([]candidate, 0, most)}
	for n := 1; n <= most; n++ {
		if c := t.newChoice(r.cheapest(n, read/time.Duration(n), t.now), read); c != nil && (best == nil || c.cost < best.cost) {
			best = c
		}
	}
	return best
}

// ranking finds the engines on which a part of a length costs the least. It keeps the few
// best while it goes through all loads once, for sorting all of them for each number of parts
// takes the keeper twice the processor time.
type ranking struct {
	loads []load
	inOtherDomain   func(*load) bool
	best  []candidate // of the present call of first, in order
	out   []load      // their loads
}

// candidate is a load with the cost of a part there.
type candidate struct {
	load *load
	cost float64
}

// cheapest returns the n loads that cost the least, in order.
func (r *ranking) cheapest(n int, part time.Duration, now time.Time) []load {
	r.best = r.best[:0]
	for i := range r.loads {
		l := &r.loads[i]
		c := candidate{l, l.delayCost(part) + waitCost*l.freeAt.Sub(now).Seconds()}
		if r.inOtherDomain(l) {
			c.cost += otherDomainCostLong
		}
		if l.helperParts >= l.engine.slots() {
			c.cost += noSlotCost
		}
		r.insert(c, n)
	}
	r.out = r.out[:0]
	for _, c := range r.best {
		r.out = append(r.out, *c.load)
	}
	return r.out
}

// insert takes a candidate in if it is among the n best so far.
func (r *ranking) insert(c candidate, n int) {
	if len(r.best) == n {
		if !c.before(r.best[n-1]) {
			return
		}
		r.best = r.best[:n-1]
	}
	at := len(r.best)
	for at > 0 && c.before(r.best[at-1]) {
		at--
	}
	r.best = slices.Insert(r.best, at, c)
}

// before orders candidates by cost, then by writers; the last engine in the order of
// packing is opened last.
func (c candidate) before(d candidate) bool {
	return cmp.Or(
		cmp.Compare(c.cost, d.cost),
		cmp.Compare(len(c.load.decodes), len(d.load.decodes)),
		cmp.Compare(d.load.engine.packRank, c.load.engine.packRank),
	) < 0
}

// newChoice returns the choice of just these engines, nil when their memory does not
// hold the prompt. The engine with the fewest writers receives it.
func (t *placement) newChoice(from []load, read time.Duration) *choice {
	loads := slices.Clone(from)
	c := &choice{loads: loads, start: t.now, prefill: read / time.Duration(len(loads))}
	for i := range loads {
		if loads[i].freeAt.After(c.start) {
			c.start = loads[i].freeAt
		}
	}
	first := t.receiver(loads)
	if first < 0 || !t.sharesFit(loads) {
		return nil
	}
	loads[0], loads[first] = loads[first], loads[0]
	t.computeCost(c)
	return c
}

// receiver returns the engine that receives the request, -1 when none can.
func (t *placement) receiver(loads []load) int {
	first := -1
	for i := range loads {
		l := &loads[i]
		if len(l.decodes) >= l.engine.slots() || !t.canReceive(l, len(loads)) {
			continue
		}
		if first < 0 || t.betterReceiver(l, &loads[first]) {
			first = i
		}
	}
	return first
}

// betterReceiver reports whether one engine is a better receiver than another: the answer comes from
// there, so the own failure domain goes first.
func (t *placement) betterReceiver(l, than *load) bool {
	if far := t.inOtherDomain(l); far != t.inOtherDomain(than) {
		return !far
	}
	return len(l.decodes) < len(than.decodes)
}

// computeCost works out the cost of a choice.
func (t *placement) computeCost(c *choice) {
	for i := range c.loads {
		l := &c.loads[i]
		c.delaysOthers = c.delaysOthers || !l.toleratesPause(c.prefill)
		c.delayCost += l.delayCost(c.prefill)
		c.cost += idleCost * c.start.Sub(l.freeAt).Seconds()
	}
	c.cost += c.delayCost
	value := t.ask.value()
	first := c.end().Sub(t.now) + t.passTime(&c.loads[0])
	c.late = float64(first) > onTimeShare*float64(t.ask.Objective)
	if c.late {
		c.cost += lateLossShare * value
	}
	if first > t.ask.Left {
		c.cost += value
	}
	c.cost += slowCost * value * first.Seconds() / max(t.ask.Left.Seconds(), 1e-3)
}

// spreadsMemory reports whether the prompt needs the memory of several engines.
func (t *placement) spreadsMemory() bool {
	memory := t.service.Figures.Memory
	return memory > 0 && t.ask.need() > int64(memoryShare*float64(memory))
}

// tokensPerEngine returns the tokens of each engine when the memory is spread over n.
func (t *placement) tokensPerEngine(n int) int64 {
	return (t.ask.need() + int64(n) - 1) / int64(n)
}

// canReceive reports whether an engine has the memory to be the first of n.
func (t *placement) canReceive(l *load, n int) bool {
	if t.spreadsMemory() {
		return l.freeMemory() >= t.tokensPerEngine(n)
	}
	return l.freeMemory() >= t.ask.need()
}

func (t *placement) sharesFit(loads []load) bool {
	if !t.spreadsMemory() {
		return true
	}
	share := t.tokensPerEngine(len(loads))
	for i := range loads {
		if loads[i].freeMemory() < share {
			return false
		}
	}
	return true
}

func (t *placement) parts(c *choice) []Part {
	parts := make([]Part, len(c.loads))
	for i := range c.loads {
		var reserve int64
		if t.spreadsMemory() && i > 0 {
			reserve = t.tokensPerEngine(len(c.loads))
		}
		parts[i] = newPart(&c.loads[i], reserve)
	}
	return parts
}

// noCapacity tells a prompt that no engines ever hold, and one that has no time left, from
// one that has to wait for memory or slots.
func (t *placement) noCapacity(read time.Duration) Verdict {
	most := t.maxEngines()
	held := int64(most) * int64(memoryShare*float64(t.service.Figures.Memory))
	switch {
	case t.service.Figures.Memory > 0 && t.ask.need() > held:
		return TooLarge
	case read/time.Duration(most) > t.ask.Left && !t.ask.Begun:
		return TooLate
	}
	return Full
}
