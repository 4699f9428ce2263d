package booking

import (
	"math"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/core/fairshare"
)

// When engine time is scarce, the order of package fairshare decides which prompt goes first. A
// prompt later in that order waits as long as it can; then it is booked if there is room for it
// besides those that go before it.

// unranked is the rank of decodes that make no prompt wait.
const unranked = math.MaxInt

// knowsRanks reports whether the daemon that sends the attempt sends customers and ranks.
func (a *Request) knowsRanks() bool { return a.Weight != 0 }

// decodeRank returns the rank that protects the decode of the attempt from prompts of less urgent
// ranks.
func (a *Request) decodeRank() int {
	if !a.knowsRanks() {
		return unranked
	}
	return max(a.Rank, 0)
}

// delaysMoreUrgent reports whether a prefill of the length makes a decode of a more urgent rank
// late than that of a prompt.
func (l *load) delaysMoreUrgent(part time.Duration, than *Request) bool {
	for i := range l.decodes {
		w := &l.decodes[i]
		if part > w.maxPause && w.rank < than.Rank {
			return true
		}
	}
	return false
}

// waitLimit returns for how long the prompt can wait: until 1.5 times the time to its whole answer
// is left before the deadline, or until its caller is about to give up.
func (t *placement) waitLimit(first, whole time.Duration) time.Duration {
	limit := t.req.Left - time.Duration(yieldFactor*float64(whole))
	if t.req.Patience > 0 {
		limit = min(limit, t.req.Patience-first-refusalLead)
	}
	return limit
}

// claim returns the claim of the prompt to engine time.
func (t *placement) claim() fairshare.Claim {
	c := newClaim(t.req, t.service)
	c.LatestStart = t.now.Add(t.canWait)
	c.Late = t.late
	return c
}

// claimsAhead returns the waiting claims that go before the prompt.
func (t *placement) claimsAhead() fairshare.Ahead {
	accounts := t.book.accounts[t.req.Service]
	if accounts == nil || accounts.Idle() || !t.req.knowsRanks() {
		return fairshare.Ahead{}
	}
	ahead := accounts.Ahead(t.claim(), t.now)
	t.ahead = ahead.First.ID
	return ahead
}

// mustYield reports whether a long prompt waits because others go before it: those of a more urgent
// rank, or those of customers below their share if there are not engines enough for all.
func (t *placement) mustYield(c *choice) bool {
	if t.canWait <= 0 {
		return false
	}
	ahead := t.claimsAhead()
	switch {
	case ahead.MoreUrgent > 0:
		return true
	case ahead.Count == 0:
		return false
	}
	return t.freeEngines(c) < (ahead.Count+1)*len(c.loads)
}

// freeEngines returns how many engines could begin a part like those of a choice now without making
// others late.
func (t *placement) freeEngines(c *choice) int {
	free := 0
	for i := range t.loads {
		l := &t.loads[i]
		if l.freeAt.Sub(t.now) <= sendLead && l.toleratesPause(c.prefill) {
			free++
		}
	}
	return free
}

// yieldToOthers returns the plan of a prompt that waits because others go before it.
func (t *placement) yieldToOthers(first time.Duration) Plan {
	t.scarce = true
	return Plan{Verdict: Yield, Reason: ReasonOutranked, First: first, Ahead: t.ahead}
}

// isOutrankedForSlots reports whether the waiting attempts that go before a short prompt need all
// free slots.
func (t *placement) isOutrankedForSlots() bool {
	ahead := t.claimsAhead().Count
	return ahead > 0 && ahead >= t.freeSlots()
}

// outrankedForSlots returns the plan of a short prompt that is outranked: it waits, and is refused
// before its caller gives up.
func (t *placement) outrankedForSlots(first time.Duration) Plan {
	if t.canWait > 0 {
		return t.yieldToOthers(first)
	}
	return Plan{Verdict: TooLate, Reason: ReasonOutranked, First: first, Ahead: t.ahead}
}
