package relay

import "sync"

// liveSet is a set of things that are in progress. The zero value is ready for use. It is safe for
// concurrent use.
type liveSet[T comparable] struct {
	mu      sync.Mutex
	members map[T]bool
}

// add adds a member and returns the function that removes it.
func (s *liveSet[T]) add(m T) (remove func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.members == nil {
		s.members = map[T]bool{}
	}
	s.members[m] = true
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.members, m)
	}
}

// empty reports whether nothing is in progress.
func (s *liveSet[T]) empty() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.members) == 0
}

// filter returns the members for which ok returns true.
func (s *liveSet[T]) filter(ok func(T) bool) []T {
	s.mu.Lock()
	defer s.mu.Unlock()
	var matching []T
	for m := range s.members {
		if ok(m) {
			matching = append(matching, m)
		}
	}
	return matching
}

// all returns all members.
func (s *liveSet[T]) all() []T { return s.filter(func(T) bool { return true }) }
