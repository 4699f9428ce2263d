package schedule

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/core/booking"
)

// TestDecodesAreMovedByTheirDaemons has a long prompt of one daemon prefilled on an engine that
// decodes requests of others: each of these is asked to move its own, and only those.
func TestDecodesAreMovedByTheirDaemons(t *testing.T) {
	g := newGroup("k", "a", "b")
	g.setEngines(16) // slots for all decodes on one engine
	var mu sync.Mutex
	moved := map[string][]string{}
	for host, s := range g.services {
		s.opts.Move = func(attempts []string) int {
			mu.Lock()
			defer mu.Unlock()
			moved[host] = append(moved[host], attempts...)
			return len(attempts)
		}
	}
	var on booking.Part
	for _, host := range g.hosts {
		on = g.place(t, host, "of-"+host).Parts[0]
		g.services[host].FirstEvent("of-" + host)
		g.services[host].flush(t.Context(), false)
	}
	keeper := g.services["k"]
	keeper.mu.Lock()
	for i := range len(g.hosts) + 2 { // attempts move to an engine with more decodes
		a := booking.Request{ID: fmt.Sprint("x", i), Host: "x", Service: "llm", Gap: 200 * time.Millisecond, Left: time.Minute}
		keeper.book.Record(a, booking.Plan{Parts: []booking.Part{otherThan(on)}}, time.Now())
		keeper.book.RecordFirstEvent(a.ID)
	}
	long := booking.Request{ID: "long", Host: "a", Service: "llm", Prompt: 90_000, Left: time.Minute}
	keeper.book.Record(long, booking.Plan{Parts: []booking.Part{on}, Read: time.Second, First: time.Second}, time.Now())
	keeper.mu.Unlock()

	keeper.displace("long")
	want := []string{"a", "b", "k"}
	asked := func() []string {
		mu.Lock()
		defer mu.Unlock()
		var hosts []string
		for host, attempts := range moved {
			if len(attempts) != 1 || attempts[0] != "of-"+host {
				t.Errorf("%s was asked to move %v", host, attempts)
			}
			hosts = append(hosts, host)
		}
		slices.Sort(hosts)
		return hosts
	}
	for len(asked()) < len(want) { // the test's timeout bounds it
		time.Sleep(time.Millisecond)
	}
	if got := asked(); !slices.Equal(got, want) {
		t.Errorf("asked %v", got)
	}
}

func otherThan(p booking.Part) booking.Part {
	if p.Upstream == "e0" {
		return booking.Part{Upstream: "e1"}
	}
	return booking.Part{Upstream: "e0"}
}
