package booking

import "time"

// When short prompts need more slots than there are, a queue that serves them in the order of
// their arrival makes all of them late. A short prompt that will be late anyway therefore waits
// while prompts that can still be in time need the free slots. It loses nothing more by that,
// as long as it is served before its caller gives up.

// refusalLead is how long before its caller gives up a waiting prompt is refused: the refusal,
// and the first event of one that is booked instead, must still reach the caller.
const refusalLead = 300 * time.Millisecond

// holdShort decides whether a short prompt, for which l is the best engine, has to wait for a
// slot. It returns the plan that says so, and false if the prompt is to be booked.
//
// A late one of a daemon of an earlier release is booked: it does not say when its caller gives up.
func (t *placement) holdShort(l *load, prefill time.Duration) (Plan, bool) {
	first := t.shortFirst(l, prefill)
	whole := first + l.engine.scale(t.service.Figures.DecodeTime(t.req.Expected, len(l.decodes)+1, l.context+t.req.need()))
	if t.req.Begun || t.service.MinObjective <= 0 || !t.hasTimeToWait(whole) {
		return Plan{}, false
	}
	t.late = float64(first) > onTimeShare*float64(t.req.Objective)
	t.canWait = t.waitLimit(first, whole)
	if t.isOutrankedForSlots() {
		return t.outrankedForSlots(first), true
	}
	switch {
	case !t.late && len(l.decodes) >= l.engine.slots():
		t.scarce = true
		return Plan{Verdict: Full, First: first}, true
	case !t.late || !t.req.knowsRanks() || float64(t.freeSlots()) >= t.reservedSlots():
		return Plan{}, false
	case t.givesUpBefore(first + refusalLead):
		return Plan{Verdict: TooLate, Reason: ReasonNoSlot, First: first}, true
	}
	t.scarce = true
	return Plan{Verdict: Yield, Reason: ReasonNoSlot, First: first}, true
}

// hasTimeToWait reports whether the whole answer, begun a little later on a busy engine, still
// ends well before the deadline.
func (t *placement) hasTimeToWait(whole time.Duration) bool {
	return t.req.Left >= time.Duration(yieldFactor*float64(whole))
}

// givesUpBefore reports whether the caller gives up within a time if no event comes.
func (t *placement) givesUpBefore(after time.Duration) bool {
	return t.req.Patience > 0 && t.req.Patience < after
}

// freeSlots returns the slots without a request of all usable engines.
func (t *placement) freeSlots() int {
	free := 0
	for i := range t.loads {
		l := &t.loads[i]
		free += max(l.engine.slots()-len(l.decodes), 0)
	}
	return free
}

// reservedSlots returns how many free slots are kept for prompts that can be in time: as many as
// short prompts of its own and of more urgent ranks arrive within an objective.
func (t *placement) reservedSlots() float64 {
	return t.book.arrivals.perSecond(t.req.Service, t.req.Rank, t.now) * t.service.MinObjective.Seconds()
}
