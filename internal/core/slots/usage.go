package slots

import (
	"cmp"
	"slices"
	"time"
)

// Usage returns the state of all servers that have turned a call away or have leases.
func (l *Ledger) Usage(now time.Time) []ServerUsage {
	l.Expire(now)
	var list []ServerUsage
	for id, s := range l.servers {
		if s.lastFull.IsZero() && s.leased == 0 {
			continue
		}
		list = append(list, ServerUsage{
			Server: id, Service: s.service, Slots: s.slots,
			Leasable: s.leasable, Leased: s.leased, LastFull: s.lastFull,
		})
	}
	slices.SortFunc(list, func(a, b ServerUsage) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Server, b.Server))
	})
	return list
}

// Waiting returns the numbers of waiting requests by service and rank.
func (l *Ledger) Waiting(now time.Time) []WaitingUsage {
	l.Expire(now)
	counts := map[WaitingUsage]int{}
	for service, q := range l.queues {
		for _, w := range q.waiting {
			counts[WaitingUsage{Service: service, Rank: w.Rank}]++
		}
	}
	list := make([]WaitingUsage, 0, len(counts))
	for key, n := range counts {
		key.Waiting = n
		list = append(list, key)
	}
	slices.SortFunc(list, func(a, b WaitingUsage) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Rank, b.Rank))
	})
	return list
}
