package relay

import (
	"context"
	"errors"
	"slices"
	"syscall"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/core/fleet"
	"github.com/buckthorndock/buckthorndock/internal/core/reach"
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
// failure domain. So another upstream has to accept a connection over the same path, and that of
// the upstream is tried again after it: a path that failed, or came back, in between would
// otherwise tell of a death.
func (r *Relay) isDead(ctx context.Context, u fleet.Upstream, within time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	path := r.opts.Paths.PathTo(u.Domain)
	isRefused := func() bool { return errors.Is(path.Probe(ctx, u.Address), syscall.ECONNREFUSED) }
	begun := time.Now()
	if !isRefused() {
		return false
	}
	n := r.neighbours(u)
	reached := func(address string) bool { return path.Probe(ctx, address) == nil }
	if slices.ContainsFunc(n.sameDomain, reached) {
		return isRefused()
	}
	return r.reachesAllButDomain(ctx, u.Domain, n, begun) && isRefused()
}

// reachesAllButDomain reports whether the path to a domain is not at fault though none of the
// domain's upstreams accepts a connection: its daemons answer, upstreams elsewhere are reached from
// here, and no other daemon reaches the domain's.
func (r *Relay) reachesAllButDomain(ctx context.Context, domain string, n neighbours, since time.Time) bool {
	state, ok := r.opts.Paths.StateSince(ctx, domain, since)
	if !ok || state == reach.Indirect {
		return false // a later check knows more, or goes through another daemon
	}
	direct := r.opts.Paths.DirectPath()
	reached := func(address string) bool { return direct.Probe(ctx, address) == nil }
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
	err := r.opts.Paths.PathTo(u.Domain).Probe(ctx, u.Address)
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
