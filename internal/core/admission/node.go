package admission

import (
	"math"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/core/settings"
)

// Bounds of the time after which a caller that met a limit is told to come back.
const (
	minLimitWait = 100 * time.Millisecond
	maxLimitWait = 30 * time.Second
)

// node is the use of one node's limits on this host.
type node struct {
	id           uint32
	limits       settings.Limits
	share        settings.Limits
	round        uint64 // refresh that the share is of
	inFlight     int
	promptTokens int
	bucket       bucket
	recent       recent
}

// recent holds sums that decay together: what was added a time constant ago
// counts 1/e.
type recent struct {
	at       time.Time
	requests float64 // asked for, refused ones too
	tokens   float64
	done     float64 // ended
	freed    float64 // prompt tokens of ended ones
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

// waitFor estimates when need units will have been given back.
func (n *node) waitFor(need, given float64, tau time.Duration) time.Duration {
	if given <= 0 {
		return time.Second
	}
	return clampWait(seconds(need * tau.Seconds() / given))
}

// idle reports whether nothing is lost by forgetting the node.
func (n *node) idle() bool {
	return n.inFlight == 0 && n.recent.requests < 1.0/requestUnit && n.bucket.level >= 0
}

func clampWait(d time.Duration) time.Duration {
	return min(max(d, minLimitWait), maxLimitWait)
}
