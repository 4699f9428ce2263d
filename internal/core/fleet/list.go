package fleet

import (
	"maps"
	"reflect"
	"slices"
	"time"
)

// Options configure a List.
type Options struct {
	// OutageAfter is the time without a successful read after which the store counts as
	// unavailable. Entries that lapse during an outage may belong to live servers.
	OutageAfter time.Duration
	// ReturnGrace is how long after an outage of the store a lapsed entry is still used.
	// Live servers have registered again by then.
	ReturnGrace time.Duration
	// Within is the time within which a removal must be in force; zero: not bounded.
	Within time.Duration
}

// doubtShare is the part of Options.Within for which removals are doubted after a short gap; the rest is
// for the next read.
const doubtShare = 0.85

// endedRetention is how long the last entry of an ended incarnation and the latest start at an
// address are kept. Heartbeats can arrive several seconds late.
const endedRetention = time.Minute

// entry is the latest registration of a server in the store.
type entry struct {
	Upstream
	order    int       // position in the order in which incarnations were first listed
	graceEnd time.Time // the entry has lapsed and is used until then; zero: it is registered
	replaced bool      // an answer has shown that another server has its address
	endProof endProof  // of an incarnation that was alone at its address
	// coldUntil is the end of the cold time; for a warm upstream it is past or zero.
	coldUntil time.Time
	// trustedFrom is the number of the heartbeat from which the entry may shorten coldUntil.
	trustedFrom int64
}

// endedEntry is the last entry of a server that is no longer listed.
type endedEntry struct {
	entry
	at time.Time
}

// addressStart is the latest start time that a server at an address has reported.
type addressStart struct {
	born int64  // Unix milliseconds
	name string // of the server
	at   time.Time
}

// List tracks the registered upstreams and makes the snapshots. It is not safe for
// concurrent use.
//
// All entries are kept, and the choice between those of one address is made for each
// snapshot, so that no entry is lost while another one takes precedence.
//
// Invariants: an upstream whose entry was removed while the store could be read is
// in no snapshot until a new entry arrives. One whose entry lapsed during an outage of the
// store stays until ReturnGrace after the first read, or less if the outage was short. An entry of
// an earlier incarnation, or an older one of the same incarnation, changes nothing. Each registered
// upstream is in the snapshot unless a later start at its address was reported by a server of a service that
// is used, or an answer has shown that another upstream runs there; see RecordResponder, RecordEnd and
// RecordAlive.
type List struct {
	opts        Options
	byName      map[string]*entry
	ended       map[string]endedEntry   // by server name
	starts      map[string]addressStart // by address
	listedCount int                     // incarnations listed so far
	lastRead    time.Time               // last successful read; zero: never
	graceEnd    time.Time               // until then removals count as lapses during an outage

	services  map[string]bool // that the settings name; nil: not known yet
	evacuated map[string]bool // failure domains

	version       int       // number of changes so far that a snapshot shows
	cached        *Snapshot // the snapshot last made
	cachedVersion int       // version of cached
}

// New returns an empty list.
func New(o Options) *List {
	return &List{
		opts:      o,
		byName:    map[string]*entry{},
		ended:     map[string]endedEntry{},
		starts:    map[string]addressStart{},
		evacuated: map[string]bool{},
	}
}

// Apply applies the changes that a successful read of the store at now returned, in their
// order.
func (l *List) Apply(changes []Change, now time.Time) {
	if !l.lastRead.IsZero() && now.Sub(l.lastRead) > l.opts.OutageAfter {
		l.graceEnd = l.doubtedUntil(now)
	}
	if now.After(l.lastRead) { // a copy from a peer may be older
		l.lastRead = now
	}
	for _, c := range changes {
		l.applyChange(c, now)
	}
	l.Expire(now)
}

// doubtedUntil returns until when the removals of a read that ends a gap are doubted. One may have come
// right after the last read, and a gap that is shorter than the bound need not be an outage for all.
func (l *List) doubtedUntil(now time.Time) time.Time {
	until := now.Add(l.opts.ReturnGrace)
	inForce := l.lastRead.Add(time.Duration(doubtShare * float64(l.opts.Within)))
	if now.Sub(l.lastRead) < l.opts.Within && inForce.Before(until) {
		return inForce
	}
	return until
}

// RecordNoOutage records that the store was last unavailable at outageAt, zero for never, and has
// answered since until a time: a gap between reads that ended then is no outage. The reads of this
// daemon may have been late because other daemons, which it reads from, were silent.
func (l *List) RecordNoOutage(outageAt, until time.Time) {
	if l.lastRead.IsZero() || outageAt.After(l.lastRead) || !until.After(l.lastRead) {
		return
	}
	l.lastRead = until
}

// Replace applies a successful read of the whole list: known servers that are not in it were
// removed.
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

func (l *List) applyChange(c Change, now time.Time) {
	if c.Upstream != nil {
		l.applyEntry(*c.Upstream, now)
		return
	}
	e, known := l.byName[c.Name]
	if !known {
		return
	}
	if now.Before(l.graceEnd) && !e.Leaving && !c.Invalid {
		if e.graceEnd.IsZero() {
			e.graceEnd = l.graceEnd
		}
		return
	}
	l.remove(e, now)
}

func (l *List) remove(e *entry, now time.Time) {
	l.version++
	delete(l.byName, e.Name)
	l.ended[e.Name] = endedEntry{*e, now}
}

// applyEntry applies an entry. Heartbeats may arrive late: one of an earlier incarnation, or an
// older one of the same incarnation, changes nothing. Leaving is permanent.
func (l *List) applyEntry(u Upstream, now time.Time) {
	before, known := l.lastEntry(u)
	u.ID = u.Incarnation.ID()
	fresh := l.isNewer(u)
	switch {
	case !known || isLaterIncarnation(u, before.Upstream):
		l.listedCount++
		before, fresh = entry{order: l.listedCount}, true
	case u.Born != 0 && u.Born < before.Born, u.Heartbeat < before.Heartbeat:
		return
	default:
		u.ID, u.Incarnation = before.ID, before.Incarnation
		u.Leaving = u.Leaving || before.Leaving
	}
	after := before
	after.updateCold(&u, fresh, now)
	after.endProof = before.endProof.afterHeartbeat(u.Heartbeat, now)
	if u.Address != before.Address {
		after.endProof = endProof{}
	}
	after.Upstream, after.graceEnd = u, time.Time{}
	if !known || !after.equalInSnapshot(&before) || l.byName[u.Name] == nil {
		l.version++
	}
	l.byName[u.Name] = &after
	delete(l.ended, u.Name)
	if !after.replaced && l.isUsed(u.Service) {
		l.recordStart(u, now)
	}
}

// recordStart records the start that a server at an address has reported, if it is the latest.
func (l *List) recordStart(u Upstream, now time.Time) {
	latest := l.starts[u.Address].born
	if u.Born == 0 || u.Born < latest {
		return
	}
	if u.Born > latest {
		l.version++
	}
	l.starts[u.Address] = addressStart{u.Born, u.Name, now}
}

// SetServices sets the services that the settings name. Entries of others are not used: they displace
// no upstream at their address. It reports whether the services have changed.
func (l *List) SetServices(names []string) bool {
	services := make(map[string]bool, len(names))
	for _, name := range names {
		services[name] = true
	}
	if l.services != nil && maps.Equal(services, l.services) {
		return false
	}
	l.services = services
	l.version++
	return true
}

// isUsed reports whether the settings name a service, as far as is known.
func (l *List) isUsed(service string) bool { return l.services == nil || l.services[service] }

// RecordAlive records that u, which is not listed because of the later start that over has reported, has
// answered at its address itself: over does not run there. It returns false when this changes nothing.
func (l *List) RecordAlive(u, over Upstream) bool {
	e, listed := l.byName[over.Name]
	if !listed || e.ID != over.ID || e.Address != u.Address || e.replaced {
		return false
	}
	e.replaced = true
	if l.starts[u.Address].name == over.Name {
		delete(l.starts, u.Address)
	}
	l.version++
	return true
}

// isNewer reports whether an entry was written after the registered one.
func (l *List) isNewer(u Upstream) bool {
	e, listed := l.byName[u.Name]
	return !listed || !e.graceEnd.IsZero() || u.Heartbeat != e.Heartbeat
}

// equalInSnapshot reports whether two entries look the same in a snapshot. The number of the
// heartbeat does not count.
func (e *entry) equalInSnapshot(other *entry) bool {
	a, b := e.Upstream, other.Upstream
	a.Heartbeat, a.ColdFor, a.Rivals = b.Heartbeat, b.ColdFor, nil
	b.Rivals = nil
	return reflect.DeepEqual(a, b) && e.coldUntil.Equal(other.coldUntil) && e.order == other.order && e.replaced == other.replaced &&
		e.endProof.exists() == other.endProof.exists()
}

// lastEntry returns the last entry of u's server. When that entry is gone and gave no start
// time, only its position in the order of listing is kept: the server may have restarted and
// count its heartbeats from the start.
func (l *List) lastEntry(u Upstream) (last entry, known bool) {
	e, listed := l.byName[u.Name]
	if listed && e.graceEnd.IsZero() {
		return *e, true
	}
	if listed {
		last = *e
	} else {
		last = l.ended[u.Name].entry
	}
	if last.Born == 0 {
		last.Leaving, last.Heartbeat, last.endProof = false, u.Heartbeat, endProof{}
		return last, last.Name != "" && u.Born == 0
	}
	return last, true
}

// isLaterIncarnation reports whether u is of a later incarnation than the known entry. An entry
// without a start time counts as one of the known incarnation.
func isLaterIncarnation(u, known Upstream) bool {
	if known.Born == 0 {
		return u.Born != 0 && u.Heartbeat < known.Heartbeat
	}
	return u.Born > known.Born
}

// RecordResponder records which server answered a request sent to u, an upstream of a
// snapshot: u itself, or another server at its address. It returns false when this changes
// nothing.
//
// When u itself answered, its rivals have ended: they were registered when the snapshot was
// made, so they had started before the request was sent.
func (l *List) RecordResponder(u Upstream, itself bool) bool {
	endedIDs := u.Rivals
	if !itself {
		endedIDs = []string{u.ID}
	}
	changed := false
	for _, e := range l.byName {
		if len(u.Rivals) > 0 && !e.replaced && slices.Contains(endedIDs, e.ID) {
			e.replaced, changed = true, true
			l.version++
		}
	}
	return changed
}

// Expire removes lapsed entries whose grace period is over, and outdated records of ended
// incarnations and starts. It reports whether an entry was removed.
func (l *List) Expire(now time.Time) bool {
	changed := false
	for _, e := range l.byName {
		if !e.graceEnd.IsZero() && !now.Before(e.graceEnd) {
			l.remove(e, now)
			changed = true
		}
	}
	for name, e := range l.ended {
		if now.Sub(e.at) > endedRetention {
			delete(l.ended, name)
		}
	}
	for address, b := range l.starts {
		if now.Sub(b.at) > endedRetention {
			l.version++
			delete(l.starts, address)
		}
	}
	return changed
}

// ReadAt returns the time of the last successful read, zero before the first.
func (l *List) ReadAt() time.Time { return l.lastRead }
