package booking

import (
	"math"
	"slices"
	"time"
)

// task is one ask under way.
type task struct {
	book    *Book
	alone   bool // what others send is not known
	limited bool // for this, engines with limits were left out
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
	t := &task{book: b, alone: alone, ask: &a, service: s, now: now}
	p := t.plan()
	b.Record(a, p, now)
	if p.Verdict == Booked {
		b.pacer.TakeTurn(p.Parts[0].Upstream, now.Add(p.Wait))
	}
	return p
}

func (t *task) plan() Plan {
	onlyFailing := t.look(false)
	switch {
	case len(t.loads) > 0:
	case t.limited:
		return Plan{Verdict: AtLimit}
	default:
		return Plan{Verdict: NoEngine}
	}
	read := t.service.Figures.PrefillTime(t.ask.Prompt)
	var p Plan
	if read <= t.book.shortRead(t.ask.Service) && t.fitsOne() {
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

// look fills in the loads of the engines that may be taken. Those that fail are
// taken when no other is left, those that were tried before after them.
func (t *task) look(all bool) (onlyFailing bool) {
	t.loads = t.loads[:0]
	for _, e := range t.book.ordered {
		if e.up.Service != t.ask.Service || !e.up.TakesWork() || slices.Contains(t.ask.Barred, e.up.ID) {
			continue
		}
		if !all && (slices.Contains(t.ask.Exclude, e.up.ID) || slices.Contains(t.ask.Avoid, e.up.ID)) {
			continue
		}
		turn, limited := t.book.pacer.NextTurn(e.up.ID, t.now)
		if limited && t.alone {
			t.limited = true
			continue
		}
		t.loads = append(t.loads, e.look(t.now, t.service.MinGap))
		if limited {
			t.loads[len(t.loads)-1].await(turn, t.now)
		}
	}
	if len(t.loads) > 0 || all {
		return all
	}
	return t.look(true)
}

func (t *task) backlog() time.Duration {
	least := time.Duration(-1)
	for i := range t.loads {
		wait := max(t.loads[i].free.Sub(t.now), 0)
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

// room returns the tokens for which the engine has memory; one whose memory is not
// known holds any prompt.
func (l *load) room() int64 {
	if l.engine.figures.Memory <= 0 {
		return math.MaxInt64
	}
	return int64(memoryShare*float64(l.engine.figures.Memory)) - l.memory
}

// fitsOne reports whether some engine has the memory for the whole prompt now.
func (t *task) fitsOne() bool {
	for i := range t.loads {
		if t.loads[i].room() >= t.ask.need() {
			return true
		}
	}
	return false
}

// Weights of the choice of an engine for a short prompt. They only order engines;
// one unit is the harm of a millisecond's wait.
const (
	// openCost keeps short prompts together: an engine is opened for them when the
	// open ones would make them wait this much longer.
	openCost = 40.0
	// orderCost opens the engines in the same order everywhere.
	orderCost = 2.0
	// gatherGain is what each writer of an open engine counts for it: short prompts gather
	// on the fullest engines, so that the others fall clear as their answers end and can
	// read long prompts without harm.
	gatherGain = 3.0
	// longWriterCost keeps them from engines that write long prompts' answers, whose
	// context slows each step.
	longWriterCost = 10.0
	// lateCost is that of an engine on which the answer will be late, by its first
	// event or by the pause of a long part that is booked there.
	lateCost = 600.0
	// farCost is that of an engine in another failure domain than the daemon, whose answers
	// a cut between them would end. It is more than a full engine there gains over one to be
	// opened here, and less than being late.
	farCost = 100.0
	// fullCost is that of an engine whose slots are nearly taken.
	fullCost = 400.0
	// overCost is that of an engine without a free slot.
	overCost = 4000.0
)

const (
	// spareSlots are left free of the slots of an engine, for a prompt that comes before
	// the end of another is known.
	spareSlots = 1
	// queueMost is how many requests may wait at an engine whose slots are taken.
	queueMost = 8
)

// leastPatience is the longest wait for a turn of a prompt that is late already. Whoever
// would be late for its turn is refused at once: a queue of late ones would make all late.
const leastPatience = 200 * time.Millisecond

func (t *task) planShort(read time.Duration) Plan {
	best, bestScore, rank := -1, 0.0, 0
	for i := range t.loads {
		l := &t.loads[i]
		if l.tight == 0 {
			rank++
		}
		if l.room() < t.ask.need() {
			continue
		}
		if score := t.shortScore(l, read, rank); best < 0 || score < bestScore {
			best, bestScore = i, score
		}
	}
	l := &t.loads[best]
	wait := l.turn
	switch {
	case len(l.writers) >= l.engine.slots()+queueMost:
		return Plan{Verdict: Full}
	case !t.ask.Begun && wait > max(t.ask.Objective, leastPatience):
		return Plan{Verdict: TooLate, Reason: ReasonLimit, First: t.shortFirst(l, read)}
	}
	reason := ReasonPacked
	if l.tight == 0 {
		reason = ReasonOpened
	}
	return Plan{Reason: reason, Parts: []Part{part(l, 0)}, Wait: wait, Read: read, First: t.shortFirst(l, read)}
}

// shortFirst returns the expected time to the first event.
func (t *task) shortFirst(l *load, read time.Duration) time.Duration {
	return t.shortWait(l) + read + t.pass(l)
}

// shortWait returns the expected time until a short prompt is read.
func (t *task) shortWait(l *load) time.Duration {
	return max(l.turn, l.current+l.unread)
}

func (t *task) shortScore(l *load, read time.Duration, rank int) float64 {
	score := millis(t.shortWait(l)) - gatherGain*float64(len(l.writers)) + longWriterCost*float64(l.long)
	if float64(t.shortFirst(l, read)) > onTimeShare*float64(t.ask.Objective) {
		score += lateCost
	}
	if l.coming > t.ask.Gap-t.pass(l)-pauseMargin {
		score += lateCost
	}
	if l.tight == 0 {
		score += openCost + orderCost*float64(rank)
	}
	if t.far(l) {
		score += farCost
	}
	slots := l.engine.slots()
	switch {
	case len(l.writers) >= slots:
		score += overCost * float64(len(l.writers)-slots+1)
	case len(l.writers) >= slots-spareSlots:
		score += fullCost
	}
	return score
}

// far reports whether an engine is in another failure domain than the daemon that asks.
func (t *task) far(l *load) bool { return t.ask.Domain != "" && l.engine.up.Domain != t.ask.Domain }

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// pass returns the time of one pass of an engine, after which events are sent.
func (t *task) pass(l *load) time.Duration {
	f := l.engine.figures
	return time.Duration(f.Stride) * f.StepTime(len(l.writers)+1, l.context+t.ask.need())
}

func part(l *load, reserve int64) Part {
	u := &l.engine.up
	return Part{Upstream: u.ID, Life: u.Incarnation, Address: u.Address, Reserve: reserve}
}
