package paths

import (
	"context"
	"syscall"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/core/reach"
	"github.com/buckthorndock/buckthorndock/internal/wait"
)

// Path is one way to upstreams: the network of this daemon, or that of another one. What is seen
// over one path must not be compared with what is seen over another, because either may have
// failed.
type Path struct {
	tracker *Tracker
	domain  string
	via     *Daemon // nil: this daemon
	err     error   // why there is no way
}

// DirectPath returns the path over the network of this daemon.
func (t *Tracker) DirectPath() Path { return Path{tracker: t} }

// PathTo returns the path to the upstreams of a domain as the state is now.
func (t *Tracker) PathTo(domain string) Path {
	if t.State(domain) != reach.Indirect {
		return t.DirectPath()
	}
	via, ok := t.gatewayOf(domain)
	if !ok {
		return Path{err: errNoGateway}
	}
	return Path{tracker: t, domain: domain, via: &via}
}

// Probe tries to open a connection to an upstream over the path. The error wraps
// syscall.ECONNREFUSED if nobody listens there, or if the path refuses connections.
func (p Path) Probe(ctx context.Context, address string) error {
	switch {
	case p.err != nil:
		return p.err
	case p.via == nil:
		return p.tracker.tryDirect(ctx, address)
	}
	reply, err := p.tracker.ask(ctx, *p.via, p.domain, []string{address})
	switch {
	case err != nil:
		return err
	case len(reply.Reached) > 0:
		return nil
	case len(reply.Refused) > 0:
		return syscall.ECONNREFUSED
	}
	return errNoGateway
}

// StateSince returns the state of the path to a domain, as found by a probe that did not begin
// before a given time. It waits for that probe; ok is false if the context ends first.
func (t *Tracker) StateSince(ctx context.Context, domain string, since time.Time) (s reach.State, ok bool) {
	if domain == "" {
		return reach.Direct, true // such upstreams are never probed
	}
	for t.probedAt(domain).Before(since) {
		if !t.awaitProbe(ctx, domain) {
			return reach.Direct, false
		}
	}
	return t.State(domain), true
}

// awaitProbe waits for the probe of a domain that is under way or is to begin or, if none may
// begin yet, for a while. It returns false if the context ended first.
func (t *Tracker) awaitProbe(ctx context.Context, domain string) bool {
	if done := t.Suspect(domain); done != nil {
		return wait.Until(ctx, done)
	}
	return wait.For(ctx, t.nextProbe(domain))
}

// nextProbe returns how long no probe of a domain may begin, zero while one is under way.
func (t *Tracker) nextProbe(domain string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.state.NextProbe(domain, time.Now())
}

// probedAt returns the start of the last probe of a domain that had a valid result.
func (t *Tracker) probedAt(domain string) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.state.ProbedAt(domain)
}
