package edge

import (
	"time"

	"github.com/buckthorndock/buckthorndock/internal/core/fleet"
	"github.com/buckthorndock/buckthorndock/internal/core/speed"
)

// answerOverhead is added to the observed and the expected time of an answer of a plain service, so
// that the latency of the network and of a busy daemon does not make servers appear uneven whose
// answers take a few milliseconds.
const answerOverhead = 20 * time.Millisecond

// usualObjective is the expected time of calls whose route has no objective.
const usualObjective = time.Second

// plainSpeeds holds what this daemon knows of the speeds of plain servers, by its own calls.
type plainSpeeds struct{ tracker *speed.Tracker }

func newPlainSpeeds() plainSpeeds { return plainSpeeds{tracker: speed.New(speed.Options{})} }

// ObserveSpeed implements relay.Balancer. The objective stands for the time that calls of a route
// usually take, so that calls of several routes can be compared.
func (p *plainBalancer) ObserveSpeed(u fleet.Upstream, objective, observed time.Duration) {
	if objective <= 0 {
		objective = usualObjective
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.isListed(u.ID) {
		return // the incarnation has ended
	}
	s := speed.Sample{Upstream: u.ID, Service: u.Service, Expected: objective + answerOverhead, Observed: observed + answerOverhead}
	p.speeds.tracker.Observe(s, time.Now())
}

// isListed reports whether a server is in the list. The caller holds the lock.
func (p *plainBalancer) isListed(id string) bool {
	_, ok := p.list.Get(id)
	return ok
}

// Speeds returns the speeds of the plain servers that this daemon has called.
func (p *plainBalancer) Speeds() []speed.Speed {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.speeds.tracker.Speeds(time.Now())
}

// reportSpeeds shows operators the changes of the plain servers' speeds.
func (p *process) reportSpeeds() {
	list := p.list.Load()
	p.speedLog.Report(p.balancer.Speeds(), func(id string) bool {
		_, ok := list.Get(id)
		return ok
	})
}
