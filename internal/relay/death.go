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

// isDead reports whether nobody listens at an upstream's address any more. A refused connection
// alone does not tell: a partition of this host may look the same, and so may one of the whole
// failure domain. So another upstream of the domain has to accept a connection or, if none does,
// the path from here must not be at fault.
func (r *Relay) isDead(ctx context.Context, u fleet.Upstream, within time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	if !errors.Is(r.opts.Probe(ctx, u.Address), syscall.ECONNREFUSED) {
		return false
	}
	reached := func(address string) bool { return r.opts.Probe(ctx, address) == nil }
	n := r.neighbours(u)
	if slices.ContainsFunc(n.sameDomain, reached) {
		return true
	}
	if r.opts.Paths.FindsIndirect(ctx, u.Domain) {
		return false // the next check goes through another daemon
	}
	if len(n.sameDomain)+len(n.daemons) > 0 && !slices.ContainsFunc(n.daemons, reached) {
		return false // the domain may be cut off
	}
	if len(n.elsewhere) == 0 {
		return len(n.sameDomain) == 0
	}
	return slices.ContainsFunc(n.elsewhere, reached) // or this host may be
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

// Numbers of addresses that are tried, because some of them may have died as well.
const (
	maxNeighbours = 3 // upstreams of the domain, and of others
	maxDaemons    = 2 // of the domain
)

// neighbours are addresses that tell whether an upstream or the path to it has failed.
type neighbours struct {
	sameDomain []string // other upstreams of its failure domain
	elsewhere  []string // upstreams of other failure domains
	daemons    []string // daemons of its failure domain
}

// neighbours returns a few neighbours of an upstream: upstreams to avoid only if there are no
// others.
func (r *Relay) neighbours(u fleet.Upstream) neighbours {
	var same, elsewhere upstreamsByHealth
	avoided := r.avoided()
	for _, other := range r.opts.Upstreams().Upstreams {
		switch {
		case other.Address == u.Address:
		case other.Domain == u.Domain:
			same.add(other.Address, slices.Contains(avoided, other.ID))
		default:
			elsewhere.add(other.Address, slices.Contains(avoided, other.ID))
		}
	}
	n := neighbours{sameDomain: same.first(maxNeighbours), elsewhere: elsewhere.first(maxNeighbours)}
	if r.opts.DaemonAddresses != nil {
		daemons := r.opts.DaemonAddresses(u.Domain)
		n.daemons = daemons[:min(maxDaemons, len(daemons))]
	}
	return n
}

// upstreamsByHealth collects addresses of upstreams.
type upstreamsByHealth struct{ healthy, failing []string }

func (l *upstreamsByHealth) add(address string, failing bool) {
	if failing {
		l.failing = append(l.failing, address)
		return
	}
	l.healthy = append(l.healthy, address)
}

// first returns up to n addresses, those of healthy upstreams first.
func (l *upstreamsByHealth) first(n int) []string {
	all := append(l.healthy, l.failing...)
	return all[:min(n, len(all))]
}
