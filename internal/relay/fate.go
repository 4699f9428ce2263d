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

// Times of the looks whether an upstream has died.
const (
	// reachWait bounds the look for which a request waits: a dead process's host refuses a
	// connection within a round trip.
	reachWait = 50 * time.Millisecond
	againWait = 250 * time.Millisecond // of each look that follows
)

// againAfter are the times before the looks that follow where the first shows no death: a process
// that ends closes its connections before its listener, and a slow machine may see neither in time.
var againAfter = []time.Duration{50 * time.Millisecond, 150 * time.Millisecond, 500 * time.Millisecond}

// showsDead looks whether nobody listens at an upstream's address any more, while something else in
// its failure domain is reached: a cut of the way to the domain may look the same. Where nothing
// else is known there, a refused connection is all that can be had, and few run on one upstream.
func (r *Relay) showsDead(ctx context.Context, u fleet.Upstream, within time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	if !errors.Is(r.opts.Probe(ctx, u.Address), syscall.ECONNREFUSED) {
		return false
	}
	others := r.neighbours(u)
	reached := func(address string) bool { return r.opts.Probe(ctx, address) == nil }
	return len(others) == 0 || slices.ContainsFunc(others, reached)
}

// lookAgain looks for some time what has become of an upstream whose answer broke, and tells of its
// end. What the looks do not show, the list may tell, or its next answer. One that is silent, as
// behind a cut or without power, has not died of what ran there.
func (r *Relay) lookAgain(u fleet.Upstream) {
	if _, looking := r.looking.LoadOrStore(u.ID, true); looking {
		return
	}
	go func() {
		defer r.looking.Delete(u.ID)
		ctx := context.Background() // the request that was broken does not wait
		for _, after := range againAfter {
			wait.For(ctx, after)
			if r.showsDead(ctx, u, againWait) {
				r.UpstreamDelisted(u)
				return
			}
		}
		if r.silent(ctx, u) {
			r.opts.Suspects.EngineAlive(u.ID)
		}
	}()
}

// silent reports whether a connection to an upstream is neither made nor refused.
func (r *Relay) silent(ctx context.Context, u fleet.Upstream) bool {
	ctx, cancel := context.WithTimeout(ctx, againWait)
	defer cancel()
	err := r.opts.Probe(ctx, u.Address)
	return err != nil && !errors.Is(err, syscall.ECONNREFUSED)
}

// Addresses of a failure domain that are tried: others may have died as well.
const (
	mostNeighbours = 3 // upstreams
	mostDaemons    = 2
)

// neighbours returns addresses of others in an upstream's failure domain: of a few upstreams,
// those first that have not failed lately, and of daemons.
func (r *Relay) neighbours(u fleet.Upstream) []string {
	var sound, failing []string
	avoided := r.avoided()
	for _, other := range r.opts.Upstreams().Upstreams {
		switch {
		case other.Domain != u.Domain || other.Address == u.Address:
		case slices.Contains(avoided, other.ID):
			failing = append(failing, other.Address)
		default:
			sound = append(sound, other.Address)
		}
	}
	some := append(sound, failing...)
	some = some[:min(mostNeighbours, len(some))]
	if r.opts.DaemonAddresses != nil {
		daemons := r.opts.DaemonAddresses(u.Domain)
		some = append(some, daemons[:min(mostDaemons, len(daemons))]...)
	}
	return some
}
