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
	order   uint64 // fixed and the same on all daemons: the order of packing

	// entries are the attempts that have a part here, in the order of booking.
	entries []*entry

	// steady is the part of the load that changes with the entries only, and reading are
	// the entries that change it with time; both hold while tallied. To work them out for
	// each prompt would take the keeper most of a core on a large site.
	steady  load
	reading []*entry
	tight   time.Duration // for which steady was worked out
	tallied bool
}

// changed says that the entries or the figures have changed.
func (e *engine) changed() { e.tallied = false }

func newEngine(u fleet.Upstream, f *cost.Figures) *engine {
	return &engine{up: u, figures: f, order: xxhash.Sum64String(u.ID)}
}

// entry is one booked attempt.
//
// Invariant: it stands in entries of each of its engines and in the book's table,
// or in neither.
type entry struct {
	ask     Request
	plan    Plan
	engines []*engine // of the plan's parts, those that are known
	until   time.Time // when it has ended in any case
	begin   time.Time // of reading, as booked
	end     time.Time // of reading, as booked
	first   bool      // its first event has come, so its prompt is read
	long    bool      // longer than what disturbs nobody
}

// overdueShare is how much longer than so far a part that is overdue is expected
// to take, as a share of its time so far. It only has to grow with the delay.
const overdueShare = 0.25

// readEnd returns when the attempt's part will have been read.
func (e *entry) readEnd(now time.Time) time.Time {
	if e.first {
		return now
	}
	if e.end.After(now) {
		return e.end
	}
	return now.Add(time.Duration(overdueShare * float64(now.Sub(e.begin))))
}

// writes reports whether the attempt writes on an engine, or will, in place of
// only helping there.
func (e *entry) writes(on *engine) bool { return e.plan.Parts[0].Upstream == on.up.ID }

// valueGrowth is the exponent with which the worth of an answer in time grows with its
// prompt: callers rate a long prompt higher than a short one, and less than in proportion.
const valueGrowth = 0.7

// lateShare is the part of an answer's worth that is lost when it is late.
const lateShare = 0.75

// value returns the worth of an answer in time, 1 for a prompt of a thousand tokens.
func (a *Request) value() float64 {
	return math.Pow(max(float64(a.Prompt)/1000, 1), valueGrowth)
}

// writer is one request that writes on an engine, or will.
type writer struct {
	bears time.Duration // the longest part that does not make it late
	stays time.Duration // the longest part that it waits for before it moves or is left
	value float64
}

// Waits of a writer for its next event, in its gap objective and at the least: those
// after which a stream is moved to another engine, where its prompt is read anew.
const (
	staysGaps  = 4
	staysLeast = 1500 * time.Millisecond
)

// stallCost is the worth that a writer's place earns in a second: a short prompt's
// answer holds one for about two.
const stallCost = 1.5

// load is the state of an engine at one moment.
type load struct {
	engine  *engine
	turn    time.Duration // until a request may be sent here
	free    time.Time     // when it may be sent to and all long parts booked here are read
	current time.Duration // left of the long part that is being read
	coming  time.Duration // the longest long part that is booked and not begun
	unread  time.Duration // reading time of short prompts not yet read
	writers []writer
	tight   int   // of the writers, those that bear the shortest pauses
	long    int   // of the writers, those with a long prompt
	helping int   // parts of others that are read or held here
	context int64 // tokens of the writers
	memory  int64 // tokens held or booked
}

// anyPause is what a writer bears that has no objective for pauses.
const anyPause = time.Hour

func (e *entry) writer() writer {
	gap := e.ask.Gap
	if gap <= 0 {
		gap = anyPause
	}
	return writer{bears: gap, stays: max(staysGaps*gap, staysLeast), value: e.ask.value()}
}

// unknownSlots is assumed where neither the service nor the upstream says how many
// requests run at once: few enough for any engine that batches.
const unknownSlots = 8

// slots returns how many requests run at once.
func (e *engine) slots() int {
	switch {
	case e.figures.Slots > 0:
		return e.figures.Slots
	case e.up.Slots > 0:
		return e.up.Slots
	}
	return unknownSlots
}

// look works out the load. tight is the shortest gap objective of the service. The
// writers are shared by all loads of the engine and must not be changed.
func (e *engine) look(now time.Time, tight time.Duration) load {
	if !e.tallied || e.tight != tight {
		e.tally(tight)
	}
	l := e.steady
	l.free = now
	for _, x := range e.reading {
		e.addReading(&l, x, now)
	}
	return l
}

// await has nothing sent before a turn.
func (l *load) await(turn, now time.Time) {
	l.turn = turn.Sub(now)
	if turn.After(l.free) {
		l.free = turn
	}
}

// tally works out steady and reading.
func (e *engine) tally(tight time.Duration) {
	e.steady, e.reading = load{engine: e}, e.reading[:0]
	e.tight, e.tallied = tight, true
	l := &e.steady
	for _, x := range e.entries {
		e.add(l, x, tight)
		if !x.first {
			e.reading = append(e.reading, x)
		}
	}
	pass := l.pass()
	for i := range l.writers {
		l.writers[i].bears -= pass + pauseMargin
	}
}

func (e *engine) add(l *load, x *entry, tight time.Duration) {
	l.memory += x.memoryOn(e)
	if !x.writes(e) {
		l.helping++
		return
	}
	l.context += x.ask.need()
	if x.long {
		l.long++
	}
	l.writers = append(l.writers, x.writer())
	if x.ask.Gap > 0 && x.ask.Gap <= tight {
		l.tight++
	}
}

func (e *engine) addReading(l *load, x *entry, now time.Time) {
	if !x.long {
		l.unread += e.figures.PrefillTime(x.ask.Prompt)
		return
	}
	end := x.readEnd(now)
	if end.After(l.free) {
		l.free = end
	}
	if x.begin.After(now) {
		l.coming = max(l.coming, x.plan.Read)
		return
	}
	l.current = max(l.current, end.Sub(now))
}

// pass returns the time of a pass with the present writers.
func (l *load) pass() time.Duration {
	f := l.engine.figures
	return time.Duration(f.Stride) * f.StepTime(len(l.writers), l.context)
}

// harm returns the worth that is lost on the engine when a part of the length is
// read there: that of the writers who do not bear it, and of their places meanwhile.
func (l *load) harm(part time.Duration) float64 {
	sum := stallCost * part.Seconds() * float64(len(l.writers))
	for _, w := range l.writers {
		if part > w.bears {
			sum += lateShare * w.value
		}
		if part > w.stays {
			sum += w.value
		}
	}
	return sum
}

// bearsAll reports whether no writer is made late by a part of the length.
func (l *load) bearsAll(part time.Duration) bool {
	for _, w := range l.writers {
		if part > w.bears {
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
	if e.writes(on) && own == 0 {
		return max(e.ask.need()-reserved, 0)
	}
	return own
}
