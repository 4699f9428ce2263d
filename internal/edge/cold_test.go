package edge

import (
	"testing"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/core/fleet"
)

// TestColdTimeCountsFromTheArrivalOfItsEntry guards against a server that gets more than a cold one
// may while it is still cold, because its entry was written long after the read that returned it
// began.
func TestColdTimeCountsFromTheArrivalOfItsEntry(t *testing.T) {
	const left, waited = time.Second, 700 * time.Millisecond
	readBegan := time.Unix(1_800_000_000, 0)
	entry := &fleet.Upstream{Incarnation: fleet.Incarnation{Name: "s1"}, ID: "s1", Service: "shop", Address: "127.0.0.1:1", Slots: 1, Heartbeat: 1, ColdFor: left}
	warm := &fleet.Upstream{Incarnation: fleet.Incarnation{Name: "s2"}, ID: "s2", Service: "shop", Address: "127.0.0.1:2", Slots: 1, Heartbeat: 1}
	changes := []fleet.Change{{Name: "s1", Upstream: entry}, {Name: "s2", Upstream: warm}, {Name: "s3"}}
	countColdFromArrival(changes, waited)
	list := fleet.New(fleet.Options{})
	list.Apply(changes, readBegan)
	for id, want := range map[string]time.Time{"s1": readBegan.Add(waited + left), "s2": {}} {
		u, known := list.Snapshot().Get(id)
		if !known || !u.ColdUntil.Equal(want) {
			t.Errorf("%s is cold until %s, want %s", id, u.ColdUntil, want)
		}
	}
}
