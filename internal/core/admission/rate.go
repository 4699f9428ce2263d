package admission

import (
	"math"
	"time"
)

// rate is an exponentially decaying sum: what was added one time constant ago
// counts 1/e.
type rate struct {
	sum float64
	at  time.Time
}

func (r *rate) decay(now time.Time, tau time.Duration) {
	dt := now.Sub(r.at)
	if dt <= 0 {
		return
	}
	if r.sum != 0 {
		r.sum *= math.Exp(-dt.Seconds() / tau.Seconds())
	}
	r.at = now
}

func (r *rate) add(x float64, now time.Time, tau time.Duration) {
	r.decay(now, tau)
	r.sum += x
}

// bucket is a token bucket whose level may go negative: a request may cost more
// than the bucket ever holds, and its actual cost is known only at its end.
type bucket struct {
	level float64
	at    time.Time
}

// fill refills the bucket up to now, to at most burst. A new bucket is full.
func (b *bucket) fill(perSecond, burst float64, now time.Time) {
	if b.at.IsZero() {
		b.at = now
		b.level = burst
		return
	}
	if dt := now.Sub(b.at); dt > 0 {
		b.level += perSecond * dt.Seconds()
		b.at = now
	}
	b.level = min(b.level, burst)
}

// wait returns the time until the bucket holds one token, or zero if it is not
// empty.
func (b *bucket) wait(perSecond float64) time.Duration {
	if b.level > 0 {
		return 0
	}
	return seconds((1 - b.level) / perSecond)
}

// maxWait bounds a wait computed from a rate near zero.
const maxWait = time.Hour

func seconds(s float64) time.Duration {
	if !(s < maxWait.Seconds()) {
		return maxWait
	}
	return time.Duration(s * float64(time.Second))
}
