package schedule

import (
	"fmt"
	"testing"
	"time"
)

// TestDaemonsWithoutWorkTellTheKeeperNothing guards against messages to the one keeper that
// grow with the daemons and not with their work.
func TestDaemonsWithoutWorkTellTheKeeperNothing(t *testing.T) {
	for _, daemons := range []int{10, 20, 40} {
		var hosts []string
		for i := range daemons {
			hosts = append(hosts, fmt.Sprintf("a-%02d", i))
		}
		g := newGroup(hosts...)
		const busy = 5
		for _, host := range hosts[1 : 1+busy] {
			g.place(t, host, host+"/1")
			g.by[host].flush(t.Context(), false)
		}
		clear(g.calls)
		for _, host := range hosts {
			g.by[host].flush(t.Context(), true)
		}
		if got := g.calls[ServiceName+".Notify"]; got != busy {
			t.Errorf("%d daemons, %d with work: %d messages", daemons, busy, got)
		}
	}
}

// TestDaemonThatHadNoWorkForAWhileIsNotAskedForAll: the keeper keeps a daemon's life while it
// has nothing to tell.
func TestDaemonThatHadNoWorkForAWhileIsNotAskedForAll(t *testing.T) {
	g := newGroup("k", "a")
	g.place(t, "a", "1")
	g.by["a"].flush(t.Context(), true) // tells all, once
	g.by["a"].End("1")
	g.by["a"].flush(t.Context(), false)
	g.by["k"].forgetSilent(time.Now().Add(2 * forgetAfter))
	clear(g.calls)
	g.place(t, "a", "2")
	g.by["a"].flush(t.Context(), true)
	if n := g.calls[ServiceName+".Restore"]; n > 0 {
		t.Errorf("it has told all %d times", n)
	}
	g.by["k"].forgetSilent(time.Now().Add(2 * lifeKept))
	if n := len(g.by["k"].heard); n > 0 {
		t.Errorf("the keeper keeps %d lives for good", n)
	}
}

// TestRequestsDoNotPayForASilentKeeper guards against a keeper that is gone for long, and that
// each daemon tries again and again with a request of its own.
func TestRequestsDoNotPayForASilentKeeper(t *testing.T) {
	g := newGroup("k", "next", "a")
	a := g.by["a"]
	g.place(t, "a", "1")
	g.setCut("k", true)
	g.place(t, "a", "2")                           // finds out
	a.down.tracker.ClearFailures("k", time.Time{}) // as after a while
	g.place(t, "a", "3")
	if a.keeper != "next" {
		t.Fatalf("a request asked %q", a.keeper)
	}
	g.setCut("k", false)
	g.place(t, "a", "4")
	if a.keeper != "next" {
		t.Fatalf("a request asked %q before it was known to answer", a.keeper)
	}
	a.askSilent(t.Context())
	for end := time.Now().Add(10 * time.Second); a.isSilent("k") && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	g.place(t, "a", "5")
	if a.keeper != "k" {
		t.Errorf("it asks %q after the first answers again", a.keeper)
	}
}

func (s *Service) isSilent(host string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down.hosts[host]
}
