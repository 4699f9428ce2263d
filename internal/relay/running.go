package relay

import (
	"slices"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/sirupsen/logrus"

	"github.com/buckthorndock/buckthorndock/internal/core/booking"
	"github.com/buckthorndock/buckthorndock/internal/core/fleet"
)

// errLifeOver ends an attempt whose upstream has started anew, or whose address another
// one has: no answer will come. Connections of one that went dark would tell it only when
// they time out, 2 s later.
var errLifeOver = merry.Sentinel("the upstream that ran it has ended")

// running has the attempts under way. The zero value is ready for use, by many
// goroutines.
type running struct {
	mu  sync.Mutex
	all map[*attempt]bool
}

// add notes an attempt; the function that it returns forgets it.
func (r *running) add(a *attempt) (remove func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.all == nil {
		r.all = map[*attempt]bool{}
	}
	r.all[a] = true
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.all, a)
	}
}

// none reports whether no attempt is under way.
func (r *running) none() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.all) == 0
}

// of returns the attempts for which ok holds.
func (r *running) of(ok func(*attempt) bool) []*attempt {
	r.mu.Lock()
	defer r.mu.Unlock()
	var some []*attempt
	for a := range r.all {
		if ok(a) {
			some = append(some, a)
		}
	}
	return some
}

// writing returns the failure domains from which answers come.
func (r *running) writing() []string {
	var domains []string
	for _, a := range r.of(func(a *attempt) bool { return a.begun.Load() }) {
		if !slices.Contains(domains, a.to.Domain) {
			domains = append(domains, a.to.Domain)
		}
	}
	return domains
}

// UpstreamReplaced tells that the life of an upstream is over, as its successor shows: what runs
// there is broken.
func (r *Relay) UpstreamReplaced(u, successor fleet.Upstream) {
	broken := r.running.of(func(a *attempt) bool { return a.to.ID == u.ID })
	for _, a := range broken {
		a.cancel(errLifeOver)
	}
	r.UpstreamDelisted(u)
	r.log.WithFields(logrus.Fields{
		"upstream": u.ID, "address": u.Address, "successor": successor.ID, "broken": len(broken),
	}).Info("upstream_ended")
}

// UpstreamDelisted tells that an upstream is not listed any more.
func (r *Relay) UpstreamDelisted(u fleet.Upstream) {
	r.opts.Suspects.EngineDelisted(u.ID, u.ID, time.Now())
}

// over reports whether the life of a part's engine is known to have ended.
func (r *Relay) over(p booking.Part) bool {
	of := fleet.Upstream{ID: p.Upstream, Incarnation: p.Life, Address: p.Address}
	_, over := r.opts.Upstreams().Successor(of)
	return over
}
