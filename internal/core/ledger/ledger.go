package ledger

import (
	"sort"
	"time"
)

// Ledger is the books of one owner. It is not safe for concurrent use.
type Ledger struct {
	opts    Options
	engines map[string]*engine
	holders map[string]*holder // by host
	ticked  time.Time
	resumed time.Time // end of the last long pause of this process
}

// engine is the ledger's view of one owned engine.
type engine struct {
	name        string
	known       bool // its books were read since it was owned or last in doubt
	incarnation string
	total       int64
	read        time.Time // when the last applied read began
	entries     map[ID]*entry
	ended       map[ID]time.Time // ids that may still come up late, by time of their end
	missed      map[ID]time.Time // claimed reservations not in the books, by first claim
	hold        hold
}

// holder is what is known of a host's present incarnation.
type holder struct {
	incarnation string
	seq         uint64
	first       time.Time // first renewal; zero: never heard of
	renewed     time.Time // last renewal
	gone        time.Time // when the host was said to have gone; zero: it is not
}

type state uint8

const (
	pending state = iota // the engine was asked for it
	held
	ending // the engine was asked to end it
)

// entry is one holding. Its tokens count until its end is confirmed.
type entry struct {
	Item
	state     state
	reserving bool      // a reserve call has not been answered
	changed   time.Time // last sure news; books read before say nothing of it
	claimed   time.Time // last claim, at first the time it was seen
	until     time.Time // expected end, zero when not known
	acted     time.Time // last ask for its end
	cause     Cause
}

// New returns a ledger that owns no engine.
func New(opts Options) *Ledger {
	return &Ledger{
		opts:    opts.withDefaults(),
		engines: map[string]*engine{},
		holders: map[string]*holder{},
	}
}

// Own takes an engine over. Nothing is granted on it before its books are read.
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

// Disown forgets an engine; its next owner rebuilds from the engine's books.
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

// Reserve handles a front's ask. It returns one of ReserveOn, Grant and Deny,
// perhaps with others.
func (l *Ledger) Reserve(ask ReserveRequest, now time.Time) []Action {
	e := l.engines[ask.Engine]
	if e == nil {
		return l.deny(ask, NotOwner, l.opts.DenyRetryAfter)
	}
	if !e.known {
		return append(l.deny(ask, NotReady, l.opts.DenyRetryAfter), ReadBooks{Engine: e.name})
	}
	if l.replaced(ask.Holder) {
		return l.deny(ask, StaleHolder, 0)
	}
	acts := l.sawHolder(ask.Holder, now)
	return append(acts, l.reserve(e, ask, now)...)
}

func (l *Ledger) reserve(e *engine, ask ReserveRequest, now time.Time) []Action {
	id := ID{Kind: Reservation, Name: ask.ID}
	if _, ok := e.ended[id]; ok {
		return l.deny(ask, IDEnded, 0)
	}
	if old := e.entries[id]; old != nil {
		return l.askAgain(old, ask, now)
	}
	if ask.Tokens > e.total {
		return l.deny(ask, TooLarge, 0)
	}
	if reason, wait := l.fits(e, ask, now); reason != "" {
		return l.deny(ask, reason, wait)
	}
	e.entries[id] = &entry{
		Item:      Item{ID: id, Holder: ask.Holder, Tokens: ask.Tokens},
		state:     pending,
		reserving: true,
		changed:   now,
		claimed:   now,
		until:     ask.Until,
	}
	e.hold.drop(ask)
	return []Action{ReserveOn{Request: ask}}
}

func (l *Ledger) deny(ask ReserveRequest, reason Reason, wait time.Duration) []Action {
	return []Action{Deny{Request: ask, Reason: reason, RetryAfter: wait}}
}

func (l *Ledger) askAgain(old *entry, ask ReserveRequest, now time.Time) []Action {
	if old.Holder != ask.Holder {
		return l.deny(ask, IDTaken, 0)
	}
	switch old.state {
	case held:
		old.claimed = now
		return []Action{Grant{Request: ask}}
	case pending:
		return l.deny(ask, InProgress, l.opts.DenyRetryAfter)
	default:
		return l.deny(ask, IDEnded, 0)
	}
}

// HandleReserveAnswer handles an engine's answer to a ReserveOn.
func (l *Ledger) HandleReserveAnswer(ask ReserveRequest, result Result, now time.Time) []Action {
	e := l.engines[ask.Engine]
	if e == nil {
		// Let go of while the call was under way: the next owner may find it.
		return l.deny(ask, AnswerLost, l.opts.DenyRetryAfter)
	}
	id := ID{Kind: Reservation, Name: ask.ID}
	en := e.entries[id]
	if en == nil {
		// Ended while the call was under way: what it may have taken must go.
		en = &entry{Item: Item{ID: id, Holder: ask.Holder, Tokens: ask.Tokens}, state: ending, cause: CauseLate}
		e.entries[id] = en
	}
	en.reserving = false
	en.changed = now
	if en.state == ending {
		return append(l.deny(ask, IDEnded, 0), l.afterEnding(e, en, result, now)...)
	}
	switch result {
	case Held:
		en.state = held
		return []Action{Grant{Request: ask}}
	case Refused:
		delete(e.entries, id)
		// The engine counts more than this ledger does.
		return append(l.deny(ask, NoMemory, l.opts.DenyRetryAfter), ReadBooks{Engine: e.name})
	default:
		return append(l.deny(ask, AnswerLost, l.opts.DenyRetryAfter), l.end(e, en, CauseLost, now)...)
	}
}

func (l *Ledger) afterEnding(e *engine, en *entry, result Result, now time.Time) []Action {
	if result != Refused {
		return l.end(e, en, en.cause, now)
	}
	return l.confirm(e, en, now)
}

// Release handles a holder's release of a reservation or an export, or its
// cancel of a running attempt. It is idempotent; Ended tells when it is done.
func (l *Ledger) Release(engineName string, id ID, h Holder, now time.Time) []Action {
	e := l.engines[engineName]
	if e == nil {
		return nil
	}
	en := e.entries[id]
	if en == nil {
		// The books may be older than the holding: ask the engine all the same.
		en = &entry{Item: Item{ID: id, Holder: h}, state: held, changed: now, claimed: now}
		e.entries[id] = en
	}
	if en.Holder.Host != h.Host {
		return nil
	}
	e.hold.dropID(id.Name)
	if en.state == ending {
		return l.act(e, en, now)
	}
	return l.end(e, en, CauseReleased, now)
}

// HandleEndAnswer handles an engine's answer to a ReleaseOn or CancelOn; ok says that
// the engine confirmed, whether or not it knew the id.
func (l *Ledger) HandleEndAnswer(engineName string, id ID, ok bool, now time.Time) []Action {
	e := l.engines[engineName]
	if e == nil || !ok {
		return nil
	}
	en := e.entries[id]
	if en == nil || en.state != ending || en.reserving {
		return nil
	}
	return l.confirm(e, en, now)
}

func (l *Ledger) confirm(e *engine, en *entry, now time.Time) []Action {
	delete(e.entries, en.ID)
	e.ended[en.ID] = now
	return []Action{Ended{Engine: e.name, ID: en.ID, Cause: en.cause}}
}

func (l *Ledger) end(e *engine, en *entry, cause Cause, now time.Time) []Action {
	en.state = ending
	en.cause = cause
	return l.act(e, en, now)
}

func (l *Ledger) act(e *engine, en *entry, now time.Time) []Action {
	en.acted = now
	if en.Kind == Running {
		return []Action{CancelOn{Engine: e.name, ID: en.ID, Cause: en.cause}}
	}
	return []Action{ReleaseOn{Engine: e.name, ID: en.ID, Cause: en.cause}}
}
