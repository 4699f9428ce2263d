package keyed

import (
	"context"
	"errors"
	"io"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/buckthorndock/buckthorndock/internal/core/avoid"
	"github.com/buckthorndock/buckthorndock/internal/platform"
)

// table holds the values that a Follower has passed to Apply.
type table struct {
	mu     sync.Mutex
	values map[string]string
}

func (t *table) apply(b Batch) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if b.Whole {
		t.values = map[string]string{}
	}
	for _, r := range b.Records {
		if r.Value == nil {
			delete(t.values, r.Key)
			continue
		}
		t.values[r.Key] = string(r.Value)
	}
}

func (t *table) get(key string) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.values[key]
}

func newFollower(store platform.Keyed, feed *Feed) (*Follower, *table) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	tb := &table{values: map[string]string{}}
	return New(Options{
		Store: store, Stream: "s", ReadInterval: time.Millisecond, Timeout: time.Second, Within: 1500 * time.Millisecond,
		Feed: feed, PeerTimeout: time.Second, Apply: tb.apply, Log: logrus.NewEntry(log),
	}), tb
}

func mustRead(t *testing.T, f *Follower) {
	t.Helper()
	if err := f.read(t.Context()); err != nil {
		t.Fatal(err)
	}
}

func TestFollowsChangesAndRemovals(t *testing.T) { synctest.Test(t, testFollowsChangesAndRemovals) }

func testFollowsChangesAndRemovals(t *testing.T) {
	store := &fakeStore{}
	store.put("a", "1")
	f, tb := newFollower(store, nil)
	mustRead(t, f)
	store.put("a", "2")
	store.put("b", "1")
	store.put("b", "")
	mustRead(t, f)
	if tb.get("a") != "2" || tb.get("b") != "" {
		t.Errorf("got %v", tb.values)
	}
}

func TestTrimmedStreamIsReadAgain(t *testing.T) { synctest.Test(t, testTrimmedStreamIsReadAgain) }

func testTrimmedStreamIsReadAgain(t *testing.T) {
	store := &fakeStore{}
	store.put("a", "1")
	store.put("gone", "1")
	f, tb := newFollower(store, nil)
	mustRead(t, f)
	store.put("gone", "")
	store.put("a", "2")
	store.set(func(s *fakeStore) { s.kept = 4 })
	if err := f.read(t.Context()); !errors.Is(err, platform.ErrTrimmed) {
		t.Fatalf("got %v", err)
	}
	f.requestFullRead()
	mustRead(t, f)
	if tb.get("a") != "2" || tb.get("gone") != "" {
		t.Errorf("got %v", tb.values)
	}
}

func TestOldCopyIsRefused(t *testing.T) { synctest.Test(t, testOldCopyIsRefused) }

func testOldCopyIsRefused(t *testing.T) {
	store := &fakeStore{}
	store.put("a", "1")
	store.put("a", "2")
	f, tb := newFollower(store, nil)
	mustRead(t, f)
	f.requestFullRead()
	store.set(func(s *fakeStore) { s.lag = 1 })
	if err := f.read(t.Context()); err == nil {
		t.Error("an old copy was applied")
	}
	if tb.get("a") != "2" {
		t.Errorf("got %v", tb.values)
	}
}

func TestDaemonsReadFromReadersInOrder(t *testing.T) {
	synctest.Test(t, testDaemonsReadFromReadersInOrder)
}

func testDaemonsReadFromReadersInOrder(t *testing.T) {
	peers := &fakePeers{hosts: []string{"t1", "t2", "x"}, feeds: map[string]*Feed{}}
	stores, followers, tables := map[string]*fakeStore{}, map[string]*Follower{}, map[string]*table{}
	for _, h := range peers.hosts {
		stores[h] = &fakeStore{}
		peers.setFeed(h, NewFeed(h, peers))
		followers[h], tables[h] = newFollower(stores[h], peers.feed(h))
		for _, value := range []string{"1", "2"} {
			stores[h].put("a", value)
		}
	}
	mustRead(t, followers["t1"])
	mustRead(t, followers["x"])
	if tables["x"].get("a") != "2" || stores["x"].reads != 0 {
		t.Errorf("got %v after %d reads of the store", tables["x"].values, stores["x"].reads)
	}
	mustRead(t, followers["t2"])
	if stores["t2"].reads != 0 {
		t.Error("the second reader reads the store as well as the first")
	}
	// The first is gone: the second reads the store, the others read from it.
	first := peers.feed("t1")
	peers.setFeed("t1", nil)
	mustRead(t, followers["t2"])
	mustRead(t, followers["x"])
	if stores["t2"].reads != 1 || stores["x"].reads != 0 {
		t.Errorf("the second reader has read the store %d times, another daemon %d", stores["t2"].reads, stores["x"].reads)
	}
	peers.setFeed("t1", first)
	// The store refuses t2.
	stores["t2"].set(func(s *fakeStore) { s.down = true })
	mustRead(t, followers["t2"])
	if tables["t2"].get("a") != "2" {
		t.Errorf("got %v", tables["t2"].values)
	}
	// A removal reaches daemons that read from peers, once t1 is no longer avoided.
	peers.feed("x").unresponsive = avoid.New(avoid.Options{})
	stores["t1"].put("a", "")
	mustRead(t, followers["t1"])
	mustRead(t, followers["x"])
	if tables["x"].get("a") != "" {
		t.Errorf("got %v", tables["x"].values)
	}
	// No peer with data answers: the store is read.
	peers.setFeed("t1", nil)
	peers.setFeed("t2", nil)
	mustRead(t, followers["x"])
	if stores["x"].reads != 1 {
		t.Errorf("%d reads of the store", stores["x"].reads)
	}
}

func TestRestartReadCancelsOpenRead(t *testing.T) {
	store := &hangingStore{entered: make(chan struct{}, 1)}
	f, _ := newFollower(store, nil)
	result := make(chan error)
	go func() { result <- f.read(t.Context()) }()
	<-store.entered
	f.RestartRead()
	if err := <-result; err != errRestarted {
		t.Errorf("got %v", err)
	}
}

// TestRestartReadLeavesRequestsToPeers guards against all daemons leaving their sources at once when the
// store is back.
func TestRestartReadLeavesRequestsToPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newBoundWorld(boundCase{within: 3 * time.Second, hosts: 59, position: 58, anchor: true})
		f := New(w.options(&boundStore{w: w, of: storeName}, NewFeed(w.self(), w), w.apply))
		w.behavior[w.firstSources(1)[0].Host] = mute
		result := make(chan error, 1)
		ctx, cancel := context.WithCancel(t.Context())
		go func() {
			result <- f.hedge(ctx, []step{{peers: peersOnly(w.firstSources(1)...), due: time.Now(), hold: time.Second}})
		}()
		time.Sleep(10 * time.Millisecond)
		f.RestartRead()
		time.Sleep(10 * time.Millisecond)
		select {
		case err := <-result:
			t.Errorf("the read ended: %v", err)
		default:
		}
		cancel()
		<-result
	})
}

type hangingStore struct{ entered chan struct{} }

func (s *hangingStore) Newest(ctx context.Context, _ string) (platform.KeyedPage, error) {
	s.entered <- struct{}{}
	<-ctx.Done()
	return platform.KeyedPage{}, ctx.Err()
}

func (s *hangingStore) Since(ctx context.Context, stream string, _ int64, _ time.Duration) (platform.KeyedPage, error) {
	return s.Newest(ctx, stream)
}

func (s *hangingStore) Put(context.Context, string, string, []byte) error { return nil }

func TestPackedRecordsRoundTripAndAreCached(t *testing.T) {
	c := streamState{next: 3, recentFrom: 3, records: map[string]platform.KeyedRecord{
		"a": {Offset: 1, Key: "a", Value: []byte("1")}, "b": {Offset: 2, Key: "b"},
	}}
	var p replyCache
	first, err := p.get(&c, 1)
	if err != nil {
		t.Fatal(err)
	}
	records, err := unpack(first)
	if err != nil || len(records) != 2 {
		t.Fatalf("got %v, %v", records, err)
	}
	if again, _ := p.get(&c, 1); &again[0] != &first[0] {
		t.Error("the same answer was packed twice")
	}
	if none, err := p.get(&c, 3); err != nil || none != nil {
		t.Errorf("got %v, %v", none, err)
	}
	if _, err := unpack([]byte("nonsense")); err == nil {
		t.Error("data that is not packed records was unpacked")
	}
}

// TestPeersGetTheRecordBeforeALateOne has a key whose newest record was written late. A
// daemon that reads from a peer must get the record before it too, as one that reads the store.
func TestPeersGetTheRecordBeforeALateOne(t *testing.T) {
	synctest.Test(t, testPeersGetTheRecordBeforeALateOne)
}

func testPeersGetTheRecordBeforeALateOne(t *testing.T) {
	peers := &fakePeers{hosts: []string{"t1", "x"}, feeds: map[string]*Feed{}}
	store := &fakeStore{}
	var seen []string
	followers := map[string]*Follower{}
	for _, h := range peers.hosts {
		peers.setFeed(h, NewFeed(h, peers))
		followers[h], _ = newFollower(store, peers.feed(h))
	}
	followers["x"].opts.Apply = func(b Batch) {
		for _, r := range b.Records {
			seen = append(seen, string(r.Value))
		}
	}
	store.put("server", "heartbeat 1: ready")
	mustRead(t, followers["t1"])
	mustRead(t, followers["x"])
	store.put("server", "heartbeat 3: leaving")
	store.put("server", "heartbeat 2: ready")
	mustRead(t, followers["t1"])
	mustRead(t, followers["x"])
	if want := []string{"heartbeat 1: ready", "heartbeat 3: leaving", "heartbeat 2: ready"}; !slices.Equal(seen, want) {
		t.Errorf("the daemon that reads from a peer got %q", seen)
	}
}

func TestRecentRecordsAreBounded(t *testing.T) {
	c := streamState{next: -1, records: map[string]platform.KeyedRecord{}}
	c.replace(platform.KeyedPage{NextOffset: 0})
	for i := range int64(maxRecent + 10) {
		c.add(platform.KeyedPage{NextOffset: i + 1, Records: []platform.KeyedRecord{{Offset: i, Key: "k", Value: []byte("v")}}}, nil)
	}
	if n := len(c.recordsSince(15)); n != maxRecent-5 {
		t.Errorf("%d records since 15", n)
	}
	if n := len(c.recordsSince(3)); n != 1 {
		t.Errorf("%d records since 3, want only the newest of the key", n)
	}
}

// TestFullReadOfPeerDoesNotHideRemoval has a reader that read all keys right after one was
// removed, so that it has no record of the removal.
func TestFullReadOfPeerDoesNotHideRemoval(t *testing.T) {
	synctest.Test(t, testFullReadOfPeerDoesNotHideRemoval)
}

func testFullReadOfPeerDoesNotHideRemoval(t *testing.T) {
	peers := &fakePeers{hosts: []string{"t1", "x"}, feeds: map[string]*Feed{}}
	store := &fakeStore{}
	store.put("gone", "1")
	store.put("stays", "1")
	peers.setFeed("x", NewFeed("x", peers))
	x, table := newFollower(store, peers.feed("x"))
	mustRead(t, x)
	store.put("gone", "")
	peers.setFeed("t1", NewFeed("t1", peers))
	t1, _ := newFollower(store, peers.feed("t1"))
	mustRead(t, t1)
	mustRead(t, x)
	if table.get("gone") != "" || table.get("stays") != "1" {
		t.Errorf("got %v", table.values)
	}
}

// TestDaemonStartedInCutDomainAcceptsOldCopy covers a daemon that restarts while its failure
// domain is cut off from the store and the other domains: only one peer answers, whose copy is as
// old as the cut.
func TestDaemonStartedInCutDomainAcceptsOldCopy(t *testing.T) {
	synctest.Test(t, testDaemonStartedInCutDomainAcceptsOldCopy)
}

func testDaemonStartedInCutDomainAcceptsOldCopy(t *testing.T) {
	hosts := []string{"far1", "far2", "far3", "far4", "far5", "far6", "near", "new"}
	peers := &fakePeers{hosts: hosts, feeds: map[string]*Feed{}, sameDomain: []string{"near", "new"}}
	store := &fakeStore{}
	store.put("a", "1")
	peers.setFeed("near", NewFeed("near", peers))
	near, _ := newFollower(store, peers.feed("near"))
	mustRead(t, near)
	near.state.at = near.state.at.Add(-time.Hour)
	store.set(func(s *fakeStore) { s.down = true })
	fresh, table := newFollower(store, NewFeed("new", peers))
	mustRead(t, fresh)
	if table.get("a") != "1" {
		t.Fatalf("got %v", table.values)
	}
	if age := time.Since(fresh.state.at); age < time.Hour {
		t.Errorf("the old copy counts as %s old", age)
	}
	// A daemon that has data accepts only fresh copies.
	if err := fresh.read(t.Context()); err == nil {
		t.Error("an old copy counts as a read")
	}
}
