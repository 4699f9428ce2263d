package admission

import (
	"math"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/core/settings"
)

// Bounds of the RetryAfter of a request that a limit refused.
const (
	minLimitWait = 100 * time.Millisecond
	maxLimitWait = 30 * time.Second
)

// node tracks the use of one node's limits on this host.
type node struct {
	id           uint32
	limits       settings.Limits
	share        settings.Limits
	round        uint64 // refresh for which the share was computed
	inFlight     int
	promptTokens int
	bucket       bucket
	recent       recent
}

// recent holds exponentially decaying sums: what was added one time constant ago
// counts 1/e.
type recent struct {
	at       time.Time
	requests float64 // including refused ones
	tokens   float64 // estimated, prompt and answer, including refused requests
	done     float64 // requests that ended
	freed    float64 // prompt tokens of requests that ended
}

func (r *recent) decay(now time.Time, tau time.Duration) {
	dt := now.Sub(r.at)
	if dt <= 0 {
		return
	}
	left := math.Exp(-dt.Seconds() / tau.Seconds())
	r.at = now
	r.requests *= left
	r.tokens *= left
	r.done *= left
	r.freed *= left
}

// waitFor estimates the time until need units are released; released is the recent
// decaying sum of released units.
func (n *node) waitFor(need, released float64, tau time.Duration) time.Duration {
	if released <= 0 {
		return time.Second
	}
	return clampWait(seconds(need * tau.Seconds() / released))
}

// idle reports whether the node can be dropped without losing state.
func (n *node) idle() bool {
	return n.inFlight == 0 && n.recent.requests < 1.0/requestUnit && n.bucket.level >= 0
}

func clampWait(d time.Duration) time.Duration {
	return min(max(d, minLimitWait), maxLimitWait)
}
