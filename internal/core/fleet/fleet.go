package fleet

import (
	"cmp"
	"slices"
	"time"
)

// Upstream is one life of a server: a restart has a new ID, and an address may
// pass to a server of another service.
type Upstream struct {
	ID      string // incarnation
	Service string
	Address string // IP:port
	Domain  string // failure domain
	Slots   int    // requests that run at once
	Leaving bool   // takes no new work
	Beat    int64  // rises with each heartbeat of this life
}

// Change is one record of the store about an upstream.
type Change struct {
	ID       string
	Upstream *Upstream // nil: the entry was removed
}

// Snapshot is an immutable list, ordered by ID.
type Snapshot struct {
	Upstreams []Upstream
	At        time.Time // of the read that it reflects
	byID      map[string]int
}

// Get returns an upstream by its ID.
func (s *Snapshot) Get(id string) (Upstream, bool) {
	i, ok := s.byID[id]
	if !ok {
		return Upstream{}, false
	}
	return s.Upstreams[i], true
}

// Live returns the upstreams of a service that take new work.
func (s *Snapshot) Live(service string) []Upstream {
	var live []Upstream
	for _, u := range s.Upstreams {
		if u.Service == service && !u.Leaving {
			live = append(live, u)
		}
	}
	return live
}

// Options configure a List.
type Options struct {
	// AwayAfter is the time without a successful read from which the store counts
	// as away. Entries that lapse meanwhile may belong to live servers.
	AwayAfter time.Duration
	// Return is how long after the store's return a lapsed entry is still used: a
	// live server is back in the list by then.
	Return time.Duration
}

// List is the state machine behind the snapshots. It is not safe for concurrent
// use.
//
// Invariant: an upstream whose entry was removed while the store could be read is
// never in a snapshot again under the same ID until a new entry comes. One whose
// entry lapsed while the store was away stays until Return after the first read.
type List struct {
	opts   Options
	byID   map[string]Upstream
	lapsed map[string]time.Time // removed entries that are still used, until when
	read   time.Time            // last successful read; zero: never
	away   time.Time            // until then removals count as lapses
}

// New returns an empty list.
func New(o Options) *List {
	return &List{opts: o, byID: map[string]Upstream{}, lapsed: map[string]time.Time{}}
}

// Read notes a successful read of the store at now, with the changes it brought in
// their order.
func (l *List) Read(changes []Change, now time.Time) {
	if !l.read.IsZero() && now.Sub(l.read) > l.opts.AwayAfter {
		l.away = now.Add(l.opts.Return)
	}
	l.read = now
	for _, c := range changes {
		l.apply(c, now)
	}
	l.Expire(now)
}

// Replace notes a successful read of the whole list: what it lacks was removed.
func (l *List) Replace(all []Upstream, now time.Time) {
	changes := make([]Change, 0, len(all))
	listed := make(map[string]bool, len(all))
	for i := range all {
		listed[all[i].ID] = true
		changes = append(changes, Change{ID: all[i].ID, Upstream: &all[i]})
	}
	for id := range l.byID {
		if !listed[id] {
			changes = append(changes, Change{ID: id})
		}
	}
	l.Read(changes, now)
}

func (l *List) apply(c Change, now time.Time) {
	u, known := l.byID[c.ID]
	if c.Upstream != nil {
		l.put(*c.Upstream, u, known)
		return
	}
	if !known {
		return
	}
	if now.Before(l.away) && !u.Leaving {
		if _, already := l.lapsed[c.ID]; !already {
			l.lapsed[c.ID] = l.away
		}
		return
	}
	delete(l.byID, c.ID)
	delete(l.lapsed, c.ID)
}

// put takes in an entry. Heartbeats may arrive late: an older one changes nothing,
// and one life that leaves never comes back.
func (l *List) put(u, before Upstream, known bool) {
	if known && u.Beat < before.Beat {
		return
	}
	u.Leaving = u.Leaving || before.Leaving
	l.byID[u.ID] = u
	delete(l.lapsed, u.ID)
}

// Expire drops lapsed entries whose time is over. It reports whether any went.
func (l *List) Expire(now time.Time) bool {
	changed := false
	for id, until := range l.lapsed {
		if !now.Before(until) {
			delete(l.lapsed, id)
			delete(l.byID, id)
			changed = true
		}
	}
	return changed
}

// ReadAt returns the time of the last successful read, zero before the first.
func (l *List) ReadAt() time.Time { return l.read }

// Snapshot returns the present list.
func (l *List) Snapshot() *Snapshot {
	s := &Snapshot{At: l.read, byID: make(map[string]int, len(l.byID))}
	for _, u := range l.byID {
		s.Upstreams = append(s.Upstreams, u)
	}
	slices.SortFunc(s.Upstreams, func(a, b Upstream) int { return cmp.Compare(a.ID, b.ID) })
	for i, u := range s.Upstreams {
		s.byID[u.ID] = i
	}
	return s
}
