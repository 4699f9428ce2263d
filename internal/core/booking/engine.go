package booking

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/buckthorndock/buckthorndock/internal/core/cost"
	"github.com/buckthorndock/buckthorndock/internal/core/fleet"
)

// engine is one engine of the book.
type engine struct {
	up      fleet.Upstream
	figures *cost.Figures
	packRank   uint64 // fixed and the same on all daemons: the order of packing

	// entries are the attempts that have a part here, in the order of booking.
	entries []*entry

	// cachedLoad is the part of the load that changes with the entries only, and reading are
	// the entries that change it with time; both hold while tallied. To work them out for
	// each prompt would take the keeper most of a core on a large site.
	cachedLoad  load
	prefilling []*entry
	cachedMinGap   time.Duration // for which steady was worked out
	cacheValid bool
}

// invalidate says that the entries or the figures have changed.
func (e *engine) invalidate() { e.cacheValid = false }

func newEngine(u fleet.Upstream, f *cost.Figures) *engine {
	return &engine{up: u, figures: f, packRank: xxhash.Sum64String(u.ID)}
}

// entry is one booked attempt.
//
// Invariant: it stands in entries of each of its engines and in the book's table,
// or in neither.
type entry struct {
	ask     Request
	plan    Plan
	engines []*engine // of the plan's parts, those that are known
	expires   time.Time // when it has ended in any case
	prefillStart   time.Time // of reading, as booked
	prefillEnd     time.Time // of reading, as booked
	hasFirst   bool      // its first event has come, so its prompt is read
	long    bool      // longer than what disturbs nobody
}

// overdueShare is how much longer than so far a part that is overdue is expected
// to take, as a share of its time so far. It only has to grow with the delay.
const overdueShare = 0.25

// expectedPrefillEnd returns when the attempt's part will have been read.
func (e *entry) expectedPrefillEnd(now time.Time) time.Time {
	if e.hasFirst {
		return now
	}
	if e.prefillEnd.After(now) {
		return e.prefillEnd
	}
	return now.Add(time.Duration(overdueShare * float64(now.Sub(e.prefillStart))))
}

// decodesOn reports whether the attempt writes on an engine, or will, in place of
// only helping there.
func (e *entry) decodesOn(on *engine) bool { return e.plan.Parts[0].Upstream == on.up.ID }

// valueExponent is the exponent with which the worth of an answer in time grows with its
// prompt: callers rate a long prompt higher than a short one, and less than in proportion.
const valueExponent = 0.7

// lateLossShare is the part of an answer's worth that is lost when it is late.
const lateLossShare = 0.75

// value returns the worth of an answer in time, 1 for a prompt of a thousand tokens.
func (a *Request) value() float64 {
	return math.Pow(max(float64(a.Prompt)/1000, 1), valueExponent)
}

// decodeRequest is one request that writes on an engine, or will.
type decodeRequest struct {
	maxPause time.Duration // the longest part that does not make it late
	maxStall time.Duration // the longest part that it waits for before it moves or is left
	value float64
}

// Waits of a writer for its next event, in its gap objective and at the least: those
// after which a stream is moved to another engine, where its prompt is read anew.
const (
	stallGaps  = 4
	minStall = 1500 * time.Millisecond
)

// slotValue is the worth that a writer's place earns in a second: a short prompt's
// answer holds one for about two.
const slotValue = 1.5

// load is the state of an engine at one moment.
type load struct {
	engine  *engine
	turnWait    time.Duration // until a request may be sent here
	freeAt    time.Time     // when it may be sent to and all long parts booked here are read
	runningLong time.Duration // left of the long part that is being read
	bookedLong  time.Duration // the longest long part that is booked and not begun
	shortPrefill  time.Duration // reading time of short prompts not yet read
	decodes []decodeRequest
	minGapDecodes   int   // of the writers, those that bear the shortest pauses
	longDecodes    int   // of the writers, those with a long prompt
	helperParts int   // parts of others that are read or held here
	context int64 // tokens of the writers
	memory  int64 // tokens held or booked
}

// unlimitedPause is what a writer bears that has no objective for pauses.
const unlimitedPause = time.Hour

func (e *entry) decode() decodeRequest {
	gap := e.ask.Gap
	if gap <= 0 {
		gap = unlimitedPause
	}
	return decodeRequest{maxPause: gap, maxStall: max(stallGaps*gap, minStall), value: e.ask.value()}
}

// defaultSlots is assumed where neither the service nor the upstream says how many
// requests run at once: few enough for any engine that batches.
const defaultSlots = 8

// slots returns how many requests run at once.
func (e *engine) slots() int {
	switch {
	case e.figures.Slots > 0:
		return e.figures.Slots
	case e.up.Slots > 0:
		return e.up.Slots
	}
	return defaultSlots
}

// loadAt works out the load. tight is the shortest gap objective of the service. The
// writers are shared by all loads of the engine and must not be changed.
func (e *engine) loadAt(now time.Time, tight time.Duration) load {
	if !e.cacheValid || e.cachedMinGap != tight {
		e.recomputeCache(tight)
	}
	l := e.cachedLoad
	l.freeAt = now
	for _, x := range e.prefilling {
		e.addPrefill(&l, x, now)
	}
	return l
}

// delayUntil has nothing sent before a turn.
func (l *load) delayUntil(turn, now time.Time) {
	l.turnWait = turn.Sub(now)
	if turn.After(l.freeAt) {
		l.freeAt = turn
	}
}

// recomputeCache works out steady and reading.
func (e *engine) recomputeCache(tight time.Duration) {
	e.cachedLoad, e.prefilling = load{engine: e}, e.prefilling[:0]
	e.cachedMinGap, e.cacheValid = tight, true
	l := &e.cachedLoad
	for _, x := range e.entries {
		e.addEntry(l, x, tight)
		if !x.hasFirst {
			e.prefilling = append(e.prefilling, x)
		}
	}
	pass := l.passTime()
	for i := range l.decodes {
		l.decodes[i].maxPause -= pass + pauseMargin
	}
}

func (e *engine) addEntry(l *load, x *entry, tight time.Duration) {
	l.memory += x.memoryOn(e)
	if !x.decodesOn(e) {
		l.helperParts++
		return
	}
	l.context += x.ask.need()
	if x.long {
		l.longDecodes++
	}
	l.decodes = append(l.decodes, x.decode())
	if x.ask.Gap > 0 && x.ask.Gap <= tight {
		l.minGapDecodes++
	}
}

func (e *engine) addPrefill(l *load, x *entry, now time.Time) {
	if !x.long {
		l.shortPrefill += e.figures.PrefillTime(x.ask.Prompt)
		return
	}
	end := x.expectedPrefillEnd(now)
	if end.After(l.freeAt) {
		l.freeAt = end
	}
	if x.prefillStart.After(now) {
		l.bookedLong = max(l.bookedLong, x.plan.Read)
		return
	}
	l.runningLong = max(l.runningLong, end.Sub(now))
}

// passTime returns the time of a pass with the present writers.
func (l *load) passTime() time.Duration {
	f := l.engine.figures
	return time.Duration(f.Stride) * f.StepTime(len(l.decodes), l.context)
}

// delayCost returns the worth that is lost on the engine when a part of the length is
// read there: that of the writers who do not bear it, and of their places meanwhile.
func (l *load) delayCost(part time.Duration) float64 {
	sum := slotValue * part.Seconds() * float64(len(l.decodes))
	for _, w := range l.decodes {
		if part > w.maxPause {
			sum += lateLossShare * w.value
		}
		if part > w.maxStall {
			sum += w.value
		}
	}
	return sum
}

// toleratesPause reports whether no writer is made late by a part of the length.
func (l *load) toleratesPause(part time.Duration) bool {
	for _, w := range l.decodes {
		if part > w.maxPause {
			return false
		}
	}
	return true
}

// memoryOn returns the tokens that the attempt holds on one of its engines.
func (e *entry) memoryOn(on *engine) int64 {
	var reserved, own int64
	for _, p := range e.plan.Parts {
		if p.Upstream == on.up.ID {
			own = p.Reserve
		}
		reserved += p.Reserve
	}
	if e.decodesOn(on) && own == 0 {
		return max(e.ask.need()-reserved, 0)
	}
	return own
}
