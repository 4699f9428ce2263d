package paths

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/buckthorndock/buckthorndock/internal/core/reach"
	"github.com/buckthorndock/buckthorndock/internal/tunnel"
	"github.com/buckthorndock/buckthorndock/internal/wait"
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
	if err == nil || ctx.Err() != nil || !t.findsIndirect(ctx, domain) {
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
		if t.findsIndirect(ctx, domain) {
			cancel()
		}
	})
	defer suspicion.Stop()
	return t.opts.Dial(ctx, address)
}

// findsIndirect waits for the probe of a domain, if there is to be one, and reports whether the
// path is indirect.
func (t *Tracker) findsIndirect(ctx context.Context, domain string) bool {
	if done := t.Suspect(domain); done != nil && !wait.Until(ctx, done) {
		return false
	}
	return t.State(domain) == reach.Indirect
}

// maxGatewaysTried is the number of daemons that are asked to open one connection.
const maxGatewaysTried = 3

// dialIndirect opens a connection through another daemon.
func (t *Tracker) dialIndirect(ctx context.Context, domain, address string) (net.Conn, error) {
	err := error(errNoGateway)
	for range maxGatewaysTried {
		via, ok := t.gatewayOf(domain)
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
