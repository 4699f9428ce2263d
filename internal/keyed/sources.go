package keyed

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/core/membership"
)

// Limits that decide which daemons read the store and which read from peers.
const (
	// The first of a few readers reads the store for all daemons, because a read of the store is
	// expensive and one of a peer is cheap. Each of the other readers reads the store only while
	// those before it have no fresh data, because the store refuses them or they cannot be
	// reached. If the store refuses a third of many daemons, it refuses three random ones in 1 of
	// 27 cases, and the two readers of a failure domain as well in 1 of 240.
	siteReaders   = 3 // the highest ranked of all daemons
	domainReaders = 2 // and of each failure domain, as it may be cut off from the others
	readerKey     = "feed-tailer"
	// maxChildren limits the daemons of its failure domain that read from a daemon.
	maxChildren = 8
	// anyAge accepts a peer's copy of any age.
	anyAge = time.Duration(math.MaxInt64)
	// maxFallbackPeers is how many peers are called when the store does not answer.
	maxFallbackPeers = 3
)

// sources are the peers that a daemon reads from, in place of the store or before it.
type sources struct {
	before []membership.Member // peers to call, in order
	after  []membership.Member // the readers after this one, if it is a reader
	reader bool                // this daemon reads the store if none of them has fresh data
	levels int                 // number of tree levels between this daemon and a reader
}

// sources returns the daemons to read from. A reader reads from the readers ranked before it. The
// other daemons of a failure domain form a tree by their rank, whose root reads from the readers:
// so each daemon answers a few others, whatever the size of the fleet, and only the roots call
// other failure domains. If its parent does not answer, a daemon calls its further ancestors and
// then the readers.
func (s *Feed) sources() sources {
	ranked := s.peers.Rank(readerKey, math.MaxInt)
	var from sources
	readers := membership.TopAndNearby(ranked, siteReaders, domainReaders, s.peers.SameDomain)
	for i, m := range readers {
		if m.Host == s.host {
			from.reader, from.after = true, readers[i+1:]
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

// ancestors returns the daemons above this one in the tree of its failure domain, parent first.
func (s *Feed) ancestors(ranked []membership.Member) []membership.Member {
	var local []membership.Member
	index := -1
	for _, m := range ranked {
		if m.Host == s.host {
			index = len(local)
			break
		}
		if s.peers.SameDomain(m.Host) {
			local = append(local, m)
		}
	}
	var above []membership.Member
	for index > 0 {
		index = (index - 1) / maxChildren
		above = append(above, local[index])
	}
	return above
}

// isTurnToRead reports whether this daemon is to read the store at a try, counted from 0, although
// it is no reader. While no reader has fresh data, the daemons of each failure domain take turns,
// one at each try, so that one soon tries wherever the store may be reachable, and the others read
// from one that succeeds. The lowest ranked is first: the highest are the readers.
func (s *Feed) isTurnToRead(try int) bool {
	below, all := 0, 1 // daemons of the failure domain, this one included
	passed := false
	for _, m := range s.peers.Rank(readerKey, math.MaxInt) {
		switch {
		case m.Host == s.host:
			passed = true
		case s.peers.SameDomain(m.Host):
			all++
			if passed {
				below++
			}
		}
	}
	return try%all == below
}

// fallbackPeers returns a few random daemons that are not known to be dead, those of the own
// failure domain first: if the domain is cut off, no others can be reached.
func (s *Feed) fallbackPeers() []membership.Member {
	others := s.shuffledPeers()
	return others[:min(maxFallbackPeers, len(others))]
}

// shuffledPeers returns all other daemons that are not known to be dead in a random order, those of
// the own failure domain first.
func (s *Feed) shuffledPeers() []membership.Member {
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
	return others
}

// distance returns 0 for daemons of the own failure domain and 1 for others.
func (s *Feed) distance(m membership.Member) int {
	if s.peers.SameDomain(m.Host) {
		return 0
	}
	return 1
}
