package fleet

import (
	"cmp"
	"slices"
	"strconv"
	"time"
)

// Life names one life of a server: it may start again under the name that it had, and
// holds and knows nothing of before then.
type Life struct {
	Name string // under which the server is registered
	Born int64  // Unix milliseconds of the start; zero: not told
}

// ID returns the identifier of the life, unique among all lives of all servers.
func (l Life) ID() string {
	if l.Born == 0 {
		return l.Name
	}
	return l.Name + "@" + strconv.FormatInt(l.Born, 10)
}

// Upstream is one life of a server. An address may pass to a server of another service.
type Upstream struct {
	ID string // of the life
	Life
	Service string
	Address string // IP:port
	Domain  string // failure domain
	Slots   int    // requests that run at once
	Leaving bool   // takes no new work
	Beat    int64  // rises with each heartbeat of this life
}

// Change is one record of the store about a server.
type Change struct {
	Name     string
	Upstream *Upstream // nil: the entry was removed, or is Void
	Void     bool      // the entry names no upstream: it cannot be read, or is another writer's
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

// Successor returns the upstream that shows that the life of another one is over: a
// later life of the same server, or another server at its address.
func (s *Snapshot) Successor(of Upstream) (Upstream, bool) {
	for _, u := range s.Upstreams {
		if u.ID != of.ID && (u.Name == of.Name || u.Address == of.Address) {
			return u, true
		}
	}
	return Upstream{}, false
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

// endedKept is how long the last entry of a life that has ended is remembered. Late
// heartbeats were seen up to some seconds after their time.
const endedKept = time.Minute

// ended is the last entry of a life that is not listed any more.
type ended struct {
	Upstream
	at time.Time
}

// List is the state machine behind the snapshots. It is not safe for concurrent
// use.
//
// Invariants: an upstream whose entry was removed while the store could be read is
// never in a snapshot again until a new entry comes. One whose entry lapsed while the
// store was away stays until Return after the first read. An entry of an earlier life,
// or an older one of the same life, changes nothing. At most one upstream has a name or
// an address.
type List struct {
	opts   Options
	byName map[string]Upstream
	lapsed map[string]time.Time // removed entries that are still used, until when
	ended  map[string]ended     // lives with a known start, by the server's name
	read   time.Time            // last successful read; zero: never
	away   time.Time            // until then removals count as lapses
}

// New returns an empty list.
func New(o Options) *List {
	return &List{opts: o, byName: map[string]Upstream{}, lapsed: map[string]time.Time{}, ended: map[string]ended{}}
}

// Read notes a successful read of the store at now, with the changes it brought in
// their order.
func (l *List) Read(changes []Change, now time.Time) {
	if !l.read.IsZero() && now.Sub(l.read) > l.opts.AwayAfter {
		l.away = now.Add(l.opts.Return)
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
	l.Read(changes, now)
}

func (l *List) apply(c Change, now time.Time) {
	if c.Upstream != nil {
		l.put(*c.Upstream, now)
		return
	}
	u, known := l.byName[c.Name]
	if !known {
		return
	}
	if now.Before(l.away) && !u.Leaving && !c.Void {
		if _, already := l.lapsed[c.Name]; !already {
			l.lapsed[c.Name] = l.away
		}
		return
	}
	l.drop(u, now)
}

func (l *List) drop(u Upstream, now time.Time) {
	delete(l.byName, u.Name)
	delete(l.lapsed, u.Name)
	if u.Born != 0 {
		l.ended[u.Name] = ended{u, now}
	}
}

// put takes in an entry. Heartbeats may arrive late: one of an earlier life, or an older
// one of the same life, changes nothing, and a life that leaves never comes back.
func (l *List) put(u Upstream, now time.Time) {
	before, known := l.byName[u.Name]
	if !known {
		before, known = l.ended[u.Name].Upstream, l.ended[u.Name].Name != ""
	}
	u.ID = u.Life.ID()
	switch {
	case !known || laterLife(u, before):
	case u.Born != 0 && u.Born < before.Born, u.Beat < before.Beat:
		return
	default:
		u.ID, u.Life = before.ID, before.Life
		u.Leaving = u.Leaving || before.Leaving
	}
	if !l.takeAddress(u, now) {
		return
	}
	l.byName[u.Name] = u
	delete(l.lapsed, u.Name)
	delete(l.ended, u.Name)
}

// laterLife reports whether an entry belongs to a later life than the known one. Where a
// start is not told, the entries are taken for those of one life.
func laterLife(u, known Upstream) bool {
	if known.Born == 0 {
		return u.Born != 0 && u.Beat < known.Beat
	}
	return u.Born > known.Born
}

// takeAddress drops the upstreams whose address another one has now: they have ended. It
// returns false when the other one is the later.
func (l *List) takeAddress(u Upstream, now time.Time) bool {
	for _, other := range l.byName {
		if other.Address != u.Address || other.Name == u.Name {
			continue
		}
		if u.Born != 0 && u.Born < other.Born {
			return false
		}
		l.drop(other, now)
	}
	return true
}

// Expire drops lapsed entries whose time is over. It reports whether any went.
func (l *List) Expire(now time.Time) bool {
	changed := false
	for name, until := range l.lapsed {
		if !now.Before(until) {
			l.drop(l.byName[name], now)
			changed = true
		}
	}
	for name, e := range l.ended {
		if now.Sub(e.at) > endedKept {
			delete(l.ended, name)
		}
	}
	return changed
}

// ReadAt returns the time of the last successful read, zero before the first.
func (l *List) ReadAt() time.Time { return l.read }

// Snapshot returns the present list.
func (l *List) Snapshot() *Snapshot {
	s := &Snapshot{At: l.read, byID: make(map[string]int, len(l.byName))}
	for _, u := range l.byName {
		s.Upstreams = append(s.Upstreams, u)
	}
	slices.SortFunc(s.Upstreams, func(a, b Upstream) int { return cmp.Compare(a.ID, b.ID) })
	for i, u := range s.Upstreams {
		s.byID[u.ID] = i
	}
	return s
}
