package keyed

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/platform"
)

// outageWorld returns a reader, another daemon that reads from it, and the last batch of that.
func outageWorld() (store *fakeStore, reader, other *Follower, last *Batch) {
	peers := &fakePeers{hosts: []string{"t1", "t2", "t3", "x"}, feeds: map[string]*Feed{}, sameDomain: []string{"t1", "x"}}
	store, last = &fakeStore{}, &Batch{}
	store.put("a", "1")
	peers.setFeed("t1", NewFeed("t1", peers))
	peers.setFeed("x", NewFeed("x", peers))
	reader, _ = newFollower(store, peers.feed("t1"))
	other, _ = newFollower(&fakeStore{down: true}, peers.feed("x"))
	other.opts.Apply = func(b Batch) { *last = b }
	return store, reader, other, last
}

// TestSilentSourcesAreNoOutage guards against work for servers that have left: a daemon took the time
// without an answer of other daemons for an outage of the store, during which entries may lapse.
func TestSilentSourcesAreNoOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, reader, other, last := outageWorld()
		mustRead(t, reader)
		mustRead(t, other)
		time.Sleep(time.Minute) // nobody reads
		mustRead(t, reader)
		mustRead(t, other)
		if !last.OutageKnown || !last.OutageAt.IsZero() {
			t.Errorf("outage at %v, known: %v", last.OutageAt, last.OutageKnown)
		}
	})
}

// TestOutageIsKnownToDaemonsThatReadFromPeers checks that the end of an outage reaches daemons that do
// not read the store.
func TestOutageIsKnownToDaemonsThatReadFromPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, reader, other, last := outageWorld()
		mustRead(t, reader)
		mustRead(t, other)
		store.set(func(s *fakeStore) { s.down = true })
		if err := reader.readStore(t.Context()); err == nil {
			t.Fatal("the store answered")
		}
		failed := time.Now()
		time.Sleep(time.Second)
		store.set(func(s *fakeStore) { s.down = false })
		mustRead(t, reader)
		mustRead(t, other)
		if !last.OutageKnown || !last.OutageAt.Equal(failed) {
			t.Errorf("outage at %v, known: %v; the store failed until %v", last.OutageAt, last.OutageKnown, failed)
		}
	})
}

// TestDaemonThatWasCutOffKnowsOfItsOutage guards against a failure domain that was cut off and drops its
// live servers, whose entries have lapsed, when it is back: daemons outside have read the store all the time.
func TestDaemonThatWasCutOffKnowsOfItsOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, reader, other, last := outageWorld()
		mustRead(t, reader)
		mustRead(t, other)
		if err := other.readStore(t.Context()); err == nil {
			t.Fatal("the store answered")
		}
		failed := time.Now()
		time.Sleep(5 * time.Second)
		mustRead(t, reader)
		mustRead(t, other)
		if last.OutageAt.Before(failed) {
			t.Errorf("outage at %v, the store failed at %v", last.OutageAt, failed)
		}
	})
}

// TestCopyOfAnEarlierReleaseTellsNothingOfOutages checks that the age of such a copy decides as before.
func TestCopyOfAnEarlierReleaseTellsNothingOfOutages(t *testing.T) {
	_, _, other, last := outageWorld()
	began := time.Now()
	records := []platform.KeyedRecord{{Key: "a", Value: []byte("1")}}
	other.applyReply("t1", SinceReply{Version: versionOfEras, Whole: true, Next: 1, Era: 1}, records, began, time.Minute)
	if last.OutageKnown {
		t.Error("an outage, or that there was none, counts as known")
	}
}
