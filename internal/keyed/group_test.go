package keyed

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"
)

// daemonGroup is a group of daemons that follow one stream, each from a store of its own.
type daemonGroup struct {
	peers     *fakePeers
	stores    map[string]*fakeStore
	followers map[string]*Follower
	tables    map[string]*table
}

// newGroup returns a group of n daemons. Every fifth of them is in the failure domain of each
// daemon that reads.
func newGroup(t *testing.T, n int) *daemonGroup {
	f := &daemonGroup{
		peers:     &fakePeers{feeds: map[string]*Feed{}},
		stores:    map[string]*fakeStore{},
		followers: map[string]*Follower{},
		tables:    map[string]*table{},
	}
	for i := range n {
		h := fmt.Sprintf("h%03d", i)
		f.peers.hosts = append(f.peers.hosts, h)
		if i%5 == 0 {
			f.peers.sameDomain = append(f.peers.sameDomain, h)
		}
	}
	for _, h := range f.peers.hosts {
		f.stores[h] = &fakeStore{}
		f.stores[h].put("a", "1")
		f.peers.setFeed(h, NewFeed(h, f.peers))
		f.followers[h], f.tables[h] = newFollower(f.stores[h], f.peers.feed(h))
		mustRead(t, f.followers[h])
	}
	return f
}

// makeStale makes the data of all daemons an hour old.
func (f *daemonGroup) makeStale() {
	for _, x := range f.followers {
		x.state.at = x.state.at.Add(-time.Hour)
	}
}

// setDown sets which stores are down and resets their read counts.
func (f *daemonGroup) setDown(down func(host string) bool) {
	for h, s := range f.stores {
		s.set(func(s *fakeStore) { s.down, s.reads = down(h), 0 })
	}
}

// round lets each daemon try one read and returns the number of reads of the store.
func (f *daemonGroup) round() (reads int) {
	for _, h := range f.peers.hosts {
		_ = f.followers[h].read(context.Background())
	}
	for _, s := range f.stores {
		reads += s.reads
	}
	return reads
}

// TestFewDaemonsTryAnUnavailableStore covers a store that is down for all of many daemons. Each
// try costs the store something, and one successful read is enough for all daemons.
func TestFewDaemonsTryAnUnavailableStore(t *testing.T) {
	synctest.Test(t, testFewDaemonsTryAnUnavailableStore)
}

func testFewDaemonsTryAnUnavailableStore(t *testing.T) {
	const daemons, rounds = 300, 10
	f := newGroup(t, daemons)
	f.makeStale()
	f.setDown(func(string) bool { return true })
	reads := 0
	for range rounds {
		f.setDown(func(string) bool { return true })
		reads += f.round()
	}
	// Five readers, and one in 60 of the others, as the failure domain has 60 daemons.
	if limit := rounds * daemons / 20; reads > limit {
		t.Errorf("%d reads of the store in %d rounds, want at most %d", reads, rounds, limit)
	}
}

// TestDaemonReadingFromPeersLogsStoreLoss checks that a daemon that does not read the store logs
// store_lost and store_regained.
func TestDaemonReadingFromPeersLogsStoreLoss(t *testing.T) {
	synctest.Test(t, testDaemonReadingFromPeersLogsStoreLoss)
}

func testDaemonReadingFromPeersLogsStoreLoss(t *testing.T) {
	const daemons = 300
	f := newGroup(t, daemons)
	last := f.peers.hosts[daemons-1]
	logger, hook := test.NewNullLogger()
	f.followers[last].log = logrus.NewEntry(logger)
	f.makeStale()
	f.setDown(func(string) bool { return true })
	for range 3 {
		_ = f.followers[last].read(t.Context())
	}
	f.setDown(func(string) bool { return false })
	mustRead(t, f.followers[f.peers.hosts[0]])
	mustRead(t, f.followers[last])
	var lines []string
	for _, e := range hook.AllEntries() {
		lines = append(lines, e.Message)
	}
	if !slices.Equal(lines, []string{"store_lost", "store_regained"}) {
		t.Errorf("got %v", lines)
	}
}

// TestFewServedDaemonsSupplyAll covers a store that refuses all its usual readers and a third
// of the other daemons: what a few of the rest read reaches all daemons within eight tries, half
// a second apart.
func TestFewServedDaemonsSupplyAll(t *testing.T) { synctest.Test(t, testFewServedDaemons) }

func testFewServedDaemons(t *testing.T) {
	const daemons, rounds = 300, 8
	f := newGroup(t, daemons)
	f.makeStale()
	served := func(h string) bool { return h > "h030" && h[3] != '1' && h[3] != '4' && h[3] != '7' }
	for h, s := range f.stores {
		s.put("a", "2")
		s.set(func(s *fakeStore) { s.down, s.reads = !served(h), 0 })
	}
	reads := 0
	for range rounds {
		reads += f.round()
		for _, s := range f.stores {
			s.set(func(s *fakeStore) { s.reads = 0 })
		}
		time.Sleep(tryInterval)
	}
	missing := 0
	for _, tb := range f.tables {
		if tb.get("a") != "2" {
			missing++
		}
	}
	if missing > 0 {
		t.Errorf("%d daemons do not have the new value after %d tries", missing, rounds)
	}
	if limit := rounds * daemons / 20; reads > limit {
		t.Errorf("%d reads of the store, want at most %d", reads, limit)
	}
}

// tryInterval is the time between two tries of a daemon without fresh data.
const tryInterval = 500 * time.Millisecond

// TestDaemonsTakeTurnsToRead guards against tries at which no daemon of a failure domain reads the
// store, or many do: by chance, none did at seven tries in a row.
func TestDaemonsTakeTurnsToRead(t *testing.T) { synctest.Test(t, testDaemonsTakeTurnsToRead) }

func testDaemonsTakeTurnsToRead(t *testing.T) {
	f := newGroup(t, 300)
	seen := map[string]bool{}
	for try := range 60 { // as many as the domain has daemons
		var turns []string
		for _, h := range f.peers.sameDomain {
			if f.peers.feed(h).isTurnToRead(try) {
				turns = append(turns, h)
			}
		}
		if len(turns) != 1 || seen[turns[0]] {
			t.Fatalf("at try %d it is the turn of %v", try, turns)
		}
		seen[turns[0]] = true
	}
}
