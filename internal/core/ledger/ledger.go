package ledger

import (
	"sort"
	"time"
)

// Ledger tracks the holdings on the engines of one owner. It is not safe for
// concurrent use.
type Ledger struct {
	opts    Options
	engines map[string]*engine
	holders map[string]*holder // by host
	ticked  time.Time          // last Tick
	resumed time.Time          // end of the last long pause of this process
}

// engine is the ledger's view of one owned engine.
type engine struct {
	name        string
	known       bool // its books were read since it was taken over or last stopped answering
	incarnation string
	total       int64
	readStart   time.Time // when the last applied read began
	entries     map[ID]*entry
	ended       map[ID]time.Time // ended ids that the engine may still list, by time of their end
	missed      map[ID]time.Time // claimed reservations not in the books, by time of the first claim
	hold        hold
}

// holder is what is known of a host's current incarnation.
type holder struct {
	incarnation  string
	seq          uint64
	firstRenewed time.Time // first renewal; zero if there was none
	renewed      time.Time // last renewal
	goneSince    time.Time // when the host was marked gone; zero if it is not
}

type state uint8

const (
	pending state = iota // requested from the engine
	held
	ending // its end was requested from the engine
)

// entry is one holding. Its tokens count as used until its end is confirmed.
type entry struct {
	Item
	state        state
	reserving    bool      // a reserve call is unanswered
	changed      time.Time // last certain information; books read earlier do not override it
	claimed      time.Time // last claim, at first the time it was entered
	until        time.Time // expected end, zero if unknown
	endRequested time.Time // last request for its end
	cause        Cause
}

// New returns a Ledger that owns no engine.
func New(opts Options) *Ledger {
	return &Ledger{
		opts:    opts.withDefaults(),
		engines: map[string]*engine{},
		holders: map[string]*holder{},
	}
}

// Own adds an engine. Nothing is granted on it before its books are read.
func (l *Ledger) Own(name string) []Action {
	if l.engines[name] != nil {
		return nil
	}
	l.engines[name] = &engine{
		name:    name,
		entries: map[ID]*entry{},
		ended:   map[ID]time.Time{},
		missed:  map[ID]time.Time{},
	}
	return []Action{ReadBooks{Engine: name}}
}

// Disown removes an engine; its next owner starts from the engine's books.
func (l *Ledger) Disown(name string) {
	delete(l.engines, name)
}

// Owned returns the names of the owned engines, sorted.
func (l *Ledger) Owned() []string {
	names := make([]string, 0, len(l.engines))
	for n := range l.engines {
		names = append(names, n)
	}
	sort.Strings(names)
	return names
}

// Reserve handles a front's request. It returns one of ReserveOn, Grant and
// Deny, possibly with other actions.
func (l *Ledger) Reserve(req ReserveRequest, now time.Time) []Action {
	e := l.engines[req.Engine]
	if e == nil {
		return l.deny(req, NotOwner, l.opts.DenyRetryAfter)
	}
	if !e.known {
		return append(l.deny(req, NotReady, l.opts.DenyRetryAfter), ReadBooks{Engine: e.name})
	}
	if l.replaced(req.Holder) {
		return l.deny(req, StaleHolder, 0)
	}
	acts := l.observeHolder(req.Holder, now)
	return append(acts, l.reserve(e, req, now)...)
}

func (l *Ledger) reserve(e *engine, req ReserveRequest, now time.Time) []Action {
	id := ID{Kind: Reservation, Name: req.ID}
	if _, ok := e.ended[id]; ok {
		return l.deny(req, IDEnded, 0)
	}
	if old := e.entries[id]; old != nil {
		return l.repeatReserve(old, req, now)
	}
	if req.Tokens > e.total {
		return l.deny(req, TooLarge, 0)
	}
	if reason, wait := l.checkRoom(e, req, now); reason != "" {
		return l.deny(req, reason, wait)
	}
	e.entries[id] = &entry{
		Item:      Item{ID: id, Holder: req.Holder, Tokens: req.Tokens},
		state:     pending,
		reserving: true,
		changed:   now,
		claimed:   now,
		until:     req.Until,
	}
	e.hold.clearRequest(req)
	return []Action{ReserveOn{Request: req}}
}

func (l *Ledger) deny(req ReserveRequest, reason Reason, wait time.Duration) []Action {
	return []Action{Deny{Request: req, Reason: reason, RetryAfter: wait}}
}

func (l *Ledger) repeatReserve(old *entry, req ReserveRequest, now time.Time) []Action {
	if old.Holder != req.Holder {
		return l.deny(req, IDTaken, 0)
	}
	switch old.state {
	case held:
		old.claimed = now
		return []Action{Grant{Request: req}}
	case pending:
		return l.deny(req, InProgress, l.opts.DenyRetryAfter)
	default:
		return l.deny(req, IDEnded, 0)
	}
}

// HandleReserveAnswer handles an engine's answer to a ReserveOn.
func (l *Ledger) HandleReserveAnswer(req ReserveRequest, result Result, now time.Time) []Action {
	e := l.engines[req.Engine]
	if e == nil {
		// Disowned during the call: the next owner may find the reservation.
		return l.deny(req, AnswerLost, l.opts.DenyRetryAfter)
	}
	id := ID{Kind: Reservation, Name: req.ID}
	en := e.entries[id]
	if en == nil {
		// Ended during the call: what the call may have reserved is released.
		en = &entry{Item: Item{ID: id, Holder: req.Holder, Tokens: req.Tokens}, state: ending, cause: CauseLate}
		e.entries[id] = en
	}
	en.reserving = false
	en.changed = now
	if en.state == ending {
		return append(l.deny(req, IDEnded, 0), l.answerWhileEnding(e, en, result, now)...)
	}
	switch result {
	case Held:
		en.state = held
		return []Action{Grant{Request: req}}
	case Refused:
		delete(e.entries, id)
		// The engine has more memory in use than this ledger knows of.
		return append(l.deny(req, NoMemory, l.opts.DenyRetryAfter), ReadBooks{Engine: e.name})
	default:
		return append(l.deny(req, AnswerLost, l.opts.DenyRetryAfter), l.end(e, en, CauseLost, now)...)
	}
}

func (l *Ledger) answerWhileEnding(e *engine, en *entry, result Result, now time.Time) []Action {
	if result != Refused {
		return l.end(e, en, en.cause, now)
	}
	return l.confirmEnd(e, en, now)
}

// Release handles a holder's release of a reservation or an export, or its
// cancellation of a running attempt. It is idempotent; an Ended action reports
// that the engine has confirmed it.
func (l *Ledger) Release(engineName string, id ID, h Holder, now time.Time) []Action {
	e := l.engines[engineName]
	if e == nil {
		return nil
	}
	en := e.entries[id]
	if en == nil {
		// The books may be older than the holding: ask the engine anyway.
		en = &entry{Item: Item{ID: id, Holder: h}, state: held, changed: now, claimed: now}
		e.entries[id] = en
	}
	if en.Holder.Host != h.Host {
		return nil
	}
	e.hold.clearID(id.Name)
	if en.state == ending {
		return l.requestEnd(e, en, now)
	}
	return l.end(e, en, CauseReleased, now)
}

// HandleEndAnswer handles an engine's answer to a ReleaseOn or CancelOn; ok means
// that the engine confirmed the end, whether or not it knew the id.
func (l *Ledger) HandleEndAnswer(engineName string, id ID, ok bool, now time.Time) []Action {
	e := l.engines[engineName]
	if e == nil || !ok {
		return nil
	}
	en := e.entries[id]
	if en == nil || en.state != ending || en.reserving {
		return nil
	}
	return l.confirmEnd(e, en, now)
}

func (l *Ledger) confirmEnd(e *engine, en *entry, now time.Time) []Action {
	delete(e.entries, en.ID)
	e.ended[en.ID] = now
	return []Action{Ended{Engine: e.name, ID: en.ID, Cause: en.cause}}
}

func (l *Ledger) end(e *engine, en *entry, cause Cause, now time.Time) []Action {
	en.state = ending
	en.cause = cause
	return l.requestEnd(e, en, now)
}

func (l *Ledger) requestEnd(e *engine, en *entry, now time.Time) []Action {
	en.endRequested = now
	if en.Kind == Running {
		return []Action{CancelOn{Engine: e.name, ID: en.ID, Cause: en.cause}}
	}
	return []Action{ReleaseOn{Engine: e.name, ID: en.ID, Cause: en.cause}}
}
