package router

import (
	"strings"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/core/placement"
	"github.com/buckthorndock/buckthorndock/internal/core/speed"
)

// answerOverhead is added to the observed and the usual time of a call of a plain service, so that
// the latency of the network does not make servers appear uneven whose answers take a few
// milliseconds.
const answerOverhead = 20 * time.Millisecond

// serviceSpeeds holds what this front knows of the speeds of the servers of plain services.
type serviceSpeeds struct {
	tracker *speed.Tracker
	usual   *speed.Usual // by kindOf
}

func newServiceSpeeds() serviceSpeeds {
	return serviceSpeeds{tracker: speed.New(speed.Options{}), usual: speed.NewUsual()}
}

// kindSeparator is in no name of a pool.
const kindSeparator = "\x00"

// kindOf names the calls of a pool's operation, which usually take the same time.
func kindOf(pool, operation string) string { return pool + kindSeparator + operation }

// ServiceAnswered records how long a server took for a call that it answered successfully.
func (r *Router) ServiceAnswered(pool, operation, upstream string, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e := r.view.Engine(upstream); e == nil || e.State() == placement.Dead || took <= 0 {
		return // the server has ended meanwhile
	}
	usual := r.speeds.usual.Observe(kindOf(pool, operation), took)
	s := speed.Sample{Upstream: upstream, Service: pool, Expected: usual + answerOverhead, Observed: took + answerOverhead}
	r.speeds.tracker.Observe(s, r.opts.Now())
}

// serviceFactor returns how much longer a server takes than the usual one. The caller holds mu.
func (r *Router) serviceFactor(upstream string) float64 {
	return r.speeds.tracker.Factor(upstream, r.opts.Now())
}

// Speeds returns the speeds of the servers of plain services that this front has called.
func (r *Router) Speeds() []speed.Speed {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.speeds.tracker.Speeds(r.opts.Now())
}

// retainSpeeds drops what is known of servers and pools that the settings no longer have. The
// caller holds mu.
func (r *Router) retainSpeeds() {
	r.speeds.tracker.Retain(func(id string) bool { return r.view.Engine(id) != nil })
	r.speeds.usual.Retain(func(kind string) bool {
		pool, _, _ := strings.Cut(kind, kindSeparator)
		return r.pools[pool]
	})
}

// forgetSpeed drops the samples of a server that has ended: the next one under its name starts as
// fast as the others. The caller holds mu.
func (r *Router) forgetSpeed(upstream string) {
	r.speeds.tracker.Retain(func(id string) bool { return id != upstream })
}
