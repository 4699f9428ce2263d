package owner

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Section is the name of the section in which hosts publish their digests.
const Section = "engines"

// Digest is the report that an owner publishes about its engines to the fronts of
// its failure domain.
type Digest struct {
	Engines []EngineDigest
}

// EngineDigest is the part of a digest that describes one engine.
type EngineDigest struct {
	Name            string
	Models          string // separated by spaces
	Role            string
	IncarnationHash uint32 // hash of the engine's incarnation
	Seq             int64  // sequence number of the load report
	AgeMs           int64  // age of the load report when the digest was made
	StepUs          int64
	Prefill         int64 // tokens per second
	Decode          int64 // hundredths of a token per second of one stream
	Queued          int64
	QueuedTokens    int64 // prompt tokens queued
	Running         int64
	Total           int64 // memory in tokens
	Used            int64 // memory in use in tokens
	Block           int64 // tokens per cache block
	Leaving         bool
	ReservedMs      int64    // time until the start of the gang that memory is reserved for; zero: none
	ReservedTokens  int64    // tokens reserved for that gang
	FirstCacheSeq   int64    // sequence number of the first cache event
	Cache           []uint64 // pairs of (difference to the previous sequence number << 2 | kind, block)
}

const (
	kindBits      = 2
	kindMask      = 1<<kindBits - 1
	decodeScale   = 100
	modelsDivider = " "
)

// publish publishes the digest of the owned engines and returns the time until the
// next one: longer in a large failure domain, so that all digests that a front
// receives stay within Options.DigestBudget.
func (s *Service) publish() (next time.Duration) {
	if s.opts.Publisher == nil {
		return s.opts.PublishEvery
	}
	d := s.digest()
	data, err := d.Encode()
	if err != nil {
		s.opts.Log.WithError(err).Error("digest_failed")
		return s.opts.PublishEvery
	}
	metricDigestBytes.Add(len(data))
	s.opts.Publisher.Publish(Section, data)
	return s.updatePublishInterval(len(data), len(d.Engines))
}

// updatePublishInterval sets the interval between digests from the size of the last
// one, and returns the time until the next: at least IdleEvery while all owned
// engines are idle.
func (s *Service) updatePublishInterval(size, engines int) time.Duration {
	if engines == 0 {
		return s.opts.IdleEvery
	}
	all := size * len(s.opts.Catalog()) / engines
	stretched := time.Duration(all) * time.Second / time.Duration(s.opts.DigestBudget)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.publishInterval = max(s.opts.PublishEvery, stretched)
	if s.allIdle() {
		return max(s.publishInterval, s.opts.IdleEvery)
	}
	return s.publishInterval
}

// allIdle reports whether every owned engine was without work in its last
// minIdleReports load reports. The caller holds the lock.
func (s *Service) allIdle() bool {
	for _, p := range s.owned {
		if p.idleReports < minIdleReports {
			return false
		}
	}
	return true
}

// digest builds the digest of the owned engines. It leaves out engines that do not
// answer, so that fronts see no fresh report of them.
func (s *Service) digest() Digest {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.opts.Clock()
	var d Digest
	for _, name := range s.ledger.Owned() {
		p := s.owned[name]
		if p == nil || p.loadAt.IsZero() {
			continue
		}
		d.Engines = append(d.Engines, p.digest(now))
	}
	return d
}

// digest returns the engine's part of a digest. The caller holds the service's lock.
func (p *poller) digest(now time.Time) EngineDigest {
	l := p.load
	e := EngineDigest{
		Name:            p.engine.Name,
		IncarnationHash: IncarnationHash(l.Incarnation),
		Seq:             l.Seq,
		AgeMs:           now.Sub(p.loadAt).Milliseconds(),
		StepUs:          l.Step.Microseconds(),
		Prefill:         int64(l.PrefillRate),
		Decode:          int64(l.DecodeRate * decodeScale),
		Queued:          int64(l.Queued),
		QueuedTokens:    l.QueuedPrefill,
		Running:         int64(l.Running),
		Total:           l.MemoryTotal,
		Used:            l.MemoryUsed,
		Block:           int64(l.BlockTokens),
		Leaving:         l.Leaving,
		Models:          strings.Join(l.Models, modelsDivider),
		Role:            l.Role,
	}
	if room, ok := p.service.ledger.Room(e.Name, now); ok && !room.ReservedUntil.IsZero() {
		e.ReservedMs = max(1, room.ReservedUntil.Sub(now).Milliseconds())
		e.ReservedTokens = room.ReservedRoom
	}
	e.setEvents(p.cache)
	return e
}

// IncarnationHash returns the short form of an engine's incarnation in digests.
func IncarnationHash(incarnation string) uint32 {
	return uint32(xxhash.Sum64String(incarnation))
}

func (e *EngineDigest) setEvents(events []CacheEvent) {
	if len(events) == 0 {
		return
	}
	e.FirstCacheSeq = events[0].Seq
	last := e.FirstCacheSeq
	for _, ev := range events {
		e.Cache = append(e.Cache, uint64(ev.Seq-last)<<kindBits|uint64(ev.Kind), ev.Block)
		last = ev.Seq
	}
}

// Events returns the last cache events of the engine. Digests overlap: a front
// skips the events that it knows from an earlier one.
func (e *EngineDigest) Events() []CacheEvent {
	events := make([]CacheEvent, 0, len(e.Cache)/2)
	seq := e.FirstCacheSeq
	for pair := range slices.Chunk(e.Cache, 2) {
		if len(pair) < 2 {
			break
		}
		seq += int64(pair[0] >> kindBits)
		events = append(events, CacheEvent{Seq: seq, Kind: CacheKind(pair[0] & kindMask), Block: pair[1]})
	}
	return events
}

// Load returns the engine's load report. Its age is the one at the time when the
// digest was made.
func (e *EngineDigest) Load() Load {
	return Load{
		Seq:           e.Seq,
		Age:           time.Duration(e.AgeMs) * time.Millisecond,
		Step:          time.Duration(e.StepUs) * time.Microsecond,
		PrefillRate:   float64(e.Prefill),
		DecodeRate:    float64(e.Decode) / decodeScale,
		Queued:        int(e.Queued),
		QueuedPrefill: e.QueuedTokens,
		Running:       int(e.Running),
		MemoryTotal:   e.Total,
		MemoryUsed:    e.Used,
		Models:        strings.Fields(e.Models),
		Role:          e.Role,
		Leaving:       e.Leaving,
		BlockTokens:   int(e.Block),
	}
}
