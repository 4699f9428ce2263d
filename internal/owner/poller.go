package owner

import (
	"context"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/core/ledger"
)

// maxCacheSkip bounds how many cache events are skipped between two reads.
const maxCacheSkip = 1 << 16

// poller reads the books, load and cache events of one owned engine. The service's
// lock guards the fields after booksRequested.
type poller struct {
	service        *Service
	engine         Engine
	cancel         context.CancelFunc
	booksRequested chan struct{} // the books are to be read now

	failures    int
	idleReports int // load reports in a row without work
	load        Load
	loadAt      time.Time // time of the load report; zero: none yet, or the engine is down
	cache       []CacheEvent
	nextSeq     int64 // sequence number from which cache events are read next
	skip        int64 // cache events to skip after the next full read
}

func newPoller(s *Service, e Engine, cancel context.CancelFunc) *poller {
	return &poller{service: s, engine: e, cancel: cancel, booksRequested: make(chan struct{}, 1)}
}

// run polls the engine until the context ends, as it does when the engine is no
// longer owned.
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

// readBooks reads the engine's books and applies them to the ledger.
func (p *poller) readBooks(ctx context.Context) {
	s := p.service
	callCtx, cancel := context.WithTimeout(ctx, s.opts.CallTimeout)
	defer cancel()
	b, err := s.opts.Engines.Books(callCtx, p.engine.Address)
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

// recordAnswer counts failed calls in a row and marks the engine as down when there
// are Options.DownAfter of them.
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

// readLoad reads the engine's load report, and its books too when the engine has
// restarted.
func (p *poller) readLoad(ctx context.Context) {
	s := p.service
	callCtx, cancel := context.WithTimeout(ctx, s.opts.CallTimeout)
	defer cancel()
	l, err := s.opts.Engines.Load(callCtx, p.engine.Address)
	p.recordAnswer(err)
	if err != nil {
		return
	}
	if p.storeLoad(l) {
		p.readBooks(ctx)
	}
}

// storeLoad stores a load report and reports whether the engine has restarted since
// the last one. A restart resets the reading of cache events.
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

// readCache reads the engine's next cache events and keeps the last ones for the
// digest. After a failure the digest only lacks the newest events.
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

// nextCacheSeq returns the sequence number from which to read after a read of
// events. To keep up with an engine that makes more events than are read, it skips
// some after a full read, more each time. A read past the engine's last event is
// empty until the engine gets there.
func (p *poller) nextCacheSeq(events CacheEvents) int64 {
	if len(events.Events) < p.service.opts.MaxCacheRead {
		p.skip /= 2
		return events.Next
	}
	next := events.Next + p.skip
	p.skip = min(max(2*p.skip, int64(p.service.opts.MaxCacheRead)), maxCacheSkip)
	return next
}
