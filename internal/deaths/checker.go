package deaths

import (
	"context"
	"errors"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/core/reach"
	"github.com/buckthorndock/buckthorndock/internal/paths"
	"github.com/buckthorndock/buckthorndock/internal/wait"
)

// Upstream is the upstream in question.
type Upstream struct {
	ID      string // unique among the upstreams
	Address string
	Domain  string // failure domain, empty if it has none
}

// Options configure a Checker.
type Options struct {
	Paths *paths.Tracker
	// Neighbours returns the neighbours of an upstream.
	Neighbours func(u Upstream) Neighbours
}

// Checker checks upstreams. It is safe for concurrent use.
type Checker struct {
	opts      Options
	rechecked sync.Map // IDs of upstreams for which Recheck is running
}

// New returns a Checker.
func New(o Options) *Checker { return &Checker{opts: o} }

// Timeouts of the checks.
const (
	// checkTimeout bounds the first check, for which a request waits: the host of a dead
	// process refuses a connection within a round trip.
	checkTimeout   = 50 * time.Millisecond
	recheckTimeout = 250 * time.Millisecond // of each later check
)

// recheckDelays are the pauses before the later checks, made if the first finds no death: a
// process that ends closes its connections before its listener, and on a slow machine
// neither may be visible in time.
var recheckDelays = []time.Duration{50 * time.Millisecond, 150 * time.Millisecond, 500 * time.Millisecond}

// lateRecheckDelays are the pauses before checks that follow if nothing is known by then: a server
// takes seconds to start again, and where connections to it end at a proxy, it is only its successor
// that shows its death.
var lateRecheckDelays = []time.Duration{time.Second, 2 * time.Second, 4 * time.Second}

// IsDead reports whether nobody listens at an upstream's address any more.
func (c *Checker) IsDead(ctx context.Context, u Upstream) bool {
	return c.isDead(ctx, u, checkTimeout)
}

// isDead is IsDead with a timeout. A refused connection alone does not tell: a partition of this
// host may look the same, and so may one of the whole failure domain. So another upstream has to
// accept a connection over the same path, and that of the upstream is tried again after it: a path
// that failed, or came back, in between would otherwise tell of a death.
func (c *Checker) isDead(ctx context.Context, u Upstream, within time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	path := c.opts.Paths.PathTo(u.Domain)
	isRefused := func() bool { return errors.Is(path.Probe(ctx, u.Address), syscall.ECONNREFUSED) }
	begun := time.Now()
	if !isRefused() {
		return false
	}
	n := c.opts.Neighbours(u)
	reached := func(address string) bool { return path.Probe(ctx, address) == nil }
	if slices.ContainsFunc(n.SameDomain.toTry(), reached) {
		return isRefused()
	}
	return c.reachesAllButDomain(ctx, u.Domain, n, begun) && isRefused()
}

// reachesAllButDomain reports whether the path to a domain is not at fault though none of the
// domain's upstreams accepts a connection: its daemons answer, upstreams elsewhere are reached from
// here, and no other daemon reaches the domain's.
func (c *Checker) reachesAllButDomain(ctx context.Context, domain string, n Neighbours, since time.Time) bool {
	state, ok := c.opts.Paths.StateSince(ctx, domain, since)
	if !ok || state == reach.Indirect {
		return false // a later check knows more, or goes through another daemon
	}
	direct := c.opts.Paths.DirectPath()
	reached := func(address string) bool { return direct.Probe(ctx, address) == nil }
	if n.SameDomain.count()+len(n.Daemons) > 0 && !slices.ContainsFunc(n.daemonsToTry(), reached) {
		return false // the domain may be cut off
	}
	if n.Elsewhere.count() == 0 {
		return n.SameDomain.count() == 0
	}
	return slices.ContainsFunc(n.Elsewhere.toTry(), reached) // or this host may be
}

// Result is what later checks of an upstream have found.
type Result uint8

// Results of Recheck.
const (
	Unknown      Result = iota // it listens, or the path to it may be at fault
	Dead                       // its process has ended
	Unresponsive               // it neither accepts nor refuses connections, as without power
)

// Recheck checks an upstream repeatedly, in the background, and calls done with the result unless
// the upstream is rechecked already. restarted reports whether another process has taken the
// upstream's place; it may be nil.
func (c *Checker) Recheck(u Upstream, restarted func(ctx context.Context) bool, done func(Result)) {
	if _, running := c.rechecked.LoadOrStore(u.ID, true); running {
		return
	}
	go func() {
		defer c.rechecked.Delete(u.ID)
		done(c.recheck(context.Background(), u, restarted)) // the broken request does not wait for this
	}()
}

func (c *Checker) recheck(ctx context.Context, u Upstream, restarted func(ctx context.Context) bool) Result {
	isDead := func(after time.Duration) bool {
		wait.For(ctx, after)
		return c.isDead(ctx, u, recheckTimeout) || restarted != nil && restarted(ctx)
	}
	switch {
	case slices.ContainsFunc(recheckDelays, isDead):
		return Dead
	case c.isUnresponsive(ctx, u):
		return Unresponsive
	case slices.ContainsFunc(lateRecheckDelays, isDead):
		return Dead
	}
	return Unknown
}

// isUnresponsive reports whether a connection to an upstream is neither accepted nor refused.
func (c *Checker) isUnresponsive(ctx context.Context, u Upstream) bool {
	ctx, cancel := context.WithTimeout(ctx, recheckTimeout)
	defer cancel()
	err := c.opts.Paths.PathTo(u.Domain).Probe(ctx, u.Address)
	return err != nil && !errors.Is(err, syscall.ECONNREFUSED)
}
