package slots

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// agedAfter is the part of its time until the deadline after which a waiting request counts as one
// of the most urgent rank, so that no rank starves.
const agedAfter = 0.5

// Bounds of the time after which a waiting request asks again. The least bounds the messages of
// the requests that are next, the greatest the time that a free slot is kept for a request that
// was expected to wait longer.
const (
	minAskInterval = 10 * time.Millisecond
	maxAskInterval = 250 * time.Millisecond
)

// HoldFor is the longest expected wait for which the keeper of the ledger holds a request until it
// is the next one, instead of telling its host to ask again.
const HoldFor = 100 * time.Millisecond

// lapseGrace is how long after the time at which it should have asked again a request still counts
// as waiting.
const lapseGrace = 300 * time.Millisecond

// waiter is a request that waits for a slot.
type waiter struct {
	Request
	askBy time.Time // when it should have asked again
}

// effectiveRank returns the rank of a request after aging, and if its rank is not starved.
func (q *queue) effectiveRank(w *waiter, now time.Time) int {
	patience := w.Deadline.Sub(w.Arrived)
	if q.starved[w.Rank] || now.Sub(w.Arrived) >= time.Duration(agedAfter*float64(patience)) {
		return 0
	}
	return w.Rank
}

// before reports whether w is served before o: the more urgent first, then the one that arrived
// first.
func (q *queue) before(w, o *waiter, now time.Time) bool {
	order := cmp.Compare(q.effectiveRank(w, now), q.effectiveRank(o, now))
	if order == 0 {
		order = w.Arrived.Compare(o.Arrived)
	}
	if order == 0 {
		order = cmp.Compare(w.ID, o.ID)
	}
	return order < 0
}

func (w *waiter) lapsed(now time.Time) bool {
	return now.After(w.askBy.Add(lapseGrace)) || !now.Before(w.Deadline)
}

// queue has the requests that wait for slots of one service.
type queue struct {
	waiting map[string]*waiter // by ID
	// lastScarce is when a server last turned a call away, or a request was last told to wait or
	// refused; zero: never.
	lastScarce time.Time
	hold       time.Duration // usual time for which a lease is held; zero: not known yet
	// byRoute is hold by the route of the calls, whose times may be unlike.
	byRoute map[string]time.Duration
	counts  grantCounts
	starved map[int]bool // ranks that are starved, as of the latest request
}

// holdWeight is the weight of the last lease in the usual time for which leases are held.
const holdWeight = 1.0 / 8

// observeHold takes in the time for which a lease was held by a call of a route.
func (q *queue) observeHold(route string, held time.Duration) {
	q.hold = average(q.hold, held)
	if route != "" {
		q.byRoute[route] = average(q.byRoute[route], held)
	}
}

// average takes a held time into a usual one; zero: not known yet.
func average(usual, held time.Duration) time.Duration {
	if usual == 0 {
		return held
	}
	return usual + time.Duration(holdWeight*float64(held-usual))
}

// expectedWait returns the time until the request behind ahead others gets one of some slots, all
// of which are in use.
func (q *queue) expectedWait(ahead, slots int) time.Duration {
	return q.hold * time.Duration(ahead+1) / time.Duration(max(slots, 1))
}

// ownTimeFactor is the part of a usual hold that a call needs itself: a few calls take longer than
// usual.
const ownTimeFactor = 1.5

// ownTime returns the time that a call of a route needs after it has got a slot; zero: not known
// yet.
func (q *queue) ownTime(route string) time.Duration {
	usual := q.byRoute[route]
	if route == "" {
		usual = q.hold
	}
	return time.Duration(ownTimeFactor * float64(usual))
}

// ahead returns the requests that are served before w.
func (q *queue) ahead(w *waiter, now time.Time) []*waiter {
	var list []*waiter
	for id, o := range q.waiting {
		if id != w.ID && q.before(o, w, now) {
			list = append(list, o)
		}
	}
	return list
}

// ordered returns the waiting requests in the order in which they are served.
func (q *queue) ordered(now time.Time) []*waiter {
	return slices.SortedFunc(maps.Values(q.waiting), func(a, b *waiter) int {
		if q.before(a, b, now) {
			return -1
		}
		return 1
	})
}

// expire removes the requests that ask no more, and those that are too late for a slot.
func (q *queue) expire(now time.Time) {
	for id, w := range q.waiting {
		if w.lapsed(now) || now.Add(q.ownTime(w.Route)).After(w.Deadline) {
			delete(q.waiting, id)
		}
	}
}
