package admission

import (
	"math/rand/v2"
	"time"
)

// Bounds of what RetryAfter returns.
const (
	minRetryWindow = 10 * time.Second
	maxRetryWindow = 2 * time.Minute
	maxRetryStart  = time.Minute
)

// RetryAfter returns when a refused caller may come back: after the backlog is
// worked off, spread evenly over a window twice as long, so that callers that were
// refused together do not return together. The window is ten seconds to two
// minutes.
func RetryAfter(backlog time.Duration, rng *rand.Rand) time.Duration {
	backlog = max(backlog, 0)
	window := min(max(2*backlog, minRetryWindow), maxRetryWindow)
	return min(backlog, maxRetryStart) + time.Duration(rng.Int64N(int64(window)))
}

// drainTime is the time constant of Drain.
const drainTime = 20 * time.Second

// DrainRate measures how fast a pool takes work from its queue. Only time with a
// backlog counts: without one the rate would be that of the arrivals.
//
// The first moments of a backlog that follows a quiet time count for nothing: what
// leaves then goes into room that upstreams had left, and would show many times the
// lasting rate.
type DrainRate struct {
	busy   bool
	since  time.Time
	from   time.Time // when the backlog's measure begins
	end    time.Time // of the last backlog
	tokens rate
	time   rate // seconds with a backlog
	wave   rate // cost of those refused lately, who will come back
}

// SetBacklogged tells whether the queue holds anything from now on.
func (d *DrainRate) SetBacklogged(busy bool, now time.Time) {
	if d.busy {
		d.time.add(max(now.Sub(later(d.since, d.from)), 0).Seconds(), now, drainTime)
		d.end = now
	}
	if busy && !d.busy && now.Sub(d.end) > quietTime {
		d.from = now.Add(fillTime)
	}
	d.busy = busy
	d.since = now
}

// Times of the measure of a new backlog.
const (
	quietTime = time.Second            // without a backlog, after which one is new
	fillTime  = 300 * time.Millisecond // in which it fills the room left
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
	d.tokens.add(float64(cost), now, drainTime)
}

// RecordRefused counts the cost of a request that was told to come back.
func (d *DrainRate) RecordRefused(cost int, now time.Time) { d.wave.add(float64(cost), now, drainTime) }

// RetryBacklog returns the backlog to spread refused callers by: the queued cost and
// that of all who were refused lately, one second while no rate is known.
func (d *DrainRate) RetryBacklog(queued int, now time.Time) time.Duration {
	d.wave.decay(now, drainTime)
	t, ok := d.DrainTime(queued+int(d.wave.sum), now)
	if !ok {
		return time.Second
	}
	return t
}

// minMeasured is the least busy time, in seconds, that gives a rate.
const minMeasured = 0.05

// DrainTime returns how long a backlog takes; ok is false while nothing was measured.
func (d *DrainRate) DrainTime(cost int, now time.Time) (t time.Duration, ok bool) {
	d.SetBacklogged(d.busy, now)
	d.tokens.decay(now, drainTime)
	d.time.decay(now, drainTime)
	if d.time.sum < minMeasured || d.tokens.sum < 1 {
		return 0, false
	}
	return seconds(float64(cost) * d.time.sum / d.tokens.sum), true
}
