package keyed

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"
)

// fleetOf is a group of daemons that follow one stream, each with its own way to the store.
type fleetOf struct {
	peers     *fakePeers
	stores    map[string]*fakeStore
	followers map[string]*Follower
	tables    map[string]*table
}

// newFleet has a number of daemons, every fifth of them in the failure domain of all that
// read.
func newFleet(t *testing.T, n int) *fleetOf {
	f := &fleetOf{
		peers:     &fakePeers{spreads: map[string]*Feed{}},
		stores:    map[string]*fakeStore{},
		followers: map[string]*Follower{},
		tables:    map[string]*table{},
	}
	for i := range n {
		h := fmt.Sprintf("h%03d", i)
		f.peers.hosts = append(f.peers.hosts, h)
		if i%5 == 0 {
			f.peers.near = append(f.peers.near, h)
		}
	}
	for _, h := range f.peers.hosts {
		f.stores[h] = &fakeStore{}
		f.stores[h].put("a", "1")
		f.peers.spreads[h] = NewFeed(h, f.peers)
		f.followers[h], f.tables[h] = newFollower(f.stores[h], f.peers.spreads[h])
		mustRead(t, f.followers[h])
	}
	return f
}

// age makes all that the daemons know an hour old.
func (f *fleetOf) age() {
	for _, x := range f.followers {
		x.copied.at = x.copied.at.Add(-time.Hour)
	}
}

func (f *fleetOf) set(down func(host string) bool) {
	for h, s := range f.stores {
		s.set(func(s *fakeStore) { s.down, s.reads = down(h), 0 })
	}
}

// round has each daemon try one read, and returns the reads of the store.
func (f *fleetOf) round() (reads int) {
	for _, h := range f.peers.hosts {
		_ = f.followers[h].read(context.Background())
	}
	for _, s := range f.stores {
		reads += s.reads
	}
	return reads
}

// TestStoreAwayIsTriedByFew is the pattern of a store that is away for all of many daemons.
// Each try has a price at the store, and one that succeeds is enough for all.
func TestStoreAwayIsTriedByFew(t *testing.T) {
	const daemons, rounds = 300, 10
	f := newFleet(t, daemons)
	f.age()
	f.set(func(string) bool { return true })
	reads := 0
	for range rounds {
		f.set(func(string) bool { return true })
		reads += f.round()
	}
	// Five readers, and of the others one in 60, as many as are near.
	if most := rounds * daemons / 20; reads > most {
		t.Errorf("%d reads of the store in %d rounds, at most %d", reads, rounds, most)
	}
}

// TestDaemonThatReadsFromOthersTellsOfTheStoresLoss has one that does not read the store.
func TestDaemonThatReadsFromOthersTellsOfTheStoresLoss(t *testing.T) {
	const daemons = 300
	f := newFleet(t, daemons)
	last := f.peers.hosts[daemons-1]
	logger, hook := test.NewNullLogger()
	f.followers[last].log = logrus.NewEntry(logger)
	f.age()
	f.set(func(string) bool { return true })
	for range 3 {
		_ = f.followers[last].read(t.Context())
	}
	f.set(func(string) bool { return false })
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

// TestOneThatTheStoreServesIsEnough is the pattern of a store that turns away all that
// usually read it and a third of the others: what a few of the rest read spreads to all
// within a second and a half, of tries half a second apart.
func TestOneThatTheStoreServesIsEnough(t *testing.T) {
	const daemons, rounds = 300, 8
	f := newFleet(t, daemons)
	f.age()
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
	}
	missing := 0
	for _, tb := range f.tables {
		if tb.get("a") != "2" {
			missing++
		}
	}
	if missing > 0 {
		t.Errorf("%d daemons do not know it after %d tries", missing, rounds)
	}
	if most := rounds * daemons / 20; reads > most {
		t.Errorf("%d reads of the store, at most %d", reads, most)
	}
}
