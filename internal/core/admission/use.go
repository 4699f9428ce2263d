package admission

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/core/fairshare"
)

// useTime is the time constant of the decaying sums of use.
const useTime = 10 * time.Second

// CustomerUse is the cost that a queue's pool has served for a customer on this host lately.
type CustomerUse struct {
	Customer string
	Cost     uint64 // decaying sum, in tokens
}

// UseID returns the number that identifies the use of a pool by a customer in digests.
func UseID(pool, customer string) uint32 { return NodeID("use\x00" + pool + "\x00" + customer) }

// uses tracks the use of a pool by customers, and which of them are above their fair share.
type uses struct {
	own   map[string]*use
	peers map[string]uint64 // on all other hosts together
}

// use is what was served for a customer on this host.
type use struct {
	at     time.Time
	cost   float64 // decaying sum
	weight int
}

func newUses() uses { return uses{own: map[string]*use{}} }

func (u *use) decay(now time.Time) {
	if dt := now.Sub(u.at); dt > 0 {
		u.cost *= math.Exp(-dt.Seconds() / useTime.Seconds())
		u.at = now
	}
}

func (u *uses) add(customer string, weight, cost int, now time.Time) {
	c := u.own[customer]
	if c == nil {
		c = &use{at: now}
		u.own[customer] = c
	}
	c.decay(now)
	c.cost += float64(cost)
	c.weight = weight
}

// ownCost returns what was served for a customer on this host.
func (u *uses) ownCost(customer string, now time.Time) uint64 {
	c := u.own[customer]
	if c == nil {
		return 0
	}
	c.decay(now)
	return uint64(c.cost)
}

// RecordServed records that a request was served without being queued.
func (q *Queue) RecordServed(customer string, weight, cost int, now time.Time) {
	q.uses.add(customer, max(weight, 1), cost, now)
}

// Use returns the use of the pool on this host by customer, and forgets customers without any.
func (q *Queue) Use(now time.Time) []CustomerUse {
	maps.DeleteFunc(q.uses.own, func(customer string, _ *use) bool { return q.uses.ownCost(customer, now) == 0 })
	all := make([]CustomerUse, 0, len(q.uses.own))
	for customer, c := range q.uses.own {
		all = append(all, CustomerUse{customer, uint64(c.cost)})
	}
	slices.SortFunc(all, func(x, y CustomerUse) int { return cmp.Compare(x.Customer, y.Customer) })
	return all
}

// Customers returns the customers with queued entries or with use on this host.
func (q *Queue) Customers() []string {
	known := map[string]bool{}
	for customer := range q.customers {
		known[customer] = true
	}
	for customer := range q.uses.own {
		known[customer] = true
	}
	return slices.Sorted(maps.Keys(known))
}

// SetPeerUse sets the use of the pool on all other hosts together, by customer. While it is empty, the
// order of the queue does not depend on use.
func (q *Queue) SetPeerUse(cost map[string]uint64) { q.uses.peers = cost }

// aboveShare returns the customers with queued entries that have used more than their fair share of
// what all hosts have served for the customers known here; nil if there are no others to go first.
func (q *Queue) aboveShare(now time.Time) map[string]bool {
	if len(q.uses.peers) == 0 || len(q.customers) < 2 {
		return nil
	}
	customers := q.Customers()
	used := make([]uint64, len(customers))
	demands := make([]fairshare.Demand, len(customers))
	served := uint64(0)
	for i, customer := range customers {
		used[i] = q.uses.ownCost(customer, now) + q.uses.peers[customer]
		served += used[i]
		demands[i] = fairshare.Demand{Weight: float64(q.weightOf(customer)), Amount: int64(used[i]) + int64(q.queuedCost(customer))}
	}
	above := map[string]bool{}
	for i, share := range fairshare.Divide(int64(served), demands) {
		_, queued := q.customers[customers[i]]
		if queued && int64(used[i]) > share+1 { // shares are rounded
			above[customers[i]] = true
		}
	}
	if len(above) == 0 || len(above) == len(q.customers) {
		return nil
	}
	return above
}

// queuedCost returns the cost of a customer's queued entries.
func (q *Queue) queuedCost(customer string) int {
	cost := 0
	for i := range q.classes {
		if f := q.classes[i].flows[customer]; f != nil {
			cost += f.cost
		}
	}
	return cost
}

// weightOf returns the weight of a customer, by its latest entry.
func (q *Queue) weightOf(customer string) int {
	for i := range q.classes {
		if f := q.classes[i].flows[customer]; f != nil && f.cost > 0 {
			return f.weight
		}
	}
	if c := q.uses.own[customer]; c != nil {
		return c.weight
	}
	return 1
}
