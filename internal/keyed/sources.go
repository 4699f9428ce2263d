package keyed

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/core/membership"
)

// Bounds of the spread.
const (
	// The first of a few readers reads the store for all: a read of the store has a price,
	// one of a peer has next to none. Each of the others reads it only while those before
	// it have nothing fresh, as when the store turns them away or they cannot be reached.
	// Of three daemons drawn among many of which the store turns a third away, all are
	// turned away once in 27 times, with the two of a failure domain once in 240.
	siteReaders = 3 // first of all daemons
	nearReaders = 2 // then the first of each failure domain, for it may be cut off
	readerKey   = "feed-tailer"
	// drawnReaders is how many of the other daemons of a failure domain read the store, on
	// average, at each try in which no reader has anything fresh.
	drawnReaders = 1
	// children is how many daemons of its failure domain each daemon answers at the most, and
	// levelAge how much older what it tells them is.
	children = 8
	levelAge = 200 * time.Millisecond
	// anyAge takes what a peer knows however old it is.
	anyAge = time.Duration(math.MaxInt64)
	// numAsked is how many peers are asked when the store does not answer.
	numAsked = 3
)

// sources is whom a daemon asks before it reads the store.
type sources struct {
	before []membership.Member // in order
	reader bool                // it is the next one that is to read the store
	levels int                 // between it and a daemon that reads the store
}

// late returns how much older than at a reader what its sources know may be.
func (s sources) late() time.Duration { return time.Duration(s.levels) * levelAge }

// sources returns the daemons to ask. The readers ask those before them. The others of a failure
// domain form a tree by their rank, whose root asks the readers: each daemon answers a few,
// however many there are, and only the roots ask other failure domains. Behind its parent each
// has the parent's parents, and then the readers, to ask.
func (s *Feed) sources() sources {
	ranked := s.peers.Rank(readerKey, math.MaxInt)
	var from sources
	readers := membership.TopAndNearby(ranked, siteReaders, nearReaders, s.peers.SameDomain)
	for _, m := range readers {
		if m.Host == s.host {
			from.reader = true
			return from
		}
		from.before = append(from.before, m)
	}
	if len(readers) == 0 {
		from.reader = true
		return from
	}
	ancestors := s.ancestors(ranked)
	from.levels = len(ancestors)
	for _, m := range ancestors {
		from.before = slices.DeleteFunc(from.before, func(r membership.Member) bool { return r.Host == m.Host })
	}
	from.before = slices.Concat(ancestors, from.before)
	return from
}

// ancestors returns the daemons above this one in the tree of its failure domain, its parent
// first.
func (s *Feed) ancestors(ranked []membership.Member) []membership.Member {
	var near []membership.Member
	at := -1
	for _, m := range ranked {
		if m.Host == s.host {
			at = len(near)
			break
		}
		if s.peers.SameDomain(m.Host) {
			near = append(near, m)
		}
	}
	var above []membership.Member
	for at > 0 {
		at = (at - 1) / children
		above = append(above, near[at])
	}
	return above
}

// draws reports whether this daemon is to read the store though it is no reader. All draw
// while no reader has anything fresh, so that a few try wherever the store can be reached
// and what one has read spreads from it.
func (s *Feed) draws() bool {
	near := 1
	for _, m := range s.peers.Members() {
		if m.Host != s.host && m.State != membership.Dead && s.peers.SameDomain(m.Host) {
			near++
		}
	}
	return rand.New(s.random).IntN(near) < drawnReaders
}

// some returns a few other daemons that may live, those of the own failure domain first: a
// daemon behind a cut reaches no others.
func (s *Feed) some() []membership.Member {
	var others []membership.Member
	for _, m := range s.peers.Members() {
		if m.Host != s.host && m.State != membership.Dead {
			others = append(others, m)
		}
	}
	rand.New(s.random).Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	slices.SortStableFunc(others, func(a, b membership.Member) int {
		return cmp.Compare(s.distance(a), s.distance(b))
	})
	return others[:min(numAsked, len(others))]
}

// distance orders daemons by how far they are.
func (s *Feed) distance(m membership.Member) int {
	if s.peers.SameDomain(m.Host) {
		return 0
	}
	return 1
}
