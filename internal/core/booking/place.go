package booking

import (
	"math"
	"slices"
	"time"
)

// placement is one ask under way.
type placement struct {
	book    *Book
	uncoordinated   bool // what others send is not known
	skippedLimited bool // for this, engines with limits were left out
	ask     *Request
	service *Service
	now     time.Time
	loads   []load
}

// Place plans an attempt and enters the plan, as the only book that plans for all.
func (b *Book) Place(a Request, now time.Time) Plan { return b.place(a, false, now) }

// PlaceUncoordinated is Place where other books may plan too. It leaves engines with limits to them.
func (b *Book) PlaceUncoordinated(a Request, now time.Time) Plan { return b.place(a, true, now) }

func (b *Book) place(a Request, alone bool, now time.Time) Plan {
	s := b.services[a.Service]
	if s == nil {
		return Plan{Verdict: NoEngine}
	}
	t := &placement{book: b, uncoordinated: alone, ask: &a, service: s, now: now}
	p := t.plan()
	b.Record(a, p, now)
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
	read := t.service.Figures.PrefillTime(t.ask.Prompt)
	var p Plan
	if read <= t.book.maxShortPrefill(t.ask.Service) && t.fitsOneEngine() {
		p = t.planShort(read)
	} else {
		p = t.planLong(read)
	}
	p.Engines = len(t.loads)
	p.Backlog = t.backlog()
	if onlyFailing && p.Verdict == Booked {
		p.Reason = ReasonOnlyFail
	}
	return p
}

// collectLoads fills in the loads of the engines that may be taken. Those that fail are
// taken when no other is left, those that were tried before after them.
func (t *placement) collectLoads(all bool) (onlyFailing bool) {
	t.loads = t.loads[:0]
	for _, e := range t.book.packOrder {
		if e.up.Service != t.ask.Service || !e.up.TakesWork() || slices.Contains(t.ask.Barred, e.up.ID) {
			continue
		}
		if !all && (slices.Contains(t.ask.Exclude, e.up.ID) || slices.Contains(t.ask.Avoid, e.up.ID)) {
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
	least := time.Duration(-1)
	for i := range t.loads {
		wait := max(t.loads[i].freeAt.Sub(t.now), 0)
		if least < 0 || wait < least {
			least = wait
		}
	}
	return max(least, 0)
}

// memoryShare is the part of an engine's memory that is booked: answers may grow
// beyond what is expected, and an engine without memory interrupts its newest
// request and reads its prompt anew.
const memoryShare = 0.95

// freeMemory returns the tokens for which the engine has memory; one whose memory is not
// known holds any prompt.
func (l *load) freeMemory() int64 {
	if l.engine.figures.Memory <= 0 {
		return math.MaxInt64
	}
	return int64(memoryShare*float64(l.engine.figures.Memory)) - l.memory
}

// fitsOneEngine reports whether some engine has the memory for the whole prompt now.
func (t *placement) fitsOneEngine() bool {
	for i := range t.loads {
		if t.loads[i].freeMemory() >= t.ask.need() {
			return true
		}
	}
	return false
}

// Weights of the choice of an engine for a short prompt. They only order engines;
// one unit is the harm of a millisecond's wait.
const (
	// openEngineCost keeps short prompts together: an engine is opened for them when the
	// open ones would make them wait this much longer.
	openEngineCost = 40.0
	// orderCost opens the engines in the same order everywhere.
	orderCost = 2.0
	// packingGain is what each writer of an open engine counts for it: short prompts gather
	// on the fullest engines, so that the others fall clear as their answers end and can
	// read long prompts without harm.
	packingGain = 3.0
	// longDecodeCost keeps them from engines that write long prompts' answers, whose
	// context slows each step.
	longDecodeCost = 10.0
	// lateCost is that of an engine on which the answer will be late, by its first
	// event or by the pause of a long part that is booked there.
	lateCost = 600.0
	// otherDomainCost is that of an engine in another failure domain than the daemon, whose answers
	// a cut between them would end. It is more than a full engine there gains over one to be
	// opened here, and less than being late.
	otherDomainCost = 100.0
	// nearlyFullCost is that of an engine whose slots are nearly taken.
	nearlyFullCost = 400.0
	// noSlotCost is that of an engine without a free slot.
	noSlotCost = 4000.0
)

const (
	// spareSlots are left free of the slots of an engine, for a prompt that comes before
	// the end of another is known.
	spareSlots = 1
	// maxQueued is how many requests may wait at an engine whose slots are taken.
	maxQueued = 8
)

// minTurnPatience is the longest wait for a turn of a prompt that is late already. Whoever
// would be late for its turn is refused at once: a queue of late ones would make all late.
const minTurnPatience = 200 * time.Millisecond

func (t *placement) planShort(read time.Duration) Plan {
	best, bestScore, rank := -1, 0.0, 0
	for i := range t.loads {
		l := &t.loads[i]
		if l.minGapDecodes == 0 {
			rank++
		}
		if l.freeMemory() < t.ask.need() {
			continue
		}
		if score := t.shortScore(l, read, rank); best < 0 || score < bestScore {
			best, bestScore = i, score
		}
	}
	l := &t.loads[best]
	wait := l.turnWait
	switch {
	case len(l.decodes) >= l.engine.slots()+maxQueued:
		return Plan{Verdict: Full}
	case !t.ask.Begun && wait > max(t.ask.Objective, minTurnPatience):
		return Plan{Verdict: TooLate, Reason: ReasonLimit, First: t.shortFirst(l, read)}
	}
	reason := ReasonPacked
	if l.minGapDecodes == 0 {
		reason = ReasonOpened
	}
	return Plan{Reason: reason, Parts: []Part{newPart(l, 0)}, Wait: wait, Read: read, First: t.shortFirst(l, read)}
}

// shortFirst returns the expected time to the first event.
func (t *placement) shortFirst(l *load, read time.Duration) time.Duration {
	return t.shortWait(l) + read + t.passTime(l)
}

// shortWait returns the expected time until a short prompt is read.
func (t *placement) shortWait(l *load) time.Duration {
	return max(l.turnWait, l.runningLong+l.shortPrefill)
}

func (t *placement) shortScore(l *load, read time.Duration, rank int) float64 {
	score := millis(t.shortWait(l)) - packingGain*float64(len(l.decodes)) + longDecodeCost*float64(l.longDecodes)
	if float64(t.shortFirst(l, read)) > onTimeShare*float64(t.ask.Objective) {
		score += lateCost
	}
	if l.bookedLong > t.ask.Gap-t.passTime(l)-pauseMargin {
		score += lateCost
	}
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

// inOtherDomain reports whether an engine is in another failure domain than the daemon that asks.
func (t *placement) inOtherDomain(l *load) bool { return t.ask.Domain != "" && l.engine.up.Domain != t.ask.Domain }

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// passTime returns the time of one pass of an engine, after which events are sent.
func (t *placement) passTime(l *load) time.Duration {
	f := l.engine.figures
	return time.Duration(f.Stride) * f.StepTime(len(l.decodes)+1, l.context+t.ask.need())
}

func newPart(l *load, reserve int64) Part {
	u := &l.engine.up
	return Part{Upstream: u.ID, Life: u.Incarnation, Address: u.Address, Reserve: reserve}
}
