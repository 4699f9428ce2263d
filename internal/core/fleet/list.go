package fleet

import (
	"reflect"
	"slices"
	"time"
)

// Options configure a List.
type Options struct {
	// OutageAfter is the time without a successful read from which the store counts
	// as away. Entries that lapse meanwhile may belong to live servers.
	OutageAfter time.Duration
	// ReturnGrace is how long after the store's return a lapsed entry is still used: a
	// live server is back in the list by then.
	ReturnGrace time.Duration
}

// endedKept is how long an ended life is remembered. Late heartbeats were seen up to some
// seconds after their time.
const endedKept = time.Minute

// entry is what the store tells of one server, or last told.
type entry struct {
	Upstream
	listed int       // rises with each life that is listed for the first time
	until  time.Time // it has lapsed and is used until then; zero: it stands
	over   bool      // an answer has shown that another one has its address
	// coldUntil is when it is warm again; in the past where it is.
	coldUntil time.Time
	// believeFrom is the heartbeat from which its word ends a doubt of its warmth.
	believeFrom int64
}

// ended is the last entry of a life that is not listed any more.
type ended struct {
	entry
	at time.Time
}

// birth is the latest start that was told by the servers at an address.
type birth struct {
	born int64 // Unix milliseconds
	at   time.Time
}

// List is the state machine behind the snapshots. It is not safe for concurrent
// use.
//
// The entries that stand and the choice between those of one address are kept apart, so
// that no entry is lost while another one stands before it.
//
// Invariants: an upstream whose entry was removed while the store could be read is
// never in a snapshot again until a new entry comes. One whose entry lapsed while the
// store was away stays until Return after the first read. An entry of an earlier life,
// or an older one of the same life, changes nothing. Each upstream whose entry stands is
// in the snapshot unless a later start at its address was told, or an answer has shown
// that another one that is listed lives there.
type List struct {
	opts   Options
	byName map[string]*entry
	ended  map[string]ended // by the server's name
	births map[string]birth // by address
	count  int              // lives listed so far
	read   time.Time        // last successful read; zero: never
	away   time.Time        // until then removals count as lapses

	evacuated map[string]bool // failure domains

	changes int       // of what snapshots show
	last    *Snapshot // as of shown
	shown   int       // of changes
}

// New returns an empty list.
func New(o Options) *List {
	return &List{
		opts:      o,
		byName:    map[string]*entry{},
		ended:     map[string]ended{},
		births:    map[string]birth{},
		evacuated: map[string]bool{},
	}
}

// Apply notes a successful read of the store at now, with the changes it brought in
// their order.
func (l *List) Apply(changes []Change, now time.Time) {
	if !l.read.IsZero() && now.Sub(l.read) > l.opts.OutageAfter {
		l.away = now.Add(l.opts.ReturnGrace)
	}
	if now.After(l.read) { // a copy of a peer may be older
		l.read = now
	}
	for _, c := range changes {
		l.apply(c, now)
	}
	l.Expire(now)
}

// Replace notes a successful read of the whole list: what it lacks was removed.
func (l *List) Replace(all []Change, now time.Time) {
	listed := make(map[string]bool, len(all))
	for _, c := range all {
		listed[c.Name] = true
	}
	changes := slices.Clone(all)
	for name := range l.byName {
		if !listed[name] {
			changes = append(changes, Change{Name: name})
		}
	}
	l.Apply(changes, now)
}

func (l *List) apply(c Change, now time.Time) {
	if c.Upstream != nil {
		l.put(*c.Upstream, now)
		return
	}
	e, known := l.byName[c.Name]
	if !known {
		return
	}
	if now.Before(l.away) && !e.Leaving && !c.Invalid {
		if e.until.IsZero() {
			e.until = l.away
		}
		return
	}
	l.drop(e, now)
}

func (l *List) drop(e *entry, now time.Time) {
	l.changes++
	delete(l.byName, e.Name)
	l.ended[e.Name] = ended{*e, now}
}

// put takes in an entry. Heartbeats may arrive late: one of an earlier life, or an older
// one of the same life, changes nothing, and a life that leaves never comes back.
func (l *List) put(u Upstream, now time.Time) {
	before, known := l.lastOf(u)
	u.ID = u.Incarnation.ID()
	fresh := l.isFresh(u)
	switch {
	case !known || laterLife(u, before.Upstream):
		l.count++
		before, fresh = entry{listed: l.count}, true
	case u.Born != 0 && u.Born < before.Born, u.Heartbeat < before.Heartbeat:
		return
	default:
		u.ID, u.Incarnation = before.ID, before.Incarnation
		u.Leaving = u.Leaving || before.Leaving
	}
	after := before
	after.takeCold(&u, fresh, now)
	after.Upstream, after.until = u, time.Time{}
	if !known || !after.showsAs(&before) || l.byName[u.Name] == nil {
		l.changes++
	}
	l.byName[u.Name] = &after
	delete(l.ended, u.Name)
	if u.Born != 0 && u.Born >= l.births[u.Address].born {
		if u.Born > l.births[u.Address].born {
			l.changes++
		}
		l.births[u.Address] = birth{u.Born, now}
	}
}

// isFresh reports whether an entry was written after the one that stands.
func (l *List) isFresh(u Upstream) bool {
	e, stands := l.byName[u.Name]
	return !stands || !e.until.IsZero() || u.Heartbeat != e.Heartbeat
}

// showsAs reports whether a snapshot shows the same for an entry as for another one: the
// number of its heartbeat is not looked at.
func (e *entry) showsAs(other *entry) bool {
	a, b := e.Upstream, other.Upstream
	a.Heartbeat, a.ColdFor, a.Rivals = b.Heartbeat, b.ColdFor, nil
	b.Rivals = nil
	return reflect.DeepEqual(a, b) && e.coldUntil.Equal(other.coldUntil) && e.listed == other.listed && e.over == other.over
}

// lastOf returns the last entry of the server that an entry is of. Of a life whose start
// was not told and whose entry went, only its place among the others is remembered: its
// counts may start anew.
func (l *List) lastOf(u Upstream) (last entry, known bool) {
	e, stands := l.byName[u.Name]
	if stands && e.until.IsZero() {
		return *e, true
	}
	if stands {
		last = *e
	} else {
		last = l.ended[u.Name].entry
	}
	if last.Born == 0 {
		last.Leaving, last.Heartbeat = false, u.Heartbeat
		return last, last.Name != "" && u.Born == 0
	}
	return last, true
}

// laterLife reports whether an entry belongs to a later life than the known one. Where a
// start is not told, the entries are taken for those of one life.
func laterLife(u, known Upstream) bool {
	if known.Born == 0 {
		return u.Born != 0 && u.Heartbeat < known.Heartbeat
	}
	return u.Born > known.Born
}

// RecordResponder takes in which server answered what was sent to an upstream of a snapshot:
// the upstream itself, or another one that has its address. It returns false when that
// tells nothing new.
//
// The rivals of one that answered had started before it: they were registered when the
// snapshot was made, so before the request was sent.
func (l *List) RecordResponder(u Upstream, itself bool) bool {
	over := u.Rivals
	if !itself {
		over = []string{u.ID}
	}
	changed := false
	for _, e := range l.byName {
		if len(u.Rivals) > 0 && !e.over && slices.Contains(over, e.ID) {
			e.over, changed = true, true
			l.changes++
		}
	}
	return changed
}

// Expire drops lapsed entries whose time is over. It reports whether any went.
func (l *List) Expire(now time.Time) bool {
	changed := false
	for _, e := range l.byName {
		if !e.until.IsZero() && !now.Before(e.until) {
			l.drop(e, now)
			changed = true
		}
	}
	for name, e := range l.ended {
		if now.Sub(e.at) > endedKept {
			delete(l.ended, name)
		}
	}
	for address, b := range l.births {
		if now.Sub(b.at) > endedKept {
			l.changes++
			delete(l.births, address)
		}
	}
	return changed
}

// ReadAt returns the time of the last successful read, zero before the first.
func (l *List) ReadAt() time.Time { return l.read }
