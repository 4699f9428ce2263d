package join

import (
	"sync"
	"time"
)

const (
	maxRuns    = 50_000 // kept in one registry
	sweepEvery = time.Minute
)

// Run is a request in flight under an idempotency key.
type Run struct {
	Customer    string
	Key         string    // idempotency key, scoped to the customer
	Fingerprint uint64    // of the request's body
	ID          string    // of the request
	Host        string    // that runs it
	Incarnation uint64    // of that host
	Until       time.Time // the run is not joined after it
}

type scopedKey struct {
	customer, key string
}

func (r Run) scoped() scopedKey { return scopedKey{r.Customer, r.Key} }

// runRegistry holds the runs in flight of the keys whose home is this host.
type runRegistry struct {
	now func() time.Time

	mu        sync.Mutex
	runs      map[scopedKey]Run
	lastSweep time.Time
}

func newRunRegistry(now func() time.Time) *runRegistry {
	return &runRegistry{now: now, runs: map[scopedKey]Run{}, lastSweep: now()}
}

// enter returns the run in flight that a request can join, or else registers r. A
// run with the ID replacedID could not be joined, and r takes its place. A run with
// another fingerprint is not joined.
func (h *runRegistry) enter(r Run, replacedID string) (other Run, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.now()
	h.sweep(now)
	old, known := h.runs[r.scoped()]
	if known && old.ID != replacedID && old.ID != r.ID && now.Before(old.Until) {
		return old, old.Fingerprint == r.Fingerprint
	}
	if known || len(h.runs) < maxRuns {
		h.runs[r.scoped()] = r
	}
	return Run{}, false
}

// leave removes a run that has ended.
func (h *runRegistry) leave(r Run) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.runs[r.scoped()].ID == r.ID {
		delete(h.runs, r.scoped())
	}
}

// sweep removes expired runs, whose end was not reported, every sweepEvery.
func (h *runRegistry) sweep(now time.Time) {
	if now.Sub(h.lastSweep) < sweepEvery {
		return
	}
	h.lastSweep = now
	for k, r := range h.runs {
		if now.After(r.Until) {
			delete(h.runs, k)
		}
	}
}
