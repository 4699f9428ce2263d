package fleet

import (
	"testing"
	"time"
)

// ofService returns an entry with another service.
func ofService(service string, c Change) Change {
	u := *c.Upstream
	u.Service = service
	return Change{Name: c.Name, Upstream: &u}
}

// TestEntryOfAnUnusedServiceDisplacesNothing guards against live servers that are dropped because another
// program has written an entry with their address and a later start (review/5).
func TestEntryOfAnUnusedServiceDisplacesNothing(t *testing.T) {
	l := newList()
	l.Apply([]Change{atAddress("a:1", ofService("llm", entryWithStart("a", 10, 1)))}, start)
	foreign := atAddress("a:1", ofService("other", entryWithStart("x", 20, 1)))
	l.SetServices([]string{"llm"})
	l.Apply([]Change{foreign}, start.Add(time.Second))
	if got := l.listedIDs(); got != "a@10" {
		t.Errorf("beside an entry of an unused service: %q", got)
	}
	if rivals := get(t, l, "a@10").Rivals; len(rivals) != 0 {
		t.Errorf("it has rivals: %q", rivals)
	}
	l.SetServices([]string{"llm", "other"})
	if got := l.listedIDs(); got != "a@10 x@20" {
		t.Errorf("once its service is used: %q", got)
	}
}

// TestUnusedEntryAloneIsKept covers an upstream whose service leaves the settings while it serves requests.
func TestUnusedEntryAloneIsKept(t *testing.T) {
	l := newList()
	l.Apply([]Change{ofService("llm", entryWithStart("a", 10, 1))}, start)
	if !l.SetServices(nil) || l.SetServices(nil) {
		t.Error("the change of services is told not at all, or twice")
	}
	if got := l.listedIDs(); got != "a@10" {
		t.Errorf("listed %q", got)
	}
}

// TestAnswerOfTheDisplacedBringsItBack guards against a live server that stays displaced by an entry of another
// writer although it has answered itself (review/5), also while that entry is written again.
func TestAnswerOfTheDisplacedBringsItBack(t *testing.T) {
	foreign := func(heartbeat int64) Change { return atAddress("a:1", entryWithStart("x", 20, heartbeat)) }
	l := newList()
	l.Apply([]Change{atAddress("a:1", entryWithStart("a", 10, 1))}, start)
	u := get(t, l, "a@10")
	l.Apply([]Change{foreign(1)}, start.Add(time.Second))
	if got := l.listedIDs(); got != "x@20" {
		t.Fatalf("before its answer: %q", got)
	}
	x := get(t, l, "x@20")
	if !l.RecordAlive(u, x) || l.RecordAlive(u, x) {
		t.Error("its answer is recorded not at all, or twice")
	}
	for n := int64(2); n < 5; n++ {
		if got := l.listedIDs(); got != "a@10" {
			t.Errorf("after %d entries: %q", n-1, got)
		}
		l.Apply([]Change{foreign(n)}, start.Add(time.Duration(n)*time.Second))
	}
	// Later the other server does run there.
	if !l.RecordEnd(get(t, l, "a@10"), start.Add(10*time.Second)) {
		t.Error("the end of the first is not recorded")
	}
	if got := l.listedIDs(); got != "x@20" {
		t.Errorf("after the end of the first: %q", got)
	}
}
