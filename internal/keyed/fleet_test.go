package keyed

import (
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/buckthorndock/buckthorndock/internal/core/membership"
	"github.com/buckthorndock/buckthorndock/internal/platform"
)

// fleet is a group of daemons that all run, in virtual time, and its counts of calls and bytes.
type fleet struct {
	within  time.Duration
	store   *fakeStore
	list    []membership.Member
	feeds   map[string]*Feed
	domains map[string]int

	mu     sync.Mutex
	mute   map[string]bool
	counts fleetCounts
}

type fleetCounts struct {
	storeReads  int
	calls       int // of daemons by daemons
	packedBytes int // of records in their answers
}

const (
	fleetDomains = 5
	peerLatency  = time.Millisecond
)

// runFleet runs n daemons for a time. The first silent of them, in the order of readers, say nothing
// after that, for the same time again. A change is written each second.
func runFleet(t *testing.T, n, silent int, lasts time.Duration) (calm, troubled fleetCounts) {
	f := &fleet{within: 5 * time.Second, store: &fakeStore{}, feeds: map[string]*Feed{}, domains: map[string]int{}, mute: map[string]bool{}}
	for i := range n {
		h := fmt.Sprintf("h%03d", i)
		f.list = append(f.list, membership.Member{Identity: membership.Identity{Host: h, Address: h}, State: membership.Live})
		f.domains[h] = i % fleetDomains
	}
	f.store.put("a", "0")
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	for _, m := range f.list {
		f.feeds[m.Host] = NewFeed(m.Host, &fleetPeers{f, m.Host})
		follower := New(f.options(f.feeds[m.Host]))
		wg.Go(func() { _ = follower.Run(ctx) })
	}
	time.Sleep(2 * f.within)
	calm = f.count(lasts)
	f.mu.Lock()
	for _, m := range f.list[:silent] {
		f.mute[m.Host] = true
	}
	f.mu.Unlock()
	troubled = f.count(lasts)
	cancel()
	wg.Wait()
	time.Sleep(maxHold)
	return calm, troubled
}

func (f *fleet) options(feed *Feed) Options {
	log := logrus.New()
	log.SetOutput(io.Discard)
	part := func(fraction float64) time.Duration { return time.Duration(fraction * float64(f.within)) }
	return Options{
		Store: (*fleetStore)(f), Stream: "s", ReadInterval: part(0.15), LongPoll: part(0.25), Timeout: 600 * time.Millisecond,
		Within: f.within, PeerTimeout: part(0.25), PeerHold: part(0.3), PeerReadInterval: 100 * time.Millisecond,
		RewriteTime: 10 * time.Second, DoubtTime: 10 * time.Second, Feed: feed, Apply: func(Batch) {}, Log: logrus.NewEntry(log),
	}
}

// count writes a change each second and returns the counts of a time.
func (f *fleet) count(lasts time.Duration) fleetCounts {
	f.mu.Lock()
	f.counts = fleetCounts{}
	f.mu.Unlock()
	for i := range int(lasts / time.Second) {
		f.store.put("a", fmt.Sprintf("%s %d", "change", i))
		time.Sleep(time.Second)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.counts
}

// fleetPeers is how one daemon sees the others.
type fleetPeers struct {
	fleet *fleet
	self  string
}

func (p *fleetPeers) Rank(_ string, n int) []membership.Member {
	return p.fleet.list[:min(n, len(p.fleet.list))]
}

func (p *fleetPeers) Members() []membership.Member { return p.fleet.list }

func (p *fleetPeers) SameDomain(host string) bool {
	return p.fleet.domains[host] == p.fleet.domains[p.self]
}

func (p *fleetPeers) Call(ctx context.Context, address, _ string, args, reply any) error {
	f := p.fleet
	f.mu.Lock()
	f.counts.calls++
	mute := f.mute[address] || f.mute[p.self]
	f.mu.Unlock()
	if mute {
		<-ctx.Done()
		return ctx.Err()
	}
	time.Sleep(peerLatency)
	answer := reply.(*SinceReply)
	err := f.feeds[address].RPC().Since(args.(*SinceRequest), answer)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.counts.packedBytes += len(answer.Packed)
	return err
}

// fleetStore is the store, which answers all daemons that are not mute.
type fleetStore fleet

func (s *fleetStore) Newest(ctx context.Context, stream string) (platform.KeyedPage, error) {
	s.countRead()
	time.Sleep(storeLatency)
	return s.store.Newest(ctx, stream)
}

func (s *fleetStore) Since(ctx context.Context, stream string, from int64, wait time.Duration) (platform.KeyedPage, error) {
	s.countRead()
	until := time.Now().Add(wait)
	for {
		page, err := s.store.Since(ctx, stream, from, 0)
		if err != nil || len(page.Records) > 0 || !time.Now().Before(until) {
			return page, err
		}
		if !sleepUntil(ctx, storePoll) {
			return page, ctx.Err()
		}
	}
}

func (s *fleetStore) Put(context.Context, string, string, []byte) error { return nil }

func (s *fleetStore) countRead() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.storeReads++
}

// TestFleetReadsTheStoreThroughFewDaemons guards against reads of the store, and calls, that grow with the
// fleet when the first readers fall silent: 985 daemons, and the first two readers say nothing.
func TestFleetReadsTheStoreThroughFewDaemons(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const daemons, silent, lasts = 985, 2, 20 * time.Second
		calm, troubled := runFleet(t, daemons, silent, lasts)
		t.Logf("calm: %d reads of the store, %d calls, %d bytes; troubled: %d, %d, %d",
			calm.storeReads, calm.calls, calm.packedBytes, troubled.storeReads, troubled.calls, troubled.packedBytes)
		if calm.storeReads > 2*int(lasts/time.Second) {
			t.Errorf("%d reads of the store by a calm fleet in %v", calm.storeReads, lasts)
		}
		if troubled.storeReads > daemons/5 {
			t.Errorf("%d reads of the store beside %d silent readers in %v", troubled.storeReads, silent, lasts)
		}
	})
}
