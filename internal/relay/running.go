package relay

import (
	"context"
	"sync"

	"github.com/ansel1/merry/v2"
	"github.com/sirupsen/logrus"

	"github.com/buckthorndock/buckthorndock/internal/core/booking"
	"github.com/buckthorndock/buckthorndock/internal/core/fleet"
)

// errLifeOver ends an attempt whose upstream has started anew, or whose address another
// one has: no answer will come. Connections of one that went dark would tell it only when
// they time out, 2 s later.
var errLifeOver = merry.Sentinel("the upstream that ran it has ended")

// running has the attempts under way by the life of their upstream. The zero value is
// ready for use, by many goroutines.
type running struct {
	mu   sync.Mutex
	next uint64
	by   map[string]map[uint64]context.CancelCauseFunc
}

// add notes an attempt; the function that it returns forgets it.
func (r *running) add(upstream string, cancel context.CancelCauseFunc) (remove func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.by == nil {
		r.by = map[string]map[uint64]context.CancelCauseFunc{}
	}
	if r.by[upstream] == nil {
		r.by[upstream] = map[uint64]context.CancelCauseFunc{}
	}
	id := r.next
	r.next++
	r.by[upstream][id] = cancel
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.by[upstream], id)
		if len(r.by[upstream]) == 0 {
			delete(r.by, upstream)
		}
	}
}

// end cancels all attempts on a life and returns how many there were.
func (r *running) end(upstream string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, cancel := range r.by[upstream] {
		cancel(errLifeOver)
	}
	return len(r.by[upstream])
}

// Ended tells that the life of an upstream is over, as its successor shows: what runs
// there is broken.
func (r *Relay) Ended(u, successor fleet.Upstream) {
	broken := r.running.end(u.ID)
	r.log.WithFields(logrus.Fields{
		"upstream": u.ID, "address": u.Address, "successor": successor.ID, "broken": broken,
	}).Info("upstream_ended")
}

// over reports whether the life of a part's engine is known to have ended.
func (r *Relay) over(p booking.Part) bool {
	of := fleet.Upstream{ID: p.Upstream, Life: p.Life, Address: p.Address}
	_, over := r.opts.Upstreams().Successor(of)
	return over
}
