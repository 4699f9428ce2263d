package front

import (
	"sync"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/core/retry"
	"github.com/buckthorndock/buckthorndock/internal/core/settings"
)

// retries is the retry policy with the retry budget that all requests of this daemon
// share. It is safe for concurrent use.
type retries struct {
	mu     sync.Mutex
	budget *retry.Budget
	policy *retry.Policy
}

func newRetries() *retries {
	budget := retry.NewBudget(retry.BudgetOptions{})
	return &retries{budget: budget, policy: retry.NewPolicy(retry.PolicyOptions{}, budget)}
}

// next decides what follows an attempt.
func (r *retries) next(a retry.Attempt, j *job, now time.Time) retry.Decision {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget.SetRatio(j.routing.RetryBudget)
	return r.policy.Next(a, j.req, now)
}

// recordSuccess adds to the budget for one complete answer.
func (r *retries) recordSuccess(routing settings.Routing, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget.SetRatio(routing.RetryBudget)
	r.budget.Deposit(now)
}
