package booking

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/buckthorndock/buckthorndock/internal/core/cost"
	"github.com/buckthorndock/buckthorndock/internal/core/fleet"
	"github.com/buckthorndock/buckthorndock/internal/core/speed"
)

// engine is one engine of the book.
type engine struct {
	up       fleet.Upstream
	figures  *cost.Figures
	packRank uint64 // packing order, the same on all daemons
	// factor is how much longer it takes than its figures say. A change of it invalidates the
	// cached load.
	factor float64

	// entries are the attempts with a part here, in the order of booking.
	entries []*entry

	// cachedLoad is the part of the load that depends on the entries only, and prefilling are
	// the entries whose part depends on the time; both are valid while cacheValid. Computing
	// them for each prompt would take the keeper most of a core on a large site.
	cachedLoad   load
	prefilling   []*entry
	cachedMinGap time.Duration // MinGap for which cachedLoad was computed
	cacheValid   bool
}

// invalidate drops the cached load after a change of the entries or the figures.
func (e *engine) invalidate() { e.cacheValid = false }

func newEngine(u fleet.Upstream, f *cost.Figures) *engine {
	return &engine{up: u, figures: f, packRank: xxhash.Sum64String(u.ID), factor: speed.Neutral}
}

// entry is one booked attempt.
//
// Invariant: it is in entries of each of its engines and in entries of the book, or in
// neither.
type entry struct {
	req          Request
	plan         Plan
	engines      []*engine // the known engines of the plan's parts
	expires      time.Time // when it is dropped even if its end was not reported
	prefillStart time.Time // as booked
	prefillEnd   time.Time // as booked
	hasFirst     bool      // its first event has come, so its prefill is done
	long         bool      // in several parts, or longer than maxShortPrefill
}

// overdueShare is the expected remaining time of a part that is overdue, as a share of
// its time so far. It only has to grow with the delay.
const overdueShare = 0.25

// expectedPrefillEnd returns when the prefill of the attempt's parts is expected to end.
func (e *entry) expectedPrefillEnd(now time.Time) time.Time {
	if e.hasFirst {
		return now
	}
	if e.prefillEnd.After(now) {
		return e.prefillEnd
	}
	return now.Add(time.Duration(overdueShare * float64(now.Sub(e.prefillStart))))
}

// decodesOn reports whether the attempt decodes on an engine, or will, rather than only
// prefilling a part there.
func (e *entry) decodesOn(on *engine) bool { return e.plan.Parts[0].Upstream == on.up.ID }

// valueExponent is the exponent with which the value of an answer in time grows with its
// prompt: callers rate a long prompt higher than a short one, but less than in proportion.
const valueExponent = 0.7

// lateLossShare is the share of an answer's value that is lost when it is late.
const lateLossShare = 0.75

// value returns the value of an answer in time, 1 for a prompt of up to a thousand tokens.
func (a *Request) value() float64 {
	return math.Pow(max(float64(a.Prompt)/1000, 1), valueExponent)
}

// decodeRequest is one request that decodes on an engine, or will.
type decodeRequest struct {
	maxPause time.Duration // the longest prefill that does not make it late
	maxStall time.Duration // the longest prefill after which it is neither moved nor abandoned
	value    float64
	rank     int
}

// A stream that waits longer for its next event than stallGaps times its gap objective, and
// than minStall, is moved to another engine, where its prompt is prefilled again.
const (
	stallGaps = 4
	minStall  = 1500 * time.Millisecond
)

// slotValue is the value that a slot earns in a second: the answer to a short prompt takes a
// slot for about two seconds.
const slotValue = 1.5

// load is the state of an engine at one moment.
type load struct {
	engine        *engine
	turnWait      time.Duration // until a request may be sent here
	freeAt        time.Time     // when a request may be sent here and all long parts booked here are prefilled
	runningLong   time.Duration // remaining time of the long part that is being prefilled
	bookedLong    time.Duration // the longest long part that is booked and not started
	shortPrefill  time.Duration // prefill time of the short prompts without a first event
	decodes       []decodeRequest
	minGapDecodes int   // number of decodes with the shortest gap objectives
	longDecodes   int   // number of decodes with a long prompt
	helperParts   int   // number of parts of prompts that decode elsewhere
	context       int64 // tokens of the decodes
	memory        int64 // tokens held or booked
}

// unlimitedPause is the pause that a decode without a gap objective tolerates.
const unlimitedPause = time.Hour

func (e *entry) decode() decodeRequest {
	gap := e.req.Gap
	if gap <= 0 {
		gap = unlimitedPause
	}
	return decodeRequest{maxPause: gap, maxStall: max(stallGaps*gap, minStall), value: e.req.value(), rank: e.req.decodeRank()}
}

// defaultSlots is assumed if neither the service nor the upstream says how many requests run
// at once: few enough for any engine that batches.
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

// loadAt returns the load at a time. minGap is the shortest gap objective of the service. The
// decodes are shared by all loads of the engine and must not be changed.
func (e *engine) loadAt(now time.Time, minGap time.Duration) load {
	if !e.cacheValid || e.cachedMinGap != minGap {
		e.recomputeCache(minGap)
	}
	l := e.cachedLoad
	l.freeAt = now
	for _, x := range e.prefilling {
		e.addPrefill(&l, x, now)
	}
	return l
}

// delayUntil records that nothing may be sent to the engine before a turn.
func (l *load) delayUntil(turn, now time.Time) {
	l.turnWait = turn.Sub(now)
	if turn.After(l.freeAt) {
		l.freeAt = turn
	}
}

// recomputeCache computes cachedLoad and prefilling.
func (e *engine) recomputeCache(minGap time.Duration) {
	e.cachedLoad, e.prefilling = load{engine: e}, e.prefilling[:0]
	e.cachedMinGap, e.cacheValid = minGap, true
	l := &e.cachedLoad
	for _, x := range e.entries {
		e.addEntry(l, x, minGap)
		if !x.hasFirst {
			e.prefilling = append(e.prefilling, x)
		}
	}
	pass := l.passTime()
	for i := range l.decodes {
		l.decodes[i].maxPause -= pass + pauseMargin
	}
}

func (e *engine) addEntry(l *load, x *entry, minGap time.Duration) {
	l.memory += x.memoryOn(e)
	if !x.decodesOn(e) {
		l.helperParts++
		return
	}
	l.context += x.req.need()
	if x.long {
		l.longDecodes++
	}
	l.decodes = append(l.decodes, x.decode())
	if x.req.Gap > 0 && x.req.Gap <= minGap {
		l.minGapDecodes++
	}
}

func (e *engine) addPrefill(l *load, x *entry, now time.Time) {
	if !x.long {
		l.shortPrefill += e.scale(e.figures.PrefillTime(x.req.Prompt))
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

// passTime returns the time of a pass with the present decodes.
func (l *load) passTime() time.Duration {
	return l.engine.scale(l.engine.figuredPass(len(l.decodes), l.context))
}

// delayCost returns the value that is lost on the engine by a prefill of the length: that of
// the decodes that do not tolerate it, and of their slots meanwhile.
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

// toleratesPause reports whether a pause of the length makes no decode late.
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
		return max(e.req.need()-reserved, 0)
	}
	return own
}
