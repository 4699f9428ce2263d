package relay

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/buckthorndock/buckthorndock/internal/core/fleet"
	"github.com/buckthorndock/buckthorndock/internal/core/reach"
	"github.com/buckthorndock/buckthorndock/internal/core/request"
)

// failureLookback is how long before a path was lost a failure may have had the same cause: a
// stream counts as silent after 1.5 s.
const failureLookback = 2 * time.Second

// maxProbeTargets is the number of upstreams tried in one probe of a domain.
const maxProbeTargets = 3

// errDomainCut cancels an attempt that is moved because its failure domain is cut off.
var errDomainCut = merry.Wrap(errSilent, merry.WithMessage("the way to the upstream's failure domain is cut"))

// PathChanged acts on a change of the path to a failure domain, and returns the number of attempts
// that it tried to move. Attempts stay where they are if the domain still sends answers on the
// connections that are open, or if other daemons have carried these: such a daemon takes no new ones while it
// leaves, and keeps those that it has; what ends or is silent is found by itself.
func (r *Relay) PathChanged(domain string, c reach.Change) (moved int) {
	if c.From == reach.Direct && (c.To == reach.Cut || c.Quiet) {
		moved = r.moveAttemptsFrom(domain)
	}
	if c.To == reach.Cut {
		return moved
	}
	r.forgetFailures(domain, c.Since.Add(-failureLookback))
	if c.Isolated && r.opts.OnDomainReached != nil {
		r.opts.OnDomainReached(domain)
	}
	return moved
}

// MonitorDomains probes failure domains that are quiet or not reached directly, until the context
// ends.
func (r *Relay) MonitorDomains(ctx context.Context) error {
	return r.opts.Paths.Run(ctx, func() (domains []string, busy bool) {
		return r.running.streamingDomains(), !r.running.empty()
	})
}

// ProbeTargets returns the addresses of a few upstreams of a domain.
func (r *Relay) ProbeTargets(domain string) []string {
	var addresses []string
	for _, u := range r.probeTargets(domain) {
		addresses = append(addresses, u.Address)
	}
	return addresses
}

// probeTargets draws upstreams of a domain at random, those that have not failed recently
// first.
func (r *Relay) probeTargets(domain string) []fleet.Upstream {
	var healthy, failing []fleet.Upstream
	avoided := r.failedRecently()
	for _, u := range r.opts.Upstreams().Upstreams {
		switch {
		case u.Domain != domain:
		case slices.Contains(avoided, u.ID):
			failing = append(failing, u)
		default:
			healthy = append(healthy, u)
		}
	}
	for _, group := range [][]fleet.Upstream{healthy, failing} {
		rand.Shuffle(len(group), func(i, j int) { group[i], group[j] = group[j], group[i] })
	}
	all := append(healthy, failing...)
	return all[:min(maxProbeTargets, len(all))]
}

// moveAttemptsFrom tries to move the attempts that depend on a domain to other upstreams. It
// returns the number of these attempts, including those that could not be moved.
func (r *Relay) moveAttemptsFrom(domain string) int {
	list := r.opts.Upstreams()
	affected := r.running.filter(func(a *attempt) bool { return a.dependsOn(domain, list) })
	for _, a := range affected {
		a.silence.move(errDomainCut)
	}
	return len(affected)
}

// forgetFailures forgets failures of a domain's upstreams since a given time, while the
// domain was cut off.
func (r *Relay) forgetFailures(domain string, since time.Time) {
	list := r.opts.Upstreams()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, u := range list.Upstreams {
		if u.Domain == domain {
			r.avoid.ClearFailures(u.ID, since)
		}
	}
}

// Bounds of the retry time given to callers whose service is cut off. It is as long as the
// cut has lasted: one that has lasted long is likely to last.
const (
	retryAfterCut    = time.Second
	maxRetryAfterCut = 4 * time.Second
)

// serviceCutOff reports whether all upstreams of a service are in failure domains that are
// cut off, and for how long the longest of these cuts has lasted.
func (r *Relay) serviceCutOff(service string) (cutFor time.Duration, all bool) {
	for _, u := range r.opts.Upstreams().Live(service) {
		d := r.opts.Paths.CutFor(u.Domain)
		if d == 0 {
			return 0, false
		}
		cutFor = max(cutFor, d)
	}
	return cutFor, cutFor > 0
}

// cutOffRefusal returns a refusal if no upstream of the service can be reached, else nil.
func (g *run) cutOffRefusal() *request.Refusal {
	cutFor, all := g.relay.serviceCutOff(g.req.Service.Name)
	if !all {
		return nil
	}
	retryAfter := min(max(cutFor, retryAfterCut), maxRetryAfterCut)
	return request.Refuse(request.CodeNoUpstream, retryAfter, "no upstream of %s can be reached: their failure domains are cut off", g.req.Service.Name)
}
