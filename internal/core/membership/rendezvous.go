package membership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Owner returns the live member that ranks first for a key by rendezvous
// hashing; ok is false when no member is live. Hosts with equal views agree.
func Owner(key string, members []Member) (owner Member, ok bool) {
	return highestRanked(key, members, func(*Member) bool { return true })
}

// LocalOwner is Owner among the members of one domain. It is called often, for
// each engine of a domain, so it copies no members.
func LocalOwner(key, domain string, members []Member) (owner Member, ok bool) {
	return highestRanked(key, members, func(m *Member) bool { return m.Domain == domain })
}

func highestRanked(key string, members []Member, among func(*Member) bool) (owner Member, ok bool) {
	var best uint64
	prefix := xxhash.Sum64String(key)
	for i := range members {
		m := &members[i]
		if m.State != Live || !among(m) {
			continue
		}
		s := score(prefix, m.Host)
		if !ok || s > best || s == best && m.Host < owner.Host {
			owner, best, ok = *m, s, true
		}
	}
	return owner, ok
}

// Rank returns up to n live members in rendezvous order for a key.
func Rank(key string, members []Member, n int) []Member {
	type scored struct {
		score uint64
		index int
	}
	prefix := xxhash.Sum64String(key)
	order := make([]scored, 0, len(members))
	for i := range members {
		if members[i].State == Live {
			order = append(order, scored{score(prefix, members[i].Host), i})
		}
	}
	slices.SortFunc(order, func(a, b scored) int {
		if c := cmp.Compare(b.score, a.score); c != 0 {
			return c
		}
		return cmp.Compare(members[a.index].Host, members[b.index].Host)
	})
	n = max(0, min(n, len(order)))
	ranked := make([]Member, n)
	for i := range ranked {
		ranked[i] = members[order[i].index]
	}
	return ranked
}

// TopAndNearby returns the first n of ranked members, followed by the first maxNear of the others
// that are near. It selects the candidates for a task that one host does for all and that must
// go on where the first n are unreachable because of a partition.
func TopAndNearby(ranked []Member, n, maxNear int, near func(host string) bool) []Member {
	n = min(n, len(ranked))
	chosen := slices.Clone(ranked[:n])
	for _, m := range ranked[n:] {
		if len(chosen) == n+maxNear {
			break
		}
		if near(m.Host) {
			chosen = append(chosen, m)
		}
	}
	return chosen
}

// LocalRank is Rank among the members of one domain.
func LocalRank(key, domain string, members []Member, n int) []Member {
	return Rank(key, InDomain(members, domain), n)
}

// InDomain returns the members of one domain.
func InDomain(members []Member, domain string) []Member {
	local := make([]Member, 0, len(members))
	for i := range members {
		if members[i].Domain == domain {
			local = append(local, members[i])
		}
	}
	return local
}

// score mixes the hash of a key with that of a host. It ignores the host's
// incarnation, so that a restart moves no ownership.
func score(prefix uint64, host string) uint64 {
	h := prefix ^ xxhash.Sum64String(host)
	h ^= h >> 30
	h *= 0xbf58476d1ce4e5b9
	h ^= h >> 27
	h *= 0x94d049bb133111eb
	return h ^ h>>31
}
