package schedule

import (
	"fmt"
	"testing"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/core/booking"
	"github.com/buckthorndock/buckthorndock/internal/core/notice"
)

// rareRate is a limit of one turn in hours, so that no test depends on its own duration.
const rareRate = 0.0001

func rareLimit(upstream string) notice.Limit {
	return notice.Limit{Upstream: upstream, Limited: true, PerSecond: rareRate, At: time.Now()}
}

// limitAllEngines reports limits of all engines to a daemon.
func limitAllEngines(s *Service) {
	for i := range 4 {
		s.ReportLimit(rareLimit(fmt.Sprint("e", i)))
	}
}

func shortRequest(host string, n int) booking.Request {
	return booking.Request{
		ID: fmt.Sprintf("%s/%d", host, n), Host: host, Service: "llm", Prompt: 1000, Answer: 100, Expected: 100,
		Objective: 300 * time.Millisecond, Gap: 200 * time.Millisecond, Left: 5 * time.Second,
	}
}

// TestLimitKnownToOneDaemonAppliesToAll guards against daemons that each apply a limit for
// themselves: the keeper plans also for those to which it was not reported.
func TestLimitKnownToOneDaemonAppliesToAll(t *testing.T) {
	g := newGroup("a", "b", "c")
	g.services["b"].Place(t.Context(), shortRequest("b", 1)) // makes it choose its keeper
	g.services["b"].flush(t.Context(), true)
	limitAllEngines(g.services["b"])
	g.services["b"].flush(t.Context(), true)
	for i, host := range []string{"a", "b", "c"} {
		if p := g.services[host].Place(t.Context(), shortRequest(host, 10+i)); p.Verdict != booking.TooLate {
			t.Errorf("%s: got %+v", host, p)
		}
	}
}

func TestNextKeeperGetsTheLimits(t *testing.T) {
	g := newGroup("a", "b", "c")
	limits := []notice.Limit{rareLimit("e0"), rareLimit("e1"), rareLimit("e2"), rareLimit("e3")}
	g.services["c"].opts.Limits = func() []notice.Limit { return limits }
	g.setCut("a", true)
	g.services["c"].Place(t.Context(), shortRequest("c", 1)) // finds that the first keeper is silent
	g.services["c"].flush(t.Context(), true)                 // sends all to the next one
	if p := g.services["c"].Place(t.Context(), shortRequest("c", 2)); p.Verdict != booking.TooLate {
		t.Errorf("got %+v", p)
	}
}

func TestDaemonWithoutAKeeperSendsNothingToLimitedUpstreams(t *testing.T) {
	g := newGroup("a", "b")
	b := g.services["b"]
	limitAllEngines(b)
	g.setCut("a", true)
	for i := range 2 { // during the call that fails, and after it
		if p := b.Place(t.Context(), shortRequest("b", i)); p.Verdict != booking.AtLimit {
			t.Errorf("got %+v", p)
		}
	}
	if _, ok := b.Admit(t.Context(), rareLimit("s0"), time.Hour); ok {
		t.Error("it takes turns without a keeper")
	}
	if p := g.services["a"].Place(t.Context(), shortRequest("a", 1)); p.Verdict != booking.Booked {
		t.Errorf("the first keeper: %+v", p)
	}
}

// TestKeeperGivesOutTheTurnsAtPlainServers: their limits, too, apply to all daemons
// together.
func TestKeeperGivesOutTheTurnsAtPlainServers(t *testing.T) {
	g := newGroup("a", "b", "c")
	l := rareLimit("s0")
	l.PerSecond = 1
	taken := 0
	for i := range 300 {
		host := g.hosts[i%3]
		if _, ok := g.services[host].Admit(t.Context(), l, 4*time.Second); ok {
			taken++
		}
	}
	// The turns of four seconds, and one more for each second that the test takes.
	if taken == 0 || taken > 4 {
		t.Errorf("%d turns within 4 s at 1 a second", taken)
	}
}
