package relay

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// stage is what a request waits for.
type stage string

// Stages of a request, in the order in which an attempt goes through them. A request of an engine
// has no stageSlot; one of a plain service neither stagePlan nor stageLease.
const (
	stageTrial    stage = "trial"    // a permit, because it may crash its upstream
	stageSlot     stage = "slot"     // a lease on a slot of a scarce service
	stagePlan     stage = "plan"     // engines with room
	stageTurn     stage = "turn"     // the time at which its upstream is free
	stageLease    stage = "lease"    // memory on the engines of its plan
	stageUpstream stage = "upstream" // the answer: it is being sent, or was sent
)

// stageTracker holds the stage of a request. It is safe for concurrent use.
type stageTracker struct {
	mu    sync.Mutex
	stage stage
	since time.Time
}

func (t *stageTracker) enter(s stage) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stage, t.since = s, time.Now()
}

func (t *stageTracker) now() stage {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.stage
}

// lasts returns how long the request has been in its stage.
func (t *stageTracker) lasts(now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now.Sub(t.since)
}

// LogUnfinished logs each request in progress. It is called before the process exits.
func (r *Relay) LogUnfinished() {
	now := time.Now()
	for _, g := range r.inProgress.all() {
		r.log.WithFields(logrus.Fields{
			"request":  g.req.ID,
			"service":  g.req.Service.Name,
			"stage":    string(g.stage.now()),
			"stage_ms": g.stage.lasts(now).Milliseconds(),
			"age_ms":   now.Sub(g.req.Arrived).Milliseconds(),
			"left_ms":  g.timeLeft().Milliseconds(),
		}).Warn("request_unfinished")
	}
}
