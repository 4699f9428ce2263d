package ledger

import (
	"sort"
	"time"
)

// hold keeps memory free on an engine for a gang that does not fit yet, so that
// a stream of smaller requests does not starve it.
type hold struct {
	request string // id of the gang's request; each round of the gang has a new reservation id
	id      string // reservation id of the last round
	tokens  int64
	start   time.Time // when the gang is expected to fit
	expires time.Time
}

func (h *hold) clearRequest(req ReserveRequest) {
	if h.id != "" && h.request == req.Request {
		*h = hold{}
	}
}

func (h *hold) clearID(id string) {
	if h.id == id {
		*h = hold{}
	}
}

// used returns the tokens in use of the engine's memory.
func (e *engine) used() int64 {
	var sum int64
	for _, en := range e.entries {
		if en.counts(e) {
			sum += en.Tokens
		}
	}
	return sum
}

// counts reports whether an entry's tokens count as used. Those of a running
// request with a reservation are counted in the reservation.
func (en *entry) counts(e *engine) bool {
	if en.Kind != Running || en.Reservation == "" {
		return true
	}
	return e.entries[ID{Kind: Reservation, Name: en.Reservation}] == nil
}

// checkRoom returns an empty Reason if the request may be granted, else the
// reason of the denial and a time to wait.
func (l *Ledger) checkRoom(e *engine, req ReserveRequest, now time.Time) (Reason, time.Duration) {
	if e.hold.id != "" && now.After(e.hold.expires) {
		e.hold = hold{}
	}
	free := e.total - e.used()
	if req.Tokens > free {
		start := e.freeAt(req.Tokens-free, now.Add(l.opts.DenyRetryAfter))
		l.holdRoom(e, req, start, now)
		return NoMemory, start.Sub(now)
	}
	if e.hold.id == "" || e.hold.request == req.Request {
		return "", 0
	}
	if req.Tokens+e.hold.tokens <= free {
		return "", 0
	}
	if !req.Until.IsZero() && req.Until.Before(e.hold.start) {
		return "", 0 // backfilling: it ends before the gang can start
	}
	return KeptForGang, max(l.opts.DenyRetryAfter, e.hold.start.Sub(now))
}

// holdRoom keeps the memory that becomes free next for a gang. Only the first
// gang to ask gets a hold.
func (l *Ledger) holdRoom(e *engine, req ReserveRequest, start, now time.Time) {
	if req.GangSize < 2 {
		return
	}
	if e.hold.id != "" && e.hold.request != req.Request {
		return
	}
	e.hold = hold{request: req.Request, id: req.ID, tokens: req.Tokens, start: start, expires: now.Add(l.opts.HoldLimit)}
}

// freeAt estimates from the expected ends of the entries when the given number of
// further tokens will be free. It returns soonest or later.
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

// Room describes an engine's memory, in tokens, as a hint for placement.
type Room struct {
	Known         bool // the engine's books are known
	Total         int64
	Used          int64     // in use according to the ledger
	ReservedUntil time.Time // when the gang that waits for memory is expected to start; zero without one
	ReservedRoom  int64     // kept for that gang; requests that end before ReservedUntil may use it
}

// Room returns the hint for an engine; ok is false if it is not owned.
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
