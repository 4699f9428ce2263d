package paths

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/buckthorndock/buckthorndock/internal/core/reach"
	"github.com/buckthorndock/buckthorndock/internal/tunnel"
)

// errNoGateway means that no other daemon opens a connection to the upstream.
var errNoGateway = merry.Sentinel("no other daemon opens a connection to the upstream")

// Dial opens a connection to an upstream, through another daemon if this one reaches no upstream
// of its domain. The error is a *net.OpError of a dial.
func (t *Tracker) Dial(ctx context.Context, address string) (net.Conn, error) {
	domain := t.opts.DomainOf(address)
	if t.State(domain) == reach.Indirect {
		return t.dialIndirect(ctx, domain, address)
	}
	conn, err := t.dialDirect(ctx, domain, address)
	if err == nil || ctx.Err() != nil || !t.findsIndirect(ctx, domain, address) {
		return conn, err
	}
	return t.dialIndirect(ctx, domain, address)
}

// dialDirect opens a connection over the network. If that takes long, the domain is probed, and
// the dial ends as soon as its path turns out to be indirect.
func (t *Tracker) dialDirect(ctx context.Context, domain, address string) (net.Conn, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	suspicion := time.AfterFunc(dialPatience, func() {
		if state, ok := t.StateSince(ctx, domain, time.Now()); ok && state == reach.Indirect {
			cancel()
		}
	})
	defer suspicion.Stop()
	return t.opts.Dial(ctx, address)
}

// findsIndirect reports whether the path to a domain is indirect by now, after a connection to an
// address has failed. It waits for a probe that did not begin before, unless none is due for long,
// as a single upstream may be dead.
func (t *Tracker) findsIndirect(ctx context.Context, domain, address string) bool {
	if domain == "" {
		return false // such upstreams are never probed
	}
	t.recordFailure(domain, address)
	since := time.Now()
	for t.probedAt(domain).Before(since) && t.nextProbe(domain) <= suspectInterval {
		if !t.awaitProbe(ctx, domain) {
			return false
		}
	}
	return t.State(domain) == reach.Indirect
}

func (t *Tracker) recordFailure(domain, address string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.state.RecordFailure(domain, address)
}

// DialForOther opens a connection to an upstream for another daemon, over the network of this one
// only. The error wraps tunnel.ErrUnwilling if this daemon turns out not to reach the domain.
func (t *Tracker) DialForOther(ctx context.Context, address string) (net.Conn, error) {
	domain := t.opts.DomainOf(address)
	conn, err := t.dialDirect(ctx, domain, address)
	if err == nil {
		return conn, nil
	}
	if t.findsIndirect(ctx, domain, address) || t.State(domain) != reach.Direct {
		return nil, merry.Wrap(err, merry.WithCause(tunnel.ErrUnwilling))
	}
	return nil, err
}

// maxGatewaysTried is the number of daemons that are asked to open one connection: those that are
// known, and those that are found if none of them does.
const maxGatewaysTried = 2 * wantGateways

// dialIndirect opens a connection through another daemon.
func (t *Tracker) dialIndirect(ctx context.Context, domain, address string) (net.Conn, error) {
	err := error(errNoGateway)
	for range maxGatewaysTried {
		via, ok := t.awaitGateway(ctx, domain)
		if !ok {
			break
		}
		var conn net.Conn
		conn, err = t.opts.Daemons.Connect(ctx, via.Address, address)
		if err == nil {
			return conn, nil
		}
		if ctx.Err() != nil || !errors.Is(err, tunnel.ErrUnwilling) {
			break
		}
		t.dropGateway(domain, via)
	}
	return nil, &net.OpError{Op: "dial", Net: "tcp", Err: err}
}

// awaitGateway returns a daemon through which a domain is reached. While none is known, it waits for
// the probes, which look for others.
func (t *Tracker) awaitGateway(ctx context.Context, domain string) (Daemon, bool) {
	for t.State(domain) == reach.Indirect {
		if via, ok := t.gatewayOf(domain); ok {
			return via, true
		}
		if !t.awaitProbe(ctx, domain) {
			break
		}
	}
	return Daemon{}, false
}
