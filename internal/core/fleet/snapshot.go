package fleet

import (
	"cmp"
	"slices"
	"time"
)

// Snapshot is an immutable list, ordered by ID.
type Snapshot struct {
	Upstreams []Upstream
	// Superseded are the IDs of the upstreams that are still registered although their
	// incarnation has ended.
	Superseded []string
	At         time.Time // of the last read of the store that it reflects
	byID       map[string]int
	version    int // List.version when it was made
}

// SameAs reports whether two snapshots of one list are equal apart from At.
func (s *Snapshot) SameAs(other *Snapshot) bool {
	return s.byID != nil && other.byID != nil && s.version == other.version
}

// Get returns the upstream with the given ID.
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
		if u.Service == service && u.TakesWork() {
			live = append(live, u)
		}
	}
	return live
}

// Successor returns the upstream that replaced one that is no longer listed: a later
// incarnation of the same server, or another server at its address. It returns false when of
// is still listed or nothing replaced it.
func (s *Snapshot) Successor(of Upstream) (Upstream, bool) {
	if _, listed := s.byID[of.ID]; listed {
		return Upstream{}, false
	}
	for _, u := range s.Upstreams {
		if u.ID != of.ID && (u.Name == of.Name || u.Address == of.Address) {
			return u, true
		}
	}
	return Upstream{}, false
}

// Snapshot returns the current list.
func (l *List) Snapshot() *Snapshot {
	if l.cached == nil || l.cachedVersion != l.version {
		l.cached, l.cachedVersion = l.snapshot(), l.version
	}
	s := *l.cached
	s.At = l.lastRead
	return &s
}

func (l *List) snapshot() *Snapshot {
	s := &Snapshot{byID: make(map[string]int, len(l.byName)), version: l.version}
	byAddress := make(map[string][]*entry, len(l.byName))
	for _, e := range l.byName {
		byAddress[e.Address] = append(byAddress[e.Address], e)
	}
	for address, all := range byAddress {
		listed := l.candidatesAt(address, all)
		s.Upstreams = append(s.Upstreams, listed...)
		if len(listed) == len(all) {
			continue
		}
		for _, e := range all {
			if !slices.ContainsFunc(listed, func(u Upstream) bool { return u.ID == e.ID }) {
				s.Superseded = append(s.Superseded, e.ID)
			}
		}
	}
	slices.SortFunc(s.Upstreams, func(a, b Upstream) int { return cmp.Compare(a.ID, b.ID) })
	slices.Sort(s.Superseded)
	for i, u := range s.Upstreams {
		s.byID[u.ID] = i
	}
	return s
}

// candidatesAt returns the upstreams of an address that may be running there.
func (l *List) candidatesAt(address string, all []*entry) []Upstream {
	latest := l.starts[address].born
	all = slices.Clone(all)
	if slices.ContainsFunc(all, func(e *entry) bool { return l.isUsed(e.Service) }) {
		all = slices.DeleteFunc(all, func(e *entry) bool { return !l.isUsed(e.Service) })
	}
	all = slices.DeleteFunc(all, func(e *entry) bool {
		return e.Born != 0 && e.Born < latest || e.endProof.exists()
	})
	// That an answer came from another server excludes an upstream only while there are
	// others at the address. Otherwise it is tried again.
	if slices.ContainsFunc(all, func(e *entry) bool { return !e.replaced }) {
		all = slices.DeleteFunc(all, func(e *entry) bool { return e.replaced })
	}
	listed := make([]Upstream, len(all))
	for i, e := range all {
		listed[i] = e.Upstream
		listed[i].ColdUntil = e.coldUntil
		listed[i].Evacuated = l.evacuated[e.Domain]
		for _, other := range all {
			if other != e {
				listed[i].Rivals = append(listed[i].Rivals, other.ID)
				listed[i].Displaced = listed[i].Displaced || other.order > e.order
			}
		}
	}
	return listed
}
