package schedule

import (
	"fmt"
	"testing"
	"time"
)

// TestDaemonsWithoutWorkSendTheKeeperNothing guards against messages to the one keeper
// that grow with the number of daemons and not with their work.
func TestDaemonsWithoutWorkSendTheKeeperNothing(t *testing.T) {
	for _, daemons := range []int{10, 20, 40} {
		var hosts []string
		for i := range daemons {
			hosts = append(hosts, fmt.Sprintf("a-%02d", i))
		}
		g := newGroup(hosts...)
		const busy = 5
		for _, host := range hosts[1 : 1+busy] {
			g.place(t, host, host+"/1")
			g.services[host].flush(t.Context(), false)
		}
		clear(g.calls)
		for _, host := range hosts {
			g.services[host].flush(t.Context(), true)
		}
		if got := g.calls[ServiceName+".Notify"]; got != busy {
			t.Errorf("%d daemons, %d with work: %d messages", daemons, busy, got)
		}
	}
}

// TestDaemonThatWasIdleNeedsNoRestore: the keeper remembers the incarnation of a daemon that has
// nothing to send.
func TestDaemonThatWasIdleNeedsNoRestore(t *testing.T) {
	g := newGroup("k", "a")
	g.place(t, "a", "1")
	g.services["a"].flush(t.Context(), true) // sends a RestoreRequest, once
	g.services["a"].End("1")
	g.services["a"].flush(t.Context(), false)
	g.services["k"].dropSilent(time.Now().Add(2 * dropAttemptsAfter))
	clear(g.calls)
	g.place(t, "a", "2")
	g.services["a"].flush(t.Context(), true)
	if n := g.calls[ServiceName+".Restore"]; n > 0 {
		t.Errorf("it has sent all attempts again, %d times", n)
	}
	g.services["k"].dropSilent(time.Now().Add(2 * dropClientAfter))
	if n := len(g.services["k"].clients); n > 0 {
		t.Errorf("the keeper has not dropped %d daemons", n)
	}
}

// TestRequestsDoNotWaitForASilentKeeper guards against a keeper that is gone for long and that
// each daemon calls again and again while a request waits for it.
func TestRequestsDoNotWaitForASilentKeeper(t *testing.T) {
	g := newGroup("k", "next", "a")
	a := g.services["a"]
	g.place(t, "a", "1")
	g.setCut("k", true)
	g.place(t, "a", "2")                             // finds out that the keeper is silent
	a.silent.backoff.ClearFailures("k", time.Time{}) // as if its retry delay had passed
	g.place(t, "a", "3")
	if a.keeper != "next" {
		t.Fatalf("a request used %q", a.keeper)
	}
	g.setCut("k", false)
	g.place(t, "a", "4")
	if a.keeper != "next" {
		t.Fatalf("a request used %q before it was known to answer", a.keeper)
	}
	a.probeSilent(t.Context())
	for end := time.Now().Add(10 * time.Second); a.isSilent("k") && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	g.place(t, "a", "5")
	if a.keeper != "k" {
		t.Errorf("it uses %q after the first one answers again", a.keeper)
	}
}

func (s *Service) isSilent(host string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.silent.hosts[host]
}
