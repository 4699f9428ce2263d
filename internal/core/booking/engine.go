package booking

import (
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
}

func newEngine(u fleet.Upstream, f *cost.Figures) *engine {
	return &engine{up: u, figures: f, order: xxhash.Sum64String(u.ID)}
}

// entry is one booked attempt.
//
// Invariant: it stands in entries of each of its engines and in the book's table,
// or in neither.
type entry struct {
	ask     Ask
	plan    Plan
	engines []*engine // that are known, parts[0] first where it is
	begin   time.Time // of reading, as booked
	end     time.Time // of reading, as booked
	first   bool      // its first event has come, so its prompt is read
	long    bool      // longer than what disturbs nobody
}

// overdueShare is how much longer than so far a part that is overdue is expected
// to take, as a share of its time so far. Trial and error on a day with slow
// engines may refine it; it only has to grow with the delay.
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
func (e *entry) writes(on *engine) bool { return len(e.engines) > 0 && e.engines[0] == on }

// load is the state of an engine at one moment.
type load struct {
	engine  *engine
	free    time.Time     // when all long parts booked here are read
	unread  time.Duration // reading time of short prompts not yet read
	writers int           // requests that write here or will
	tight   int           // of them, those that bear the shortest pauses
	long    int           // of them, those with a long prompt
	helping int           // parts of others that are read or held here
	context int64         // tokens of the writers
	memory  int64         // tokens held or booked
	bears   time.Duration // the longest part that all writers bear
	avoided bool
}

// noPause is what an engine without writers bears.
const noPause = time.Hour

// look works out the load. tight is the shortest gap objective of the service.
func (e *engine) look(now time.Time, tight time.Duration) load {
	l := load{engine: e, free: now, bears: noPause}
	for _, x := range e.entries {
		e.add(&l, x, now, tight)
	}
	pass := time.Duration(e.figures.Stride) * e.figures.Step(l.writers, l.context)
	if l.bears != noPause {
		l.bears = max(l.bears-pass-pauseMargin, 0)
	}
	return l
}

func (e *engine) add(l *load, x *entry, now time.Time, tight time.Duration) {
	if !x.first {
		if x.long {
			if end := x.readEnd(now); end.After(l.free) {
				l.free = end
			}
		} else {
			l.unread += e.figures.Read(x.ask.Prompt)
		}
	}
	l.memory += x.memoryOn(e)
	if !x.writes(e) {
		l.helping++
		return
	}
	l.writers++
	l.context += x.ask.need()
	if x.long {
		l.long++
	}
	if x.ask.Gap <= 0 {
		return
	}
	l.bears = min(l.bears, x.ask.Gap)
	if x.ask.Gap <= tight {
		l.tight++
	}
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
