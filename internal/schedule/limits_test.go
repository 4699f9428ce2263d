package schedule

import (
	"fmt"
	"testing"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/core/booking"
	"github.com/buckthorndock/buckthorndock/internal/core/notice"
)

// A limit that gives one turn in hours, so that no test depends on its own time.
const rare = 0.0001

func limitOf(upstream string) notice.Limit {
	return notice.Limit{Upstream: upstream, Limited: true, PerSecond: rare, At: time.Now()}
}

// limitAll has a daemon hear limits of all engines.
func limitAll(s *Service) {
	for i := range 4 {
		s.ReportLimit(limitOf(fmt.Sprint("e", i)))
	}
}

func shortAsk(host string, n int) booking.Request {
	return booking.Request{
		ID: fmt.Sprintf("%s/%d", host, n), Host: host, Service: "llm", Prompt: 1000, Answer: 100, Expected: 100,
		Objective: 300 * time.Millisecond, Gap: 200 * time.Millisecond, Left: 5 * time.Second,
	}
}

// TestLimitThatOneDaemonHasHeardBindsAll guards against daemons that each keep to a limit of
// their own: the keeper plans for those that have not heard of it too.
func TestLimitThatOneDaemonHasHeardBindsAll(t *testing.T) {
	g := newGroup("a", "b", "c")
	g.by["b"].Place(t.Context(), shortAsk("b", 1)) // tells it its keeper
	g.by["b"].flush(t.Context(), true)
	limitAll(g.by["b"])
	g.by["b"].flush(t.Context(), true)
	for i, host := range []string{"a", "b", "c"} {
		if p := g.by[host].Place(t.Context(), shortAsk(host, 10+i)); p.Verdict != booking.TooLate {
			t.Errorf("%s: got %+v", host, p)
		}
	}
}

func TestNextKeeperIsToldTheLimits(t *testing.T) {
	g := newGroup("a", "b", "c")
	limits := []notice.Limit{limitOf("e0"), limitOf("e1"), limitOf("e2"), limitOf("e3")}
	g.by["c"].opts.Limits = func() []notice.Limit { return limits }
	g.setCut("a", true)
	g.by["c"].Place(t.Context(), shortAsk("c", 1)) // finds the first keeper dead
	g.by["c"].flush(t.Context(), true)             // tells the next one all
	if p := g.by["c"].Place(t.Context(), shortAsk("c", 2)); p.Verdict != booking.TooLate {
		t.Errorf("got %+v", p)
	}
}

func TestDaemonWhoseKeeperIsSilentLeavesUpstreamsWithLimitsAlone(t *testing.T) {
	g := newGroup("a", "b")
	b := g.by["b"]
	limitAll(b)
	g.setCut("a", true)
	for i := range 2 { // the question in vain, and after it
		if p := b.Place(t.Context(), shortAsk("b", i)); p.Verdict != booking.AtLimit {
			t.Errorf("got %+v", p)
		}
	}
	if _, ok := b.Admit(t.Context(), limitOf("s0"), time.Hour); ok {
		t.Error("it takes turns that nobody gives")
	}
	if p := g.by["a"].Place(t.Context(), shortAsk("a", 1)); p.Verdict != booking.Booked {
		t.Errorf("the first of all: %+v", p)
	}
}

// TestTurnsAtPlainServersAreGivenByTheKeeper: their limits bind all daemons together too.
func TestTurnsAtPlainServersAreGivenByTheKeeper(t *testing.T) {
	g := newGroup("a", "b", "c")
	l := limitOf("s0")
	l.PerSecond = 1
	taken := 0
	for i := range 300 {
		host := g.hosts[i%3]
		if _, ok := g.by[host].Admit(t.Context(), l, 4*time.Second); ok {
			taken++
		}
	}
	// What four seconds allow, and one turn a second more for the time that the test takes.
	if taken == 0 || taken > 4 {
		t.Errorf("%d turns within 4 s at 1 a second", taken)
	}
}
