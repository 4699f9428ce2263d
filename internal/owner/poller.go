package owner

import (
	"context"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/core/ledger"
)

// maxCacheSkip bounds how many cache events are left out between two reads.
const maxCacheSkip = 1 << 16

// poller reads one owned engine. Its fields after doubt belong to the service's
// lock.
type poller struct {
	service        *Service
	engine         Engine
	cancel         context.CancelFunc
	booksRequested chan struct{} // the books are wanted now

	failures    int
	idleReports int // reports in a row without work
	load        Load
	loadAt      time.Time // when the load was received, less its age; zero: none yet
	cache       []CacheEvent
	nextSeq     int64 // first cache event not yet read
	skip        int64 // cache events to leave out after the next full read
}

func newPoller(s *Service, e Engine, cancel context.CancelFunc) *poller {
	return &poller{service: s, engine: e, cancel: cancel, booksRequested: make(chan struct{}, 1)}
}

// run polls until the engine is no longer owned.
func (p *poller) run(ctx context.Context) {
	load := time.NewTimer(p.service.loadInterval(p))
	defer load.Stop()
	books := time.NewTicker(p.service.opts.BooksEvery)
	defer books.Stop()
	p.readBooks(ctx)
	p.readLoad(ctx)
	for reads := 0; ; {
		select {
		case <-ctx.Done():
			return
		case <-books.C:
			p.readBooks(ctx)
		case <-p.booksRequested:
			p.readBooks(ctx)
		case <-load.C:
			p.readLoad(ctx)
			if reads++; reads%loadsPerDigest == 0 {
				p.readCache(ctx)
			}
			load.Reset(p.service.loadInterval(p))
		}
	}
}

func (p *poller) readBooks(ctx context.Context) {
	s := p.service
	call, cancel := context.WithTimeout(ctx, s.opts.CallTimeout)
	defer cancel()
	b, err := s.opts.Engines.Books(call, p.engine.Address)
	p.recordAnswer(err)
	if err != nil {
		return
	}
	metricBooksRead.Inc()
	b.Engine = p.engine.Name
	s.mu.Lock()
	var acts []ledger.Action
	if s.owned[p.engine.Name] == p {
		acts = s.ledger.ApplyBooks(b, s.opts.Clock())
	}
	s.mu.Unlock()
	s.executeInBackground(ctx, acts)
}

// recordAnswer counts calls without an answer; a refusal is an answer.
func (p *poller) recordAnswer(err error) {
	s := p.service
	s.mu.Lock()
	defer s.mu.Unlock()
	if err == nil {
		p.failures = 0
		return
	}
	p.failures++
	if p.failures != s.opts.DownAfter {
		return
	}
	p.loadAt = time.Time{}
	if s.owned[p.engine.Name] == p {
		s.ledger.MarkEngineDown(p.engine.Name)
	}
	s.opts.Log.WithFields(fields{"engine": p.engine.Name}).WithError(err).Warn("engine_down")
}

func (p *poller) readLoad(ctx context.Context) {
	s := p.service
	call, cancel := context.WithTimeout(ctx, s.opts.CallTimeout)
	defer cancel()
	l, err := s.opts.Engines.Load(call, p.engine.Address)
	p.recordAnswer(err)
	if err != nil {
		return
	}
	if p.storeLoad(l) {
		p.readBooks(ctx)
	}
}

// storeLoad stores a report and tells whether the engine has started anew.
func (p *poller) storeLoad(l Load) (restarted bool) {
	s := p.service
	s.mu.Lock()
	defer s.mu.Unlock()
	restarted = p.load.Incarnation != "" && p.load.Incarnation != l.Incarnation
	if restarted {
		p.cache = nil
		p.nextSeq = 0
		p.skip = 0
	}
	p.idleReports++
	if l.Running > 0 || l.Queued > 0 || l.QueuedPrefill > 0 {
		p.idleReports = 0
	}
	p.load = l
	p.loadAt = s.opts.Clock().Add(-l.Age)
	return restarted
}

// readCache keeps the last cache events for the digest. A failure only makes the
// digest poorer.
func (p *poller) readCache(ctx context.Context) {
	s := p.service
	ctx, cancel := context.WithTimeout(ctx, s.opts.CallTimeout)
	defer cancel()
	s.mu.Lock()
	from := p.nextSeq
	s.mu.Unlock()
	events, err := s.opts.Engines.CacheEvents(ctx, p.engine.Address, from, s.opts.MaxCacheRead)
	if err != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if p.nextSeq != from {
		return
	}
	p.nextSeq = p.nextCacheSeq(events)
	p.cache = append(p.cache, events.Events...)
	if extra := len(p.cache) - s.opts.CacheWindow; extra > 0 {
		p.cache = append([]CacheEvent(nil), p.cache[extra:]...)
	}
}

// nextCacheSeq keeps up with an engine that has more events than are read: after a
// full read it leaves some out, more each time. A read past the engine's last
// event is empty until the engine gets there.
func (p *poller) nextCacheSeq(events CacheEvents) int64 {
	if len(events.Events) < p.service.opts.MaxCacheRead {
		p.skip /= 2
		return events.Next
	}
	next := events.Next + p.skip
	p.skip = min(max(2*p.skip, int64(p.service.opts.MaxCacheRead)), maxCacheSkip)
	return next
}
