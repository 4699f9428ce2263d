package relay

import (
	"errors"
	"math/rand/v2"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/core/request"
	"github.com/buckthorndock/buckthorndock/internal/core/retry"
)

// budgetShare is the fraction of a daemon's share of the site's budget that it uses. The
// rest covers daemons that do not know of each other, and the edges of the windows.
const budgetShare = 0.7

// minRepeats is the number of repeats that a daemon may make in a window however small its
// share is, so that one with few requests can move one. If there are more daemons than the
// slack allows for, some get none.
const minRepeats = 1

// repeatFloor returns the number of repeats per window that this daemon may make in addition
// to a share of its requests. The sum over all daemons stays within the slack, if the slack
// is known.
func (r *Relay) repeatFloor(o BudgetOptions) int {
	hosts := float64(max(o.Hosts, 1))
	part := budgetShare * o.Slack / hosts
	if part >= minRepeats {
		return int(part)
	}
	if o.Slack == 0 || hosts*minRepeats <= o.Slack {
		return minRepeats
	}
	return int(part + r.hostFraction)
}

// maxSends bounds the sends of one request, including those that could not connect and those
// that were declined.
const maxSends = 8

// budget is this daemon's share of the site's budget for one service.
type budget struct {
	*retry.Budget
	policy *retry.Policy
}

// budgetOf returns the budget of a service with the current options. The caller holds r.mu.
func (r *Relay) budgetOf(service string) *budget {
	o := r.opts.Budget()
	b := r.budgets[service]
	if b == nil {
		core := retry.NewBudget(retry.BudgetOptions{Window: o.Window})
		policy := retry.NewPolicy(retry.PolicyOptions{
			MaxAttempts:    maxSends,
			RetryAfter:     retryAfterFailure,
			ChargeArrivals: true,
		}, core)
		b = &budget{Budget: core, policy: policy}
		r.budgets[service] = b
	}
	b.SetRatio(budgetShare * o.Ratio)
	b.SetFloor(r.repeatFloor(o))
	return b
}

// countRequest counts a request; the repeats allowed are a share of these.
func (r *Relay) countRequest(service string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budgetOf(service).Deposit(now)
}

// retryDecision decides what follows an attempt.
func (r *Relay) retryDecision(service string, a retry.Attempt, q *request.Request) retry.Decision {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.budgetOf(service).policy.Next(a, q, time.Now())
}

// takeRepeat takes a repeat from the budget and reports whether one was left. Displaced
// streams may use only half of the budget: without a repeat they merely pause, and the rest
// is kept for streams that would be lost.
func (r *Relay) takeRepeat(service string, why error) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.budgetOf(service)
	if errors.Is(why, errDisplaced) {
		return b.TryOptionalRetry(time.Now())
	}
	return b.TryRetry(time.Now())
}

// Retry times given to callers whose request was not run.
const (
	// retryAfterFailure follows failures: after that time the failing upstreams are known.
	retryAfterFailure = 200 * time.Millisecond
	// retryAfterLeaving follows a refusal by a daemon that shuts down: other daemons serve
	// at once, and may still meet even the shortest objective, of 300 ms.
	retryAfterLeaving = 30 * time.Millisecond
	// retryAfterNoUpstream follows a lack of upstreams, which lasts longer.
	retryAfterNoUpstream = 500 * time.Millisecond
	// maxRetryAfter bounds the time derived from the backlog of the engines.
	maxRetryAfter = 2 * time.Second
)

// callerWaitFraction is the fraction of the time that it has left for which a caller waits at most
// before it retries.
const callerWaitFraction = 1.0 / 3

// retryAfterScarcity returns the retry time of a request that found no slot: a load that takes all
// slots lasts for seconds, so it is the longest for which the caller waits.
func (g *run) retryAfterScarcity() time.Duration {
	return min(maxRetryAfter, time.Duration(callerWaitFraction*float64(g.timeLeft())))
}

// Bounds of the factor by which the retry time is varied, so that callers that were refused
// together do not return together.
const (
	retryJitterMin   = 0.75
	retryJitterWidth = 0.5
)

// jitterRetryAfter returns the refusal with a randomly varied retry time.
func jitterRetryAfter(r *request.Refusal) *request.Refusal {
	if r == nil || r.RetryAfter <= 0 {
		return r
	}
	changed := *r
	changed.RetryAfter = time.Duration((retryJitterMin + retryJitterWidth*rand.Float64()) * float64(r.RetryAfter))
	return &changed
}
