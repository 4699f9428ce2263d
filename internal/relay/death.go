package relay

import (
	"context"
	"slices"

	"github.com/buckthorndock/buckthorndock/internal/core/fleet"
	"github.com/buckthorndock/buckthorndock/internal/deaths"
)

// toCheck returns an upstream as the checks of deaths identify it.
func toCheck(u fleet.Upstream) deaths.Upstream {
	return deaths.Upstream{ID: u.ID, Address: u.Address, Domain: u.Domain}
}

// recheckDeath checks repeatedly whether an upstream whose answer broke off has died, and
// reports that. Deaths that it misses may be found by the list or by the next answer. An
// upstream that is silent, as behind a network cut or without power, was not killed by the
// requests that it ran.
//
// The server at its address is also asked who it is: where it starts again soon, or behind a proxy,
// connections may never be refused.
func (r *Relay) recheckDeath(u fleet.Upstream, isEngine bool) {
	restarted := func(ctx context.Context) bool { return r.hasEnded(ctx, u, isEngine) }
	r.deaths.Recheck(toCheck(u), restarted, func(res deaths.Result) {
		switch res {
		case deaths.Dead:
			r.endLog.add(u, connectionsRefused, "")
			r.UpstreamDelisted(u)
		case deaths.Unresponsive:
			r.opts.Suspects.EngineAlive(u.ID)
		}
	})
}

// neighbours returns the neighbours of an upstream.
func (r *Relay) neighbours(u deaths.Upstream) deaths.Neighbours {
	var n deaths.Neighbours
	avoided := r.avoided()
	for _, other := range r.opts.Upstreams().Upstreams {
		n.AddNear(u, other.Address, other.Domain, slices.Contains(avoided, other.ID))
	}
	if r.opts.DaemonAddresses != nil {
		n.Daemons = r.opts.DaemonAddresses(u.Domain)
	}
	return n
}
