package owner

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/buckthorndock/buckthorndock/internal/core/ledger"
)

// Service owns engines. Use New, register RPC with the peers' net/rpc server and
// run Run.
type Service struct {
	opts Options

	mu              sync.Mutex
	ledger          *ledger.Ledger
	turns           *ledger.Turns
	owned           map[string]*poller // by engine
	publishInterval time.Duration      // time between digests at present
	pollers         sync.WaitGroup     // pollers and calls in the background
	backgroundCalls errgroup.Group     // bounds calls in the background
}

// maxBackgroundCalls bounds the calls to engines that no front waits for.
const maxBackgroundCalls = 64

// New returns a service that owns nothing before Run.
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

// Run owns engines until the context ends.
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

// stop waits for all that Run has started. The context has ended by then.
func (s *Service) stop() {
	s.pollers.Wait()
	_ = s.backgroundCalls.Wait() // its functions return no errors
}

// tick follows ownership and lets the ledger look at its limits. Ownership comes
// first: after a pause another host may own the engines by now.
func (s *Service) tick(ctx context.Context) {
	s.updateOwnership(ctx)
	s.mu.Lock()
	acts := s.ledger.Tick(s.opts.Clock())
	s.mu.Unlock()
	s.executeInBackground(ctx, acts)
}

// updateOwnership takes over what this host owns now and lets go of the rest.
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

// disown needs the lock.
func (s *Service) disown(name string, p *poller) {
	p.cancel()
	delete(s.owned, name)
	s.ledger.Disown(name)
	s.opts.Log.WithFields(fields{"engine": name}).Info("engine_disowned")
}

// own needs the lock.
func (s *Service) own(ctx context.Context, e Engine) {
	ctx, cancel := context.WithCancel(ctx)
	p := newPoller(s, e, cancel)
	s.owned[e.Name] = p
	s.ledger.Own(e.Name) // its ReadBooks is the poller's first act
	s.pollers.Go(func() { p.run(ctx) })
	s.opts.Log.WithFields(fields{"engine": e.Name, "address": e.Address}).Info("engine_owned")
}

// loadsPerDigest is how often an engine's load is read for one digest: a report
// that no front gets is of little use.
const loadsPerDigest = 2

// minIdleReports is how many reports in a row must show an engine without work before
// it is read less often.
const minIdleReports = 20

// loadInterval returns the time until an engine's next load report.
func (s *Service) loadInterval(p *poller) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	every := max(s.opts.LoadEvery, s.publishInterval/loadsPerDigest)
	if p.idleReports >= minIdleReports {
		return max(every, s.opts.IdleEvery)
	}
	return every
}

// address returns where an owned engine is; ok is false when it is not owned.
func (s *Service) address(engine string) (address string, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.owned[engine]
	if p == nil {
		return "", false
	}
	return p.engine.Address, true
}

// Room returns the ledger's hint for an owned engine.
func (s *Service) Room(engine string) (ledger.Room, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger.Room(engine, s.opts.Clock())
}

// MarkHostGone says that a host has left the site for good: what it holds is ended
// soon. It is for a caller that knows from more than a lack of heartbeats, such
// as the platform's list; a renewal of the host takes it back.
func (s *Service) MarkHostGone(host string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ledger.MarkHostGone(host, s.opts.Clock())
}

// ObserveHolder says that a host lives in an incarnation: what its former ones hold
// is ended at once.
func (s *Service) ObserveHolder(ctx context.Context, h ledger.Holder) {
	s.mu.Lock()
	acts := s.ledger.ObserveHolder(h, s.opts.Clock())
	s.mu.Unlock()
	s.executeInBackground(ctx, acts)
}

// Hosts returns the hosts that hold something on owned engines.
func (s *Service) Hosts() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger.Hosts()
}
