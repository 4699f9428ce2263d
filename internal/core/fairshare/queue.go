package fairshare

import (
	"slices"
	"time"
)

// queue holds the claims that wait.
type queue struct {
	all  []*waiter
	byID map[string]*waiter
	// granted are the latest grants, so that a message that a grant has overtaken does not let
	// the claim wait again.
	granted map[string]int64
}

// waiter is a claim that waits. Times are in nanoseconds since the epoch.
type waiter struct {
	Claim
	account *account
	since   int64 // it first asked
	latest  int64 // it last asked
	step    int64 // time after which it counts as one rank more urgent
	// aged is the number of ranks by which it counts as more urgent until agedUntil.
	aged      int
	agedUntil int64
}

func newQueue() queue {
	return queue{byID: map[string]*waiter{}, granted: map[string]int64{}}
}

// put enters a claim, or records that it has asked again. Messages may arrive out of order.
func (q *queue) put(c Claim, acc *account, now int64) {
	if at, ok := q.granted[c.ID]; ok && now <= at {
		return
	}
	w := q.byID[c.ID]
	if w == nil {
		w = &waiter{since: now, latest: now, step: agingStep(c, now)}
		w.Claim, w.account = c, acc
		q.byID[c.ID] = w
		q.all = append(q.all, w)
		acc.waiting++
		acc.needed += c.Cost
		return
	}
	if now < w.since {
		w.since, w.step, w.agedUntil = now, agingStep(c, now), 0
	}
	if now < w.latest {
		return
	}
	w.account.waiting--
	w.account.needed -= w.Cost
	w.Claim, w.account, w.latest = c, acc, now
	acc.waiting++
	acc.needed += c.Cost
}

// agingStep returns the time after which a claim that first asks now counts as one rank more urgent.
func agingStep(c Claim, now int64) int64 {
	return max((c.LatestStart.UnixNano()-now)/agingSteps, int64(time.Millisecond))
}

// grant removes a claim that was granted.
func (q *queue) grant(id string, now int64) {
	w := q.byID[id]
	if w != nil && w.latest <= now {
		q.remove(id)
	}
	q.granted[id] = max(q.granted[id], now)
}

func (q *queue) remove(id string) {
	w := q.byID[id]
	if w == nil {
		return
	}
	delete(q.byID, id)
	q.all = slices.DeleteFunc(q.all, func(x *waiter) bool { return x == w })
	w.leave()
}

func (w *waiter) leave() {
	w.account.waiting--
	w.account.needed -= w.Cost
}

// expire removes the claims that have not asked again.
func (q *queue) expire(now int64) {
	q.all = slices.DeleteFunc(q.all, func(w *waiter) bool {
		if now-w.latest <= int64(waitLapse) {
			return false
		}
		delete(q.byID, w.ID)
		w.leave()
		return true
	})
}

// expireGranted forgets the grants whose claims would no longer wait.
func (q *queue) expireGranted(now int64) {
	for id, at := range q.granted {
		if now-at > int64(waitLapse) {
			delete(q.granted, id)
		}
	}
}

// agedRanks returns by how many ranks the claim counts as more urgent.
func (w *waiter) agedRanks(now int64) int {
	if now >= w.agedUntil {
		w.aged = int((now - w.since) / w.step)
		w.agedUntil = w.since + int64(w.aged+1)*w.step
	}
	return w.aged
}
