package join

import (
	"sync"
	"time"
)

const (
	maxRuns    = 50_000
	sweepEvery = time.Minute
)

// Run is a request in flight.
type Run struct {
	Customer    string
	Key         string // idempotency key, scoped to the customer
	Fingerprint uint64 // of the request's body
	ID          string // of the request
	Host        string // that runs it
	Incarnation uint64 // of that host
	Until       time.Time
}

type scopedKey struct {
	customer, key string
}

func (r Run) scoped() scopedKey { return scopedKey{r.Customer, r.Key} }

// home knows the runs of the keys whose home is this host.
type home struct {
	now func() time.Time

	mu    sync.Mutex
	runs  map[scopedKey]Run
	swept time.Time
}

func newHome(now func() time.Time) *home {
	return &home{now: now, runs: map[scopedKey]Run{}, swept: now()}
}

// enter returns the run in flight that a request can join, or notes the request
// itself. A run with the ID instead was found to be of no use.
func (h *home) enter(r Run, instead string) (other Run, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.now()
	h.sweep(now)
	old, known := h.runs[r.scoped()]
	if known && old.ID != instead && old.ID != r.ID && now.Before(old.Until) {
		return old, old.Fingerprint == r.Fingerprint
	}
	if known || len(h.runs) < maxRuns {
		h.runs[r.scoped()] = r
	}
	return Run{}, false
}

func (h *home) leave(r Run) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.runs[r.scoped()].ID == r.ID {
		delete(h.runs, r.scoped())
	}
}

// sweep forgets runs whose host has not told their end.
func (h *home) sweep(now time.Time) {
	if now.Sub(h.swept) < sweepEvery {
		return
	}
	h.swept = now
	for k, r := range h.runs {
		if now.After(r.Until) {
			delete(h.runs, k)
		}
	}
}
