package owner

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/buckthorndock/buckthorndock/internal/core/ledger"
)

// Service polls the engines that this host owns and keeps the ledger of their
// memory. Create it with New, register RPC with the net/rpc server for peers, and
// call Run.
type Service struct {
	opts Options

	mu              sync.Mutex
	ledger          *ledger.Ledger
	turns           *ledger.Turns
	owned           map[string]*poller // by engine
	publishInterval time.Duration      // current time between digests
	pollers         sync.WaitGroup     // running pollers
	backgroundCalls errgroup.Group     // calls to engines in the background, bounded
}

// maxBackgroundCalls bounds the concurrent calls to engines that no front waits for.
const maxBackgroundCalls = 64

// New returns a Service that owns no engine until Run.
func New(opts Options) *Service {
	opts = opts.withDefaults()
	s := &Service{
		opts:            opts,
		ledger:          ledger.New(opts.Ledger),
		turns:           ledger.NewTurns(opts.TurnLimit),
		owned:           map[string]*poller{},
		publishInterval: opts.PublishEvery,
	}
	s.backgroundCalls.SetLimit(maxBackgroundCalls)
	return s
}

// Run owns engines and publishes digests until the context ends.
func (s *Service) Run(ctx context.Context) error {
	tick := time.NewTicker(s.opts.TickEvery)
	defer tick.Stop()
	publish := time.NewTimer(s.opts.PublishEvery)
	defer publish.Stop()
	defer s.stop()
	for {
		s.tick(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		case <-publish.C:
			publish.Reset(s.publish())
		}
	}
}

// stop waits for everything that Run has started. The context has ended by then.
func (s *Service) stop() {
	s.pollers.Wait()
	_ = s.backgroundCalls.Wait() // its functions return no errors
}

// tick updates ownership and lets the ledger check its timeouts. Ownership comes
// first: after a pause of this process another host may own the engines.
func (s *Service) tick(ctx context.Context) {
	s.updateOwnership(ctx)
	s.mu.Lock()
	acts := s.ledger.Tick(s.opts.Clock())
	s.mu.Unlock()
	s.executeInBackground(ctx, acts)
}

// updateOwnership starts to own the engines that now belong to this host and stops
// owning all others.
func (s *Service) updateOwnership(ctx context.Context) {
	mine := map[string]Engine{}
	for _, e := range s.opts.Catalog() {
		if _, _, self := s.opts.Ownership.Owner(e.Name); self {
			mine[e.Name] = e
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, p := range s.owned {
		if mine[name] != p.engine {
			s.disown(name, p)
		}
	}
	for name, e := range mine {
		if s.owned[name] == nil {
			s.own(ctx, e)
		}
	}
}

// disown stops the poller of an engine and removes the engine from the ledger. The
// caller holds the lock.
func (s *Service) disown(name string, p *poller) {
	p.cancel()
	delete(s.owned, name)
	s.ledger.Disown(name)
	s.opts.Log.WithFields(fields{"engine": name}).Info("engine_disowned")
}

// own adds an engine to the ledger and starts its poller. The caller holds the lock.
func (s *Service) own(ctx context.Context, e Engine) {
	ctx, cancel := context.WithCancel(ctx)
	p := newPoller(s, e, cancel)
	s.owned[e.Name] = p
	s.ledger.Own(e.Name) // the poller reads the books first, so the returned ReadBooks is not needed
	s.pollers.Go(func() { p.run(ctx) })
	s.opts.Log.WithFields(fields{"engine": e.Name, "address": e.Address}).Info("engine_owned")
}

// loadsPerDigest is how often an engine's load is read per digest. Reports that are
// read more often would not reach any front.
const loadsPerDigest = 2

// minIdleReports is how many load reports in a row must show an engine without work
// before its load is read less often.
const minIdleReports = 20

// loadInterval returns the time until an engine's load is read next.
func (s *Service) loadInterval(p *poller) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	every := max(s.opts.LoadEvery, s.publishInterval/loadsPerDigest)
	if p.idleReports >= minIdleReports {
		return max(every, s.opts.IdleEvery)
	}
	return every
}

// address returns the address of an owned engine; ok is false when it is not owned.
func (s *Service) address(engine string) (address string, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.owned[engine]
	if p == nil {
		return "", false
	}
	return p.engine.Address, true
}

// Room returns what the ledger knows about an owned engine's memory; the boolean is
// false when the engine is not owned.
func (s *Service) Room(engine string) (ledger.Room, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger.Room(engine, s.opts.Clock())
}

// MarkHostGone records that a host has left the site for good: what it holds is
// ended soon. Missing heartbeats alone are no reason to call it; the platform's list
// of hosts is one. A renewal by the host undoes it.
func (s *Service) MarkHostGone(host string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ledger.MarkHostGone(host, s.opts.Clock())
}

// ObserveHolder records that a host runs in an incarnation: what its earlier ones
// hold is ended at once.
func (s *Service) ObserveHolder(ctx context.Context, h ledger.Holder) {
	s.mu.Lock()
	acts := s.ledger.ObserveHolder(h, s.opts.Clock())
	s.mu.Unlock()
	s.executeInBackground(ctx, acts)
}

// Hosts returns the hosts that hold memory on owned engines.
func (s *Service) Hosts() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger.Hosts()
}
