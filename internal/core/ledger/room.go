package ledger

import (
	"sort"
	"time"
)

// hold keeps room on an engine for a gang that could not be served yet, so that
// a stream of smaller asks does not starve it.
type hold struct {
	request string // the request waited for; each try of its gang has a new id
	id      string // reservation id of the last try
	tokens  int64
	start   time.Time // when the gang is expected to fit
	expires time.Time
}

func (h *hold) drop(ask ReserveRequest) {
	if h.id != "" && h.request == ask.Request {
		*h = hold{}
	}
}

func (h *hold) dropID(id string) {
	if h.id == id {
		*h = hold{}
	}
}

// used returns the tokens that count against the engine's memory.
func (e *engine) used() int64 {
	var sum int64
	for _, en := range e.entries {
		if en.counts(e) {
			sum += en.Tokens
		}
	}
	return sum
}

// counts tells whether an entry's memory is its own; a running request that
// uses a reservation has its memory counted there.
func (en *entry) counts(e *engine) bool {
	if en.Kind != Running || en.Reservation == "" {
		return true
	}
	return e.entries[ID{Kind: Reservation, Name: en.Reservation}] == nil
}

// fits returns no reason when the ask may be granted, else a reason and a time
// to wait.
func (l *Ledger) fits(e *engine, ask ReserveRequest, now time.Time) (Reason, time.Duration) {
	if e.hold.id != "" && now.After(e.hold.expires) {
		e.hold = hold{}
	}
	free := e.total - e.used()
	if ask.Tokens > free {
		start := e.freeAt(ask.Tokens-free, now.Add(l.opts.DenyRetryAfter))
		l.keep(e, ask, start, now)
		return NoMemory, start.Sub(now)
	}
	if e.hold.id == "" || e.hold.request == ask.Request {
		return "", 0
	}
	if ask.Tokens+e.hold.tokens <= free {
		return "", 0
	}
	if !ask.Until.IsZero() && ask.Until.Before(e.hold.start) {
		return "", 0 // backfill: it ends before the gang can start
	}
	return KeptForGang, max(l.opts.DenyRetryAfter, e.hold.start.Sub(now))
}

// keep reserves the next free room for a gang; the first gang to ask has it.
func (l *Ledger) keep(e *engine, ask ReserveRequest, start, now time.Time) {
	if ask.GangSize < 2 {
		return
	}
	if e.hold.id != "" && e.hold.request != ask.Request {
		return
	}
	e.hold = hold{request: ask.Request, id: ask.ID, tokens: ask.Tokens, start: start, expires: now.Add(l.opts.HoldLimit)}
}

// freeAt estimates when so many more tokens are free, by the expected ends of
// what is held; at the least it returns soonest.
func (e *engine) freeAt(tokens int64, soonest time.Time) time.Time {
	var list []*entry
	for _, en := range e.entries {
		if en.counts(e) && !en.until.IsZero() {
			list = append(list, en)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].until.Before(list[j].until) })
	for _, en := range list {
		tokens -= en.Tokens
		if tokens > 0 {
			continue
		}
		if en.until.After(soonest) {
			return en.until
		}
		break
	}
	return soonest
}

// Room is a hint for placement of an engine.
type Room struct {
	Known         bool
	Total         int64
	Used          int64     // tokens held, by the ledger's books
	ReservedUntil time.Time // a gang waits to start then; zero: none does
	ReservedRoom  int64     // tokens it waits for; shorts that end before ReservedUntil may use them
}

// Room returns the hint for an engine; ok is false when it is not owned.
func (l *Ledger) Room(name string, now time.Time) (r Room, ok bool) {
	e := l.engines[name]
	if e == nil {
		return Room{}, false
	}
	r = Room{Known: e.known, Total: e.total, Used: e.used()}
	if e.hold.id != "" && !now.After(e.hold.expires) {
		r.ReservedUntil = e.hold.start
		r.ReservedRoom = e.hold.tokens
	}
	return r, true
}
