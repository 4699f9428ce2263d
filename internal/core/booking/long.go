package booking

import (
	"cmp"
	"slices"
	"time"
)

// Bounds and weights of the choice of engines for a long prompt. Costs are in units of
// Request.value.
const (
	// onTimeShare is the share of the objective within which the first event must be expected
	// to count as in time, because engines may be slower than their figures.
	onTimeShare = 0.85
	// sendLead is how long before the engines are free the request is sent, for the
	// network latency.
	sendLead = 5 * time.Millisecond
	// idleCost is the cost per second of an engine that is idle until the others are free: the
	// value that it would earn with prompts of about 200,000 tokens.
	idleCost = 13.0
	// waitCost ranks engines by when they are free, per second.
	waitCost = 30.0
	// slowCost prefers the earlier of two choices that are in time; it is the share of the
	// value that using all of the time left costs.
	slowCost = 0.2
	// yieldFactor is the multiple of the expected time that must be left before the deadline
	// for a late prompt to yield to those in time.
	yieldFactor = 1.5
	// otherDomainCostLong is the cost of a part in another failure domain: a cut between the
	// domains ends its prefill.
	otherDomainCostLong = 1.0
	// postponeBy is the delay after which a prompt that makes others late must still be in
	// time itself to yield to them: two of the pauses after which its daemon asks again.
	postponeBy = 200 * time.Millisecond
)

// choice is one set of engines for the prefill of a long prompt.
type choice struct {
	loads        []load // the engines, the first receives the request
	start        time.Time
	part         time.Duration // prefill time of a part by the figures
	prefill      time.Duration // time of the part on the slowest engine
	cost         float64
	delayCost    float64 // part of cost: the value lost by delaying other requests
	late         bool
	delaysOthers bool // makes other requests late
	// delaysMoreUrgent says that it makes requests of a more urgent rank late.
	delaysMoreUrgent bool
}

func (c *choice) end() time.Time { return c.start.Add(c.prefill) }

// isBusy reports whether the engines are still busy with other prefills.
func (c *choice) isBusy(now time.Time) bool { return c.start.Sub(now) > sendLead }

// planLong takes the choice with the lowest cost, for the prompt itself and for the
// decodes on the engines. A prompt that will be late anyway yields to those in time: it waits
// for free engines, and books busy ones only when little time is left. One that is in time but
// makes others late yields as well, as long as it stays in time.
func (t *placement) planLong(prefill time.Duration) Plan {
	best := t.cheapest(prefill)
	if best == nil {
		verdict := t.noCapacity(prefill)
		t.scarce = verdict == Full
		return Plan{Verdict: verdict}
	}
	first := best.end().Sub(t.now) + t.passTime(&best.loads[0])
	whole := first + t.decodeTime(best)
	t.late, t.canWait = best.late, t.waitLimit(first, whole)
	switch {
	case t.req.Begun: // is neither refused nor made to yield
	case first > t.req.Left:
		return Plan{Verdict: TooLate, First: first}
	case t.mustYield(best):
		return t.yieldToOthers(first)
	case t.shouldYield(best, first, whole):
		t.scarce = best.isBusy(t.now)
		return Plan{Verdict: Yield, First: first}
	case t.canPostpone(best, first):
		return Plan{Verdict: Yield, First: first}
	case best.delaysMoreUrgent && t.canWait > 0:
		return Plan{Verdict: Yield, Reason: ReasonOutranked, First: first}
	case best.late && best.delayCost > (1-lateLossShare)*t.req.value():
		return Plan{Verdict: TooLate, First: first}
	}
	return Plan{
		Reason:  best.reason(),
		Parts:   t.parts(best),
		Wait:    max(best.start.Sub(t.now)-sendLead, 0),
		First:   first,
		Read:    best.prefill,
		Figured: t.figuredLong(best),
	}
}

// shouldYield reports whether the prompt should wait for free engines: it will be late
// anyway, and there is time left before its deadline and before its caller gives up.
func (t *placement) shouldYield(c *choice, first, whole time.Duration) bool {
	if !c.late || !c.isBusy(t.now) && !c.delaysOthers || t.givesUpBefore(first+refusalLead) {
		return false
	}
	return t.req.Left >= time.Duration(yieldFactor*float64(whole))
}

// canPostpone reports whether the prompt makes decodes late unnecessarily: most of them will
// end soon, for an answer to a short prompt takes two seconds, and the prompt itself would still
// be in time a little later. This protects running answers when the load changes from short
// prompts to long ones.
func (t *placement) canPostpone(c *choice, first time.Duration) bool {
	return !c.late && c.delaysOthers && float64(first+postponeBy) < onTimeShare*float64(t.req.Objective)
}

// decodeTime returns the time to decode the answer. If the memory of a prompt is spread over
// engines, each step takes the time of the largest part only.
func (t *placement) decodeTime(c *choice) time.Duration {
	own := t.req.need()
	if t.spreadsMemory() {
		own = t.tokensPerEngine(len(c.loads))
	}
	on := &c.loads[0]
	return on.engine.scale(t.service.Figures.DecodeTime(t.req.Expected, len(on.decodes)+1, on.context+own))
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

// maxEngines returns how many engines may prefill one prompt.
func (t *placement) maxEngines() int {
	return min(len(t.loads), t.service.Figures.MaxHelpers+1)
}

// cheapest returns the choice with the lowest cost over all numbers of engines, nil when none
// holds the prompt.
func (t *placement) cheapest(prefill time.Duration) *choice {
	var best *choice
	maxEngines := t.maxEngines()
	r := ranking{loads: t.loads, inOtherDomain: t.inOtherDomain, best: make([]candidate, 0, maxEngines)}
	for n := 1; n <= maxEngines; n++ {
		if c := t.newChoice(r.cheapest(n, prefill/time.Duration(n), t.now), prefill); c != nil && (best == nil || c.cost < best.cost) {
			best = c
		}
	}
	return best
}

// ranking finds the engines on which a part of a length costs the least. It keeps the best few
// in one pass over all loads, for sorting all of them for each number of parts takes the keeper
// twice the processor time.
type ranking struct {
	loads         []load
	inOtherDomain func(*load) bool
	best          []candidate // of the present call of cheapest, in order
	out           []load      // loads of best
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
		own := l.engine.scale(part)
		c := candidate{l, l.delayCost(own) + waitCost*(l.freeAt.Sub(now)+own-part).Seconds()}
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

// insert adds a candidate to best if it is among the n best so far.
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

// before reports whether c is better than d: by cost, then by fewer decodes, then by the later
// place in the packing order.
func (c candidate) before(d candidate) bool {
	return cmp.Or(
		cmp.Compare(c.cost, d.cost),
		cmp.Compare(len(c.load.decodes), len(d.load.decodes)),
		cmp.Compare(d.load.engine.packRank, c.load.engine.packRank),
	) < 0
}

// newChoice returns the choice of exactly these engines, nil when none of them can receive the
// prompt or their memory does not hold it. The engine with the fewest decodes receives it.
func (t *placement) newChoice(from []load, prefill time.Duration) *choice {
	loads := slices.Clone(from)
	c := &choice{loads: loads, start: t.now, part: prefill / time.Duration(len(loads))}
	for i := range loads {
		c.prefill = max(c.prefill, loads[i].engine.scale(c.part))
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

// receiver returns the index of the engine that receives the request, -1 when none can.
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

// betterReceiver reports whether one engine is a better receiver than another: the answer comes
// from there, so engines of the daemon's own failure domain go first, then faster ones.
func (t *placement) betterReceiver(l, than *load) bool {
	if far := t.inOtherDomain(l); far != t.inOtherDomain(than) {
		return !far
	}
	if l.engine.factor != than.engine.factor {
		return l.engine.factor < than.engine.factor
	}
	return len(l.decodes) < len(than.decodes)
}

// computeCost sets the cost of a choice and whether it or others are late.
func (t *placement) computeCost(c *choice) {
	for i := range c.loads {
		l := &c.loads[i]
		own := l.engine.scale(c.part)
		if !l.toleratesPause(own) {
			c.delaysOthers = true
			c.delaysMoreUrgent = c.delaysMoreUrgent || l.delaysMoreUrgent(own, t.req)
		}
		c.delayCost += l.delayCost(own)
		c.cost += idleCost * c.start.Sub(l.freeAt).Seconds()
	}
	c.cost += c.delayCost
	value := t.req.value()
	first := c.end().Sub(t.now) + t.passTime(&c.loads[0])
	c.late = float64(first) > onTimeShare*float64(t.req.Objective)
	if c.late {
		c.cost += lateLossShare * value
	}
	if first > t.req.Left {
		c.cost += value
	}
	c.cost += slowCost * value * first.Seconds() / max(t.req.Left.Seconds(), 1e-3)
}

// spreadsMemory reports whether the prompt needs the memory of several engines.
func (t *placement) spreadsMemory() bool {
	memory := t.service.Figures.Memory
	return memory > 0 && t.req.need() > int64(memoryShare*float64(memory))
}

// tokensPerEngine returns the tokens of each engine when the memory is spread over n.
func (t *placement) tokensPerEngine(n int) int64 {
	return (t.req.need() + int64(n) - 1) / int64(n)
}

// canReceive reports whether an engine has the memory to be the receiver among n engines.
func (t *placement) canReceive(l *load, n int) bool {
	if t.spreadsMemory() {
		return l.freeMemory() >= t.tokensPerEngine(n)
	}
	return l.freeMemory() >= t.req.need()
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

// noCapacity returns the verdict for a prompt without a choice: TooLarge if the engines can never
// hold it, TooLate if it has no time left, and Full if it has to wait for memory or slots.
func (t *placement) noCapacity(prefill time.Duration) Verdict {
	maxEngines := t.maxEngines()
	held := int64(maxEngines) * int64(memoryShare*float64(t.service.Figures.Memory))
	switch {
	case t.service.Figures.Memory > 0 && t.req.need() > held:
		return TooLarge
	case t.shortestPrefill(prefill/time.Duration(maxEngines)) > t.req.Left && !t.req.Begun:
		return TooLate
	}
	return Full
}
