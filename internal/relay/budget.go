package relay

import (
	"errors"
	"math/rand/v2"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/core/request"
	"github.com/buckthorndock/buckthorndock/internal/core/retry"
)

// budgetShare is the part of a daemon's share of the site's budget that it uses.
// The rest covers daemons that another one does not know of, and the edges of the
// windows.
const budgetShare = 0.7

// leastRepeats is what a daemon may repeat in a window whatever its part is, so that one
// with few requests can move one. Where there are more daemons than that allows, some have none.
const leastRepeats = 1

// floor returns the repeats in a window that this daemon may make besides a share of its
// requests. Those of all daemons together stay within the slack, where it is known.
func (r *Relay) floor(o BudgetOptions) int {
	hosts := float64(max(o.Hosts, 1))
	part := budgetShare * o.Slack / hosts
	if part >= leastRepeats {
		return int(part)
	}
	if o.Slack == 0 || hosts*leastRepeats <= o.Slack {
		return leastRepeats
	}
	return int(part + r.draw)
}

// mostAttempts bounds the sends of one request, those that could not connect and that
// were declined included.
const mostAttempts = 8

// budget is this daemon's part of the site's bound for one service.
type budget struct {
	*retry.Budget
	policy *retry.Policy
}

// budgetOf returns the budget of a service. The caller holds the lock.
func (r *Relay) budgetOf(service string) *budget {
	o := r.opts.Budget()
	b := r.budgets[service]
	if b == nil {
		core := retry.NewBudget(retry.BudgetOptions{Window: o.Window})
		policy := retry.NewPolicy(retry.PolicyOptions{
			MaxAttempts:    mostAttempts,
			RetryAfter:     retryAfterFailure,
			ChargeArrivals: true,
		}, core)
		b = &budget{Budget: core, policy: policy}
		r.budgets[service] = b
	}
	b.SetRatio(budgetShare * o.Ratio)
	b.SetFloor(r.floor(o))
	return b
}

// earn counts a request, of which the repeats are a share.
func (r *Relay) earn(service string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budgetOf(service).Deposit(now)
}

// next decides what follows an attempt.
func (r *Relay) next(service string, a retry.Attempt, q *request.Request) retry.Decision {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.budgetOf(service).policy.Next(a, q, time.Now())
}

// takeRepeat takes a repeat from the budget, if one is left. A displaced stream only pauses
// without one, so half of the budget is kept for those that would be lost.
func (r *Relay) takeRepeat(service string, why error) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.budgetOf(service)
	if errors.Is(why, errDisplaced) {
		return b.TryOptionalRetry(time.Now())
	}
	return b.TryRetry(time.Now())
}

// Times told to callers whose request was not run.
const (
	// retryAfterFailure follows failures: by then failing upstreams are known.
	retryAfterFailure = 200 * time.Millisecond
	// retryAfterLeaving follows a refusal by one daemon alone: others serve at once, and
	// the shortest objectives, of 300 ms, may still be met there.
	retryAfterLeaving = 30 * time.Millisecond
	// retryAfterNone follows a lack of upstreams, which takes longer to mend.
	retryAfterNone = 500 * time.Millisecond
	// retryAfterMost bounds what the backlog of the engines suggests.
	retryAfterMost = 2 * time.Second
)

// Spread of the time that a caller is told to wait: those who were refused together are
// not to come back together.
const (
	spreadLeast = 0.75
	spreadWidth = 0.5
)

// spread varies the time after which a refusal's caller comes back.
func spread(r *request.Refusal) *request.Refusal {
	if r == nil || r.RetryAfter <= 0 {
		return r
	}
	changed := *r
	changed.RetryAfter = time.Duration((spreadLeast + spreadWidth*rand.Float64()) * float64(r.RetryAfter))
	return &changed
}
