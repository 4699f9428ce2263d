package claim

import (
	"slices"
	"time"
)

// Verdict is the outcome of a claim according to the log.
type Verdict uint8

// Verdicts.
const (
	Undecided Verdict = iota // not in the log so far
	Holds                    // the claim's host may dispatch the request
	Held                     // another claim holds the key
	Conflict                 // another claim holds the key, for a request with another body
	Expired                  // the key's own timestamp is outside the key life
	Late                     // recorded more than MaxSkew after its NotAfter
	Uncertain                // earlier claims of the key may have been trimmed or lost
)

var verdictNames = [...]string{"undecided", "holds", "held", "conflict", "expired", "late", "uncertain"}

// String returns the verdict's name for logs and metrics.
func (v Verdict) String() string {
	if int(v) >= len(verdictNames) {
		return "invalid"
	}
	return verdictNames[v]
}

// EventKind is the kind of an Event.
type EventKind uint8

// Kinds of event.
const (
	EventNone     EventKind = iota // nothing was decided
	EventDecided                   // a claim got its verdict
	EventReleased                  // a holder released its key
)

// Event is the effect of one record.
type Event struct {
	Kind    EventKind
	Claim   Claim
	Offset  int64 // of Claim
	Verdict Verdict
	Holder  Holder // set if the verdict is Held or Conflict
}

// Holder is a claim that holds its key.
type Holder struct {
	ID          ID // of the claim
	Host        string
	Incarnation uint64
	Offset      int64
	Fingerprint uint64
}

func (r *Replay) applyClaim(offset int64, c Claim) Event {
	v := r.recordVerdict(c)
	if v != Holds {
		return Event{Kind: EventDecided, Claim: c, Offset: offset, Verdict: v}
	}
	key := scopedKey{c.Customer, c.Key}
	e := r.entries[key]
	if e == nil {
		e = &entry{}
		r.entries[key] = e
	} else if _, ok := e.find(c.ID); ok {
		r.restartWindow(key, e)
		return Event{} // a repeated append: the first one decides
	}
	v = r.keyVerdict(e, c)
	ev := Event{Kind: EventDecided, Claim: c, Offset: offset, Verdict: v}
	if v == Held || v == Conflict {
		ev.Holder = e.currentHolder()
	}
	if v == Holds {
		delete(r.byOffset, e.offset)
		r.byOffset[offset] = key
		e.holder, e.offset, e.released = c, offset, false
	}
	e.seen = append(e.seen, seenClaim{id: c.ID, offset: offset, verdict: v})
	r.restartWindow(key, e)
	return ev
}

// recordVerdict returns the verdicts that depend on the record only: Expired, Late
// or else Holds. A claim refused here leaves no entry, so that all replays agree
// wherever they started.
func (r *Replay) recordVerdict(c Claim) Verdict {
	if r.keyExpired(c.Key, r.clock) {
		return Expired
	}
	notAfter := time.UnixMilli(c.NotAfterMs)
	if r.clock.After(notAfter.Add(r.o.MaxSkew)) {
		return Late
	}
	return Holds
}

func (r *Replay) keyExpired(key string, now time.Time) bool {
	t, ok := KeyTime(key)
	if !ok {
		return false
	}
	return now.After(t.Add(r.o.KeyLife)) || t.After(now.Add(r.o.MaxSkew))
}

// keyVerdict returns the verdict on a claim given its key's entry. A new entry has no
// seen claims. An uncertain claim leaves the entry without a known holder, which
// blocks the key until the window has passed.
func (r *Replay) keyVerdict(e *entry, c Claim) Verdict {
	if len(e.seen) == 0 {
		if !r.isCertainAt(r.clock) || c.LifeMs != r.o.KeyLife.Milliseconds() {
			return Uncertain
		}
		return Holds
	}
	switch {
	case e.offset == 0:
		return Uncertain
	case e.holder.Fingerprint != c.Fingerprint:
		return Conflict
	case c.LifeMs != r.o.KeyLife.Milliseconds():
		return Held
	case c.Supersedes == e.offset && e.released:
		return Holds
	}
	return Held
}

// restartWindow makes the entry's window begin now. Claims that do not hold count
// too, so that a verdict depends only on the window before the claim.
func (r *Replay) restartWindow(key scopedKey, e *entry) {
	e.lastClaim = r.clock
	r.queue = append(r.queue, expiry{key: key, at: r.clock})
}

func (e *entry) find(id ID) (seenClaim, bool) {
	i := slices.IndexFunc(e.seen, func(s seenClaim) bool { return s.id == id })
	if i < 0 {
		return seenClaim{}, false
	}
	return e.seen[i], true
}

func (e *entry) currentHolder() Holder {
	return Holder{
		ID:          e.holder.ID,
		Host:        e.holder.Host,
		Incarnation: e.holder.Incarnation,
		Offset:      e.offset,
		Fingerprint: e.holder.Fingerprint,
	}
}

// Decision is the verdict on one claim ID.
type Decision struct {
	Verdict Verdict
	Offset  int64  // of the claim
	Holder  Holder // current holder of the key, zero if unknown
}

// Decided returns the verdict on a claim that was applied within the window. The
// verdicts Expired and Late are not kept.
func (r *Replay) Decided(customer, key string, id ID) (Decision, bool) {
	e := r.entries[scopedKey{customer, key}]
	if e == nil {
		return Decision{}, false
	}
	s, ok := e.find(id)
	if !ok {
		return Decision{}, false
	}
	d := Decision{Verdict: s.verdict, Offset: s.offset}
	if e.offset != 0 {
		d.Holder = e.currentHolder()
	}
	return d, true
}

// KeyState is the state of a key before a claim is appended.
type KeyState uint8

// States of a key.
const (
	KeyFree      KeyState = iota // a claim may get the key
	KeyHeld                      // held by Holder
	KeyReleased                  // released by Holder: a claim must supersede its offset
	KeyExpired                   // the key's own timestamp is outside the key life
	KeyUncertain                 // too little of the stream was seen
)

// Status is the result of Lookup.
type Status struct {
	State  KeyState
	Holder Holder
	// Wait is the minimum time for which KeyUncertain lasts, zero if unknown.
	Wait time.Duration
}

// Lookup returns the state of a key at a log time, which must not be later than
// the log's current time. It only avoids useless appends: the verdict on a claim
// is that of its record.
func (r *Replay) Lookup(customer, key string, now time.Time) Status {
	if now.Before(r.clock) {
		now = r.clock
	}
	if !now.IsZero() && r.keyExpired(key, now) {
		return Status{State: KeyExpired}
	}
	e := r.entries[scopedKey{customer, key}]
	if e == nil || r.outsideWindow(e.lastClaim, now) {
		if !r.isCertainAt(now) {
			return Status{State: KeyUncertain, Wait: max(r.certain.Sub(now), 0)}
		}
		return Status{State: KeyFree}
	}
	switch {
	case e.offset == 0:
		return Status{State: KeyUncertain, Wait: e.lastClaim.Add(r.o.Window()).Sub(now)}
	case e.released:
		return Status{State: KeyReleased, Holder: e.currentHolder()}
	}
	return Status{State: KeyHeld, Holder: e.currentHolder()}
}
