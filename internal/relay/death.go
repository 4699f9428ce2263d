package relay

import (
	"context"
	"errors"
	"slices"
	"syscall"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/core/fleet"
	"github.com/buckthorndock/buckthorndock/internal/wait"
)

// Timeouts of the checks whether an upstream has died.
const (
	// deathCheckTimeout bounds the first check, for which a request waits: the host of a
	// dead process refuses a connection within a round trip.
	deathCheckTimeout = 50 * time.Millisecond
	recheckTimeout    = 250 * time.Millisecond // of each later check
)

// recheckDelays are the pauses before the later checks, made if the first finds no death: a
// process that ends closes its connections before its listener, and on a slow machine
// neither may be visible in time.
var recheckDelays = []time.Duration{50 * time.Millisecond, 150 * time.Millisecond, 500 * time.Millisecond}

// isDead reports whether nobody listens at an upstream's address any more while something
// else in its failure domain can be reached: a network cut may look the same. If nothing
// else is known there, a refused connection has to suffice; few requests run on one
// upstream.
func (r *Relay) isDead(ctx context.Context, u fleet.Upstream, within time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	if !errors.Is(r.opts.Probe(ctx, u.Address), syscall.ECONNREFUSED) {
		return false
	}
	others := r.neighbours(u)
	reached := func(address string) bool { return r.opts.Probe(ctx, address) == nil }
	return len(others) == 0 || slices.ContainsFunc(others, reached)
}

// recheckDeath checks repeatedly whether an upstream whose answer broke off has died, and
// reports that. Deaths that it misses may be found by the list or by the next answer. An
// upstream that is silent, as behind a network cut or without power, was not killed by the
// requests that it ran.
func (r *Relay) recheckDeath(u fleet.Upstream) {
	if _, running := r.deathChecks.LoadOrStore(u.ID, true); running {
		return
	}
	go func() {
		defer r.deathChecks.Delete(u.ID)
		ctx := context.Background() // the broken request does not wait for this
		for _, after := range recheckDelays {
			wait.For(ctx, after)
			if r.isDead(ctx, u, recheckTimeout) {
				r.UpstreamDelisted(u)
				return
			}
		}
		if r.unresponsive(ctx, u) {
			r.opts.Suspects.EngineAlive(u.ID)
		}
	}()
}

// unresponsive reports whether a connection to an upstream is neither accepted nor refused.
func (r *Relay) unresponsive(ctx context.Context, u fleet.Upstream) bool {
	ctx, cancel := context.WithTimeout(ctx, recheckTimeout)
	defer cancel()
	err := r.opts.Probe(ctx, u.Address)
	return err != nil && !errors.Is(err, syscall.ECONNREFUSED)
}

// Numbers of addresses in a failure domain that are tried, because some of them may have
// died as well.
const (
	maxNeighbours = 3 // upstreams
	maxDaemons    = 2
)

// neighbours returns addresses of others in an upstream's failure domain: of a few
// upstreams, those to avoid only if there are no others, and of daemons.
func (r *Relay) neighbours(u fleet.Upstream) []string {
	var healthy, failing []string
	avoided := r.avoided()
	for _, other := range r.opts.Upstreams().Upstreams {
		switch {
		case other.Domain != u.Domain || other.Address == u.Address:
		case slices.Contains(avoided, other.ID):
			failing = append(failing, other.Address)
		default:
			healthy = append(healthy, other.Address)
		}
	}
	addresses := append(healthy, failing...)
	addresses = addresses[:min(maxNeighbours, len(addresses))]
	if r.opts.DaemonAddresses != nil {
		daemons := r.opts.DaemonAddresses(u.Domain)
		addresses = append(addresses, daemons[:min(maxDaemons, len(daemons))]...)
	}
	return addresses
}
