package fairshare

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Options configure Accounts.
type Options struct {
	// Capacity is the engine time that all engines have within the window.
	Capacity time.Duration
}

// Accounts are the accounts of one service. They are not safe for concurrent use.
//
// Invariant: the total of each customer is the sum of its use over all hosts.
type Accounts struct {
	capacity  time.Duration
	customers map[string]*account
	byHost    map[string]map[string]*ring // use by host and customer
	waiting   queue
	invalid   []Invalid // not taken yet
}

// account is what is known of one customer.
type account struct {
	name     string
	total    ring
	weight   float64
	weightAt int64         // nanoseconds since the epoch; of the message that has set weight
	reported bool          // an invalid value was reported
	waiting  int           // number of waiting claims
	needed   time.Duration // cost of the waiting claims
	share    time.Duration // as last computed by divide
}

func (a *account) demand() time.Duration { return a.total.sum + a.needed }

// Both report false while the use is within tolerance of the share.
func (a *account) below() bool { return a.total.sum < a.share-tolerance }
func (a *account) above() bool { return a.total.sum > a.share+tolerance }

// setWeight takes the weight of the latest message.
func (a *account) setWeight(w float64, at int64) {
	if at > a.weightAt || at == a.weightAt && w > a.weight {
		a.weight, a.weightAt = w, at
	}
}

// New returns empty accounts.
func New(o Options) *Accounts {
	return &Accounts{
		capacity:  o.Capacity,
		customers: map[string]*account{},
		byHost:    map[string]map[string]*ring{},
		waiting:   newQueue(),
	}
}

// SetCapacity changes the engine time that all engines have within the window.
func (a *Accounts) SetCapacity(d time.Duration) { a.capacity = d }

// accept returns the normalized claim with the account of its customer.
func (a *Accounts) accept(c Claim, now time.Time) (Claim, *account) {
	n, valid := c.normalized()
	acc := a.account(c.Customer)
	acc.setWeight(n.Weight, now.UnixNano())
	if !valid && !acc.reported {
		acc.reported = true
		a.invalid = append(a.invalid, Invalid{Customer: c.Customer, Weight: c.Weight, Rank: c.Rank, Cost: c.Cost})
	}
	return n, acc
}

func (a *Accounts) account(customer string) *account {
	acc := a.customers[customer]
	if acc == nil {
		acc = &account{name: customer, weight: defaultWeight}
		a.customers[customer] = acc
	}
	return acc
}

// TakeInvalid returns the values that were ignored since the last call, at most one for each
// customer while it has an account.
func (a *Accounts) TakeInvalid() []Invalid {
	taken := a.invalid
	a.invalid = nil
	return taken
}

// Wait records that a claim asked and found no capacity.
func (a *Accounts) Wait(c Claim, now time.Time) {
	c, acc := a.accept(c, now)
	a.waiting.put(c, acc, now.UnixNano())
}

// Grant records that a claim was granted engine time: its customer is charged the cost.
func (a *Accounts) Grant(c Claim, now time.Time) {
	c, acc := a.accept(c, now)
	a.waiting.grant(c.ID, now.UnixNano())
	bucket := bucketOf(now)
	acc.total.add(bucket, c.Cost)
	a.hostRing(c.Host, c.Customer).add(bucket, c.Cost)
}

// Withdraw records that a claim no longer waits.
func (a *Accounts) Withdraw(id string) { a.waiting.remove(id) }

func (a *Accounts) hostRing(host, customer string) *ring {
	rings := a.byHost[host]
	if rings == nil {
		rings = map[string]*ring{}
		a.byHost[host] = rings
	}
	r := rings[customer]
	if r == nil {
		r = &ring{}
		rings[customer] = r
	}
	return r
}

// Use returns the use through one daemon, for the daemon to report it to a new keeper.
func (a *Accounts) Use(host string, now time.Time) []Use {
	var all []Use
	newest := bucketOf(now)
	for _, customer := range slices.Sorted(maps.Keys(a.byHost[host])) {
		r := a.byHost[host][customer]
		r.advance(newest)
		if r.sum == 0 {
			continue
		}
		u := Use{Customer: customer, Weight: a.account(customer).weight, Seconds: make([]time.Duration, windowBuckets)}
		for i := range u.Seconds {
			u.Seconds[i] = r.at(newest - int64(i))
		}
		all = append(all, u)
	}
	return all
}

// Restore replaces the use through a daemon by the one that it reports. A daemon that reports none
// has just started, or does not report it, so what is known of it stays.
func (a *Accounts) Restore(host string, use []Use, now time.Time) {
	if len(use) == 0 {
		return
	}
	for customer, r := range a.byHost[host] {
		a.account(customer).total.subtract(r)
	}
	delete(a.byHost, host)
	for _, u := range use {
		a.restore(host, u, now)
	}
}

func (a *Accounts) restore(host string, u Use, now time.Time) {
	lowest := time.Duration(0)
	for _, d := range u.Seconds {
		lowest = min(lowest, d)
	}
	_, acc := a.accept(Claim{Customer: u.Customer, Weight: u.Weight, Cost: lowest}, now)
	r := a.hostRing(host, u.Customer)
	newest := bucketOf(now)
	for i, d := range u.Seconds[:min(len(u.Seconds), windowBuckets)] {
		acc.total.add(newest-int64(i), max(d, 0))
		r.add(newest-int64(i), max(d, 0))
	}
}

// Expire drops claims that no longer wait, and accounts without use and claims.
func (a *Accounts) Expire(now time.Time) {
	a.waiting.expire(now.UnixNano())
	a.waiting.expireGranted(now.UnixNano())
	newest := bucketOf(now)
	unused := func(r *ring) bool {
		r.advance(newest)
		return r.sum == 0
	}
	maps.DeleteFunc(a.customers, func(_ string, acc *account) bool { return unused(&acc.total) && acc.waiting == 0 })
	for host, rings := range a.byHost {
		maps.DeleteFunc(rings, func(_ string, r *ring) bool { return unused(r) })
		if len(rings) == 0 {
			delete(a.byHost, host)
		}
	}
}

// Empty reports whether there is neither use nor a claim that waits.
func (a *Accounts) Empty() bool { return len(a.customers) == 0 }

// Shares returns the accounts of all customers, by name.
func (a *Accounts) Shares(now time.Time) []Share {
	a.waiting.expire(now.UnixNano())
	a.divide(now)
	shares := make([]Share, 0, len(a.customers))
	for _, acc := range a.customers {
		shares = append(shares, Share{
			Customer: acc.name, Weight: acc.weight, Use: acc.total.sum,
			Waiting: acc.waiting, Demand: acc.demand(), Share: acc.share,
		})
	}
	slices.SortFunc(shares, func(x, y Share) int { return cmp.Compare(x.Customer, y.Customer) })
	return shares
}
