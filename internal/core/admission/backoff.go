package admission

import (
	"math/rand/v2"
	"time"
)

// Bounds of the window that RetryAfter draws from.
const (
	minRetryWindow = 10 * time.Second // shortest window
	maxRetryWindow = 2 * time.Minute  // longest window
	maxRetryStart  = time.Minute      // latest start of the window
)

// RetryAfter returns the time after which a refused caller may retry: the time
// that the backlog takes, plus a random part of a window twice as long, so that
// callers that were refused together do not retry together. The window is between
// ten seconds and two minutes.
func RetryAfter(backlog time.Duration, rng *rand.Rand) time.Duration {
	backlog = max(backlog, 0)
	window := min(max(2*backlog, minRetryWindow), maxRetryWindow)
	return min(backlog, maxRetryStart) + time.Duration(rng.Int64N(int64(window)))
}

// drainTimeConstant is the time constant of DrainRate's averages.
const drainTimeConstant = 20 * time.Second

// DrainRate measures how fast a pool takes work from its queue. Only time with a
// backlog counts: without one the rate would be that of the arrivals.
//
// The first moments of a backlog after a quiet time are not counted: entries that
// leave the queue then fill spare capacity of the upstreams and would show many
// times the sustained rate.
type DrainRate struct {
	busy    bool // the queue holds entries
	since   time.Time
	from    time.Time // when measuring of the current backlog begins
	end     time.Time // of the last backlog
	tokens  rate      // cost served
	time    rate      // seconds with a backlog
	refused rate      // cost of recently refused requests, which will be retried
}

// SetBacklogged sets whether the queue holds entries from now on.
func (d *DrainRate) SetBacklogged(busy bool, now time.Time) {
	if d.busy {
		d.time.add(max(now.Sub(later(d.since, d.from)), 0).Seconds(), now, drainTimeConstant)
		d.end = now
	}
	if busy && !d.busy && now.Sub(d.end) > quietTime {
		d.from = now.Add(fillTime)
	}
	d.busy = busy
	d.since = now
}

// Times of a new backlog.
const (
	quietTime = time.Second            // time without a backlog after which the next one is new
	fillTime  = 300 * time.Millisecond // time in which a new backlog fills spare capacity
)

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// RecordServed counts the cost of an entry that left the queue to be served.
func (d *DrainRate) RecordServed(cost int, now time.Time) {
	if now.Before(d.from) {
		return
	}
	d.tokens.add(float64(cost), now, drainTimeConstant)
}

// RecordRefused counts the cost of a request that was refused and is expected to be retried.
func (d *DrainRate) RecordRefused(cost int, now time.Time) {
	d.refused.add(float64(cost), now, drainTimeConstant)
}

// RetryBacklog returns the time over which to spread the retries of refused
// callers: the time to serve the queued and the recently refused requests, or one
// second while no rate is known.
func (d *DrainRate) RetryBacklog(queued int, now time.Time) time.Duration {
	d.refused.decay(now, drainTimeConstant)
	t, ok := d.DrainTime(queued+int(d.refused.sum), now)
	if !ok {
		return time.Second
	}
	return t
}

// minMeasured is the minimum time with a backlog, in seconds, for a valid rate.
const minMeasured = 0.05

// DrainTime returns how long a backlog of the given cost takes; ok is false while
// no rate is known.
func (d *DrainRate) DrainTime(cost int, now time.Time) (t time.Duration, ok bool) {
	d.SetBacklogged(d.busy, now)
	d.tokens.decay(now, drainTimeConstant)
	d.time.decay(now, drainTimeConstant)
	if d.time.sum < minMeasured || d.tokens.sum < 1 {
		return 0, false
	}
	return seconds(float64(cost) * d.time.sum / d.tokens.sum), true
}
