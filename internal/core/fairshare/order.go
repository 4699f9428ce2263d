package fairshare

import (
	"cmp"
	"slices"
	"time"
)

// Ahead are the waiting claims that go before another one.
type Ahead struct {
	First      Claim // of them
	Count      int
	MoreUrgent int // of Count, those that go before it by their rank
}

// MustYield reports whether a claim has to wait for another one, and for which: one that goes before
// it waits, and the claim itself can still wait.
func (a *Accounts) MustYield(c Claim, now time.Time) (ahead Claim, yes bool) {
	if a.Idle() || !now.Before(c.LatestStart) {
		return Claim{}, false
	}
	before := a.Ahead(c, now)
	return before.First, before.Count > 0
}

// Idle reports that no claim waits, so that there is no order.
func (a *Accounts) Idle() bool { return len(a.waiting.all) == 0 }

// Ahead returns the waiting claims that go before a claim, whether or not it can wait.
func (a *Accounts) Ahead(c Claim, now time.Time) Ahead {
	a.waiting.expire(now.UnixNano())
	if a.Idle() {
		return Ahead{}
	}
	c, _ = c.normalized()
	o := a.ordering(c, now)
	var found Ahead
	var first *waiter
	for _, w := range a.waiting.all {
		if w.ID == c.ID || !o.before(w) {
			continue
		}
		found.Count++
		if o.effectiveRank(w) < o.rank {
			found.MoreUrgent++
		}
		if first == nil || o.compare(w, first) < 0 {
			first = w
		}
	}
	if first != nil {
		found.First = first.Claim
	}
	return found
}

// ordering compares waiting claims with one claim at one moment.
type ordering struct {
	accounts *Accounts
	now      time.Time
	nanos    int64
	claim    Claim
	minRank  int // the most urgent rank of all claims; aging makes none more urgent than that
	rank     int // effective, of the claim
	account  *account
	divided  bool
}

func (a *Accounts) ordering(c Claim, now time.Time) *ordering {
	o := &ordering{accounts: a, now: now, nanos: now.UnixNano(), claim: c, minRank: c.Rank, account: a.customers[c.Customer]}
	for _, w := range a.waiting.all {
		o.minRank = min(o.minRank, w.Rank)
	}
	o.rank = c.Rank
	if w := a.waiting.byID[c.ID]; w != nil {
		o.rank = o.effectiveRank(w)
	}
	return o
}

// effectiveRank returns the rank of a waiting claim after aging.
func (o *ordering) effectiveRank(w *waiter) int {
	if w.Rank == o.minRank {
		return w.Rank
	}
	return max(w.Rank-w.agedRanks(o.nanos), o.minRank)
}

// before reports whether a waiting claim goes before the claim.
func (o *ordering) before(w *waiter) bool {
	rank := o.effectiveRank(w)
	switch {
	case rank != o.rank:
		return rank < o.rank
	case w.Late && !o.claim.Late || o.account == nil || w.account == o.account:
		return false
	}
	o.divide()
	return o.account.above() && w.account.below()
}

// divide computes the fair shares once.
func (o *ordering) divide() {
	if !o.divided {
		o.accounts.divide(o.now)
		o.divided = true
	}
}

// compare orders the waiting claims by how urgent they are, for reports.
func (o *ordering) compare(x, y *waiter) int {
	return cmp.Or(
		cmp.Compare(o.effectiveRank(x), o.effectiveRank(y)),
		cmp.Compare(x.since, y.since),
		cmp.Compare(x.ID, y.ID),
	)
}

// Waiting returns the claims that wait, the most urgent first.
func (a *Accounts) Waiting(now time.Time) []WaitingClaim {
	a.waiting.expire(now.UnixNano())
	if a.Idle() {
		return nil
	}
	o := a.ordering(a.waiting.all[0].Claim, now)
	all := make([]WaitingClaim, 0, len(a.waiting.all))
	for _, w := range slices.SortedFunc(slices.Values(a.waiting.all), o.compare) {
		all = append(all, WaitingClaim{Claim: w.Claim, Since: time.Unix(0, w.since), EffectiveRank: o.effectiveRank(w)})
	}
	return all
}
