package booking

import (
	"math"
	"slices"
	"time"
)

// placement is one call of Place.
type placement struct {
	book           *Book
	uncoordinated  bool // other books may plan too, so what they send is not known
	skippedLimited bool // engines with limits were left out because of uncoordinated
	req            *Request
	service        *Service
	now            time.Time
	loads          []load

	canWait time.Duration // for how long it can wait before it is booked; negative: not at all
	late    bool          // it will be late
	ahead   string        // the waiting attempt that goes before it
	scarce  bool          // it is to ask again because there is no capacity for it
}

// Place plans an attempt and enters the plan; this book plans for all daemons.
func (b *Book) Place(a Request, now time.Time) Plan { return b.place(a, false, now) }

// PlaceUncoordinated is Place while other books may plan too. It books no engines with limits,
// because the other books may send requests there.
func (b *Book) PlaceUncoordinated(a Request, now time.Time) Plan { return b.place(a, true, now) }

func (b *Book) place(a Request, uncoordinated bool, now time.Time) Plan {
	s := b.services[a.Service]
	if s == nil {
		return Plan{Verdict: NoEngine}
	}
	t := &placement{book: b, uncoordinated: uncoordinated, req: &a, service: s, now: now}
	b.refreshSpeeds(now)
	p := t.plan()
	b.arrivals.noteVerdict(a.ID, p.Verdict, now)
	b.record(a, p, now)
	b.account(t, p)
	if p.Verdict == Booked {
		b.pacer.TakeTurn(p.Parts[0].Upstream, now.Add(p.Wait))
	}
	return p
}

func (t *placement) plan() Plan {
	onlyFailing := t.collectLoads(false)
	switch {
	case len(t.loads) > 0:
	case t.skippedLimited:
		return Plan{Verdict: AtLimit}
	default:
		return Plan{Verdict: NoEngine}
	}
	prefill := t.service.Figures.PrefillTime(t.req.Prompt)
	var p Plan
	if prefill <= t.book.maxShortPrefill(t.req.Service) && t.fitsOneEngine() {
		t.book.arrivals.record(t.req, t.now)
		p = t.planShort(prefill)
	} else {
		p = t.planLong(prefill)
	}
	p.Engines = len(t.loads)
	p.Backlog = t.backlog()
	if onlyFailing && p.Verdict == Booked {
		p.Reason = ReasonOnlyFail
	}
	return p
}

// collectLoads fills in the loads of the usable engines. If there are none, it calls itself with
// all set, which includes engines that fail or were tried before; onlyFailing reports that.
func (t *placement) collectLoads(all bool) (onlyFailing bool) {
	t.loads = t.loads[:0]
	for _, e := range t.book.packOrder {
		if e.up.Service != t.req.Service || !e.up.TakesWork() || slices.Contains(t.req.Barred, e.up.ID) {
			continue
		}
		if !all && (slices.Contains(t.req.Exclude, e.up.ID) || slices.Contains(t.req.Avoid, e.up.ID)) {
			continue
		}
		turn, limited := t.book.pacer.NextTurn(e.up.ID, t.now)
		if limited && t.uncoordinated {
			t.skippedLimited = true
			continue
		}
		t.loads = append(t.loads, e.loadAt(t.now, t.service.MinGap))
		if limited {
			t.loads[len(t.loads)-1].delayUntil(turn, t.now)
		}
	}
	if len(t.loads) > 0 || all {
		return all
	}
	return t.collectLoads(true)
}

func (t *placement) backlog() time.Duration {
	minWait := time.Duration(-1)
	for i := range t.loads {
		wait := max(t.loads[i].freeAt.Sub(t.now), 0)
		if minWait < 0 || wait < minWait {
			minWait = wait
		}
	}
	return max(minWait, 0)
}

// memoryShare is the share of an engine's memory that is booked: answers may grow
// beyond what is expected, and an engine without memory preempts its newest request
// and prefills its prompt again.
const memoryShare = 0.95

// freeMemory returns the tokens for which the engine has memory left; an engine whose memory
// is not known holds any prompt.
func (l *load) freeMemory() int64 {
	if l.engine.figures.Memory <= 0 {
		return math.MaxInt64
	}
	return int64(memoryShare*float64(l.engine.figures.Memory)) - l.memory
}

// fitsOneEngine reports whether some engine has the memory for the whole prompt now.
func (t *placement) fitsOneEngine() bool {
	for i := range t.loads {
		if t.loads[i].freeMemory() >= t.req.need() {
			return true
		}
	}
	return false
}

// Weights of the choice of an engine for a short prompt. They only rank engines; one
// unit is the cost of a wait of one millisecond.
const (
	// openEngineCost keeps short prompts together: an engine without short prompts is opened
	// for them when the wait on the open ones would be this much longer.
	openEngineCost = 40.0
	// orderCost makes all daemons open the engines in the same order.
	orderCost = 2.0
	// packingGain is the credit of an open engine for each of its decodes: short prompts are
	// packed on the fullest engines, so that the others run empty as their answers end and
	// can prefill long prompts without making others late.
	packingGain = 3.0
	// longDecodeCost keeps short prompts off engines that decode long prompts, whose context
	// slows each step.
	longDecodeCost = 10.0
	// lateCost is the cost of an engine on which the answer will be late, by its first event
	// or by the pause for a long part that is booked there.
	lateCost = 600.0
	// otherDomainCost is the cost of an engine in another failure domain than the daemon's, whose
	// answers a cut between the domains would end. It is more than the advantage of a full
	// engine there over one to be opened here, and less than being late.
	otherDomainCost = 100.0
	// nearlyFullCost is the cost of an engine whose slots are nearly all taken.
	nearlyFullCost = 400.0
	// noSlotCost is the cost of an engine without a free slot.
	noSlotCost = 4000.0
)

const (
	// spareSlots are the slots of an engine that are left free, for a prompt that comes
	// before the end of another one is known.
	spareSlots = 1
	// maxQueued is how many requests may queue at an engine whose slots are taken.
	maxQueued = 8
)

// minTurnPatience is the longest wait for a turn of a prompt that is late already. A prompt
// that would be late for its turn is refused at once: a queue of late ones would make all late.
const minTurnPatience = 200 * time.Millisecond

func (t *placement) planShort(prefill time.Duration) Plan {
	best, bestScore, rank := -1, 0.0, 0
	for i := range t.loads {
		l := &t.loads[i]
		if l.minGapDecodes == 0 {
			rank++
		}
		if l.freeMemory() < t.req.need() {
			continue
		}
		if score := t.shortScore(l, prefill, rank); best < 0 || score < bestScore {
			best, bestScore = i, score
		}
	}
	l := &t.loads[best]
	wait := l.turnWait
	switch {
	case len(l.decodes) >= l.engine.slots()+maxQueued:
		t.scarce = true
		return Plan{Verdict: Full}
	case !t.req.Begun && wait > max(t.req.Objective, minTurnPatience):
		return Plan{Verdict: TooLate, Reason: ReasonLimit, First: t.shortFirst(l, prefill)}
	}
	if p, hold := t.holdShort(l, prefill); hold {
		return p
	}
	reason := ReasonPacked
	if l.minGapDecodes == 0 {
		reason = ReasonOpened
	}
	return Plan{
		Reason:  reason,
		Parts:   []Part{newPart(l, 0)},
		Wait:    wait,
		Read:    l.engine.scale(prefill),
		First:   t.shortFirst(l, prefill),
		Figured: t.figuredShort(l, prefill),
	}
}

// shortFirst returns the expected time to the first event, given the prefill time by the figures.
func (t *placement) shortFirst(l *load, prefill time.Duration) time.Duration {
	return t.shortWait(l) + l.engine.scale(prefill) + t.passTime(l)
}

// shortWait returns the expected time until the prefill of a short prompt starts.
func (t *placement) shortWait(l *load) time.Duration {
	return max(l.turnWait, l.runningLong+l.shortPrefill)
}

func (t *placement) shortScore(l *load, prefill time.Duration, rank int) float64 {
	score := millis(t.shortWait(l)) - packingGain*float64(len(l.decodes)) + longDecodeCost*float64(l.longDecodes)
	if float64(t.shortFirst(l, prefill)) > onTimeShare*float64(t.req.Objective) {
		score += lateCost
	}
	if l.bookedLong > t.req.Gap-t.passTime(l)-pauseMargin {
		score += lateCost
	}
	score += t.slowness(l, prefill)
	if l.minGapDecodes == 0 {
		score += openEngineCost + orderCost*float64(rank)
	}
	if t.inOtherDomain(l) {
		score += otherDomainCost
	}
	slots := l.engine.slots()
	switch {
	case len(l.decodes) >= slots:
		score += noSlotCost * float64(len(l.decodes)-slots+1)
	case len(l.decodes) >= slots-spareSlots:
		score += nearlyFullCost
	}
	return score
}

// inOtherDomain reports whether an engine is in another failure domain than the daemon that sends
// the request.
func (t *placement) inOtherDomain(l *load) bool {
	return t.req.Domain != "" && l.engine.up.Domain != t.req.Domain
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// passTime returns the time of one pass of an engine with the request, after which events are
// sent.
func (t *placement) passTime(l *load) time.Duration {
	return l.engine.scale(t.figuredPass(l))
}

func newPart(l *load, reserve int64) Part {
	u := &l.engine.up
	return Part{Upstream: u.ID, Life: u.Incarnation, Address: u.Address, Reserve: reserve}
}
