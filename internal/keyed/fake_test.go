package keyed

import (
	"context"
	"net/rpc"
	"slices"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/buckthorndock/buckthorndock/internal/core/membership"
	"github.com/buckthorndock/buckthorndock/internal/platform"
)

// fakeStore is an in-memory keyed stream with fault injection.
type fakeStore struct {
	mu      sync.Mutex
	records []platform.KeyedRecord
	kept    int64 // lowest offset that can be read
	down    bool
	lag     int // number of newest records that Newest does not return yet
	reads   int
	era     int64
}

// restore drops all records after the first length ones and begins the next era.
func (s *fakeStore) restore(length int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.records = slices.Clone(s.records[:length])
	s.era++
}

func (s *fakeStore) put(key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := platform.KeyedRecord{Offset: int64(len(s.records)), Key: key}
	if value != "" {
		r.Value = []byte(value)
	}
	s.records = append(s.records, r)
}

func (s *fakeStore) set(change func(*fakeStore)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s)
}

func (s *fakeStore) Newest(context.Context, string) (platform.KeyedPage, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	if s.down {
		return platform.KeyedPage{}, platform.ErrBusy
	}
	seen := s.records[:len(s.records)-s.lag]
	newest := map[string]platform.KeyedRecord{}
	for _, r := range seen {
		newest[r.Key] = r
	}
	page := platform.KeyedPage{NextOffset: int64(len(seen)), Era: s.era}
	for _, r := range newest {
		if r.Value != nil {
			page.Records = append(page.Records, r)
		}
	}
	return page, nil
}

func (s *fakeStore) Since(_ context.Context, _ string, from int64, _ time.Duration) (platform.KeyedPage, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	if s.down {
		return platform.KeyedPage{}, platform.ErrBusy
	}
	length := int64(len(s.records))
	if from < s.kept || from > length && s.era > 0 {
		return platform.KeyedPage{}, merry.Wrap(platform.ErrTrimmed)
	}
	return platform.KeyedPage{Records: slices.Clone(s.records[min(from, length):]), NextOffset: length, Era: s.era}, nil
}

func (s *fakeStore) Put(context.Context, string, string, []byte) error { return nil }

// fakePeers calls the Feeds of other daemons directly.
type fakePeers struct {
	hosts      []string // by rank
	feeds      map[string]*Feed
	sameDomain []string       // hosts in the failure domain of the daemon that reads
	mu         sync.Mutex     // guards what follows, and feeds
	calls      map[string]int // by host
	bytes      map[string]int // of packed records in the answers, by host
}

func (p *fakePeers) feed(host string) *Feed {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.feeds[host]
}

// setFeed adds a daemon, or removes it if its Feed is nil.
func (p *fakePeers) setFeed(host string, feed *Feed) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.feeds[host] = feed
}

func (p *fakePeers) Members() []membership.Member { return p.Rank("", len(p.hosts)) }

func (p *fakePeers) Rank(_ string, n int) []membership.Member {
	var list []membership.Member
	for _, h := range p.hosts[:min(n, len(p.hosts))] {
		list = append(list, membership.Member{Identity: membership.Identity{Host: h, Address: h}, State: membership.Live})
	}
	return list
}

func (p *fakePeers) SameDomain(host string) bool {
	if len(p.sameDomain) == len(p.hosts) {
		return true // avoids the search in large groups
	}
	return slices.Contains(p.sameDomain, host)
}

func (p *fakePeers) Call(_ context.Context, address, _ string, args, reply any) error {
	s := p.feed(address)
	if s == nil {
		return merry.New("no such daemon")
	}
	answer := reply.(*SinceReply)
	err := s.RPC().Since(args.(*SinceRequest), answer)
	if err != nil {
		err = rpc.ServerError(err.Error()) // as in a call between daemons
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.calls != nil {
		p.calls[address]++
		p.bytes[address] += len(answer.Packed)
	}
	return err
}
