package schedule

import (
	"fmt"
	"testing"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/core/booking"
	"github.com/buckthorndock/buckthorndock/internal/core/fleet"
	"github.com/buckthorndock/buckthorndock/internal/core/notice"
	"github.com/buckthorndock/buckthorndock/internal/core/pace"
)

func coldLimit(upstream string, d time.Duration) pace.ColdLimit {
	return pace.ColdLimit{Upstream: upstream, PerSecond: rareRate, Until: time.Now().Add(d)}
}

// TestColdServerKnownToOneDaemonIsLimitedForAll guards against a keeper that gives out turns
// as for a warm server because another daemon was the first to get the report.
func TestColdServerKnownToOneDaemonIsLimitedForAll(t *testing.T) {
	g := newGroup("a", "b", "c")
	g.services["b"].Place(t.Context(), shortRequest("b", 1)) // makes it choose its keeper
	g.services["b"].flush(t.Context(), true)
	for i := range 4 {
		g.services["b"].ReportCold(coldLimit(fmt.Sprint("e", i), time.Hour))
	}
	g.services["b"].flush(t.Context(), true)
	for i, host := range []string{"a", "b", "c"} {
		if p := g.services[host].Place(t.Context(), shortRequest(host, 10+i)); p.Verdict != booking.TooLate {
			t.Errorf("%s: got %+v", host, p)
		}
	}
}

// TestAdmitRequestReportsAColdServer: for servers that are no engines, a request for a turn
// carries the report.
func TestAdmitRequestReportsAColdServer(t *testing.T) {
	g := newGroup("a", "b", "c")
	shop := notice.Limit{Upstream: "shop"}
	if _, ok := g.services["b"].Admit(t.Context(), shop, 0); !ok {
		t.Fatal("a warm server without a limit has no turn")
	}
	g.services["b"].book.Pacer().SetCold(coldLimit("shop", time.Hour), time.Now())
	if _, ok := g.services["b"].Admit(t.Context(), shop, time.Second); ok {
		t.Error("the keeper gave out a turn as for a warm server")
	}
	if _, ok := g.services["c"].Admit(t.Context(), shop, time.Second); ok {
		t.Error("the keeper has not kept the report")
	}
}

func TestDaemonWithoutAKeeperSendsNothingToColdServers(t *testing.T) {
	g := newGroup("a", "b", "c")
	g.setCut("a", true)
	g.setCut("b", true)
	for i := range 4 {
		g.services["c"].ReportCold(coldLimit(fmt.Sprint("e", i), time.Hour))
	}
	g.services["c"].Place(t.Context(), shortRequest("c", 1))
	if p := g.services["c"].Place(t.Context(), shortRequest("c", 2)); p.Verdict != booking.AtLimit {
		t.Errorf("got %+v", p)
	}
}

// TestOlderListDoesNotEndAColdLimitReportedByAnAnswer: only a list with newer data on
// the upstream does.
func TestOlderListDoesNotEndAColdLimitReportedByAnAnswer(t *testing.T) {
	s := newGroup("a").services["a"]
	cold := func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		_, ok := s.book.Pacer().ColdLimit("e0", time.Now())
		return ok
	}
	list, warmSince := listOf("e0"), time.Now().Add(-time.Second)
	s.Apply(nil, list, nil)
	s.ReportCold(coldLimit("e0", time.Hour))
	s.Apply(nil, list, nil)
	if !cold() {
		t.Error("a list without the upstream's cold limit ended it")
	}
	s.Apply(nil, list, []pace.ColdLimit{{Upstream: "e0", PerSecond: rareRate, Until: warmSince}})
	if cold() {
		t.Error("a newer report that it is warm was ignored")
	}
	s.ReportCold(coldLimit("e0", time.Hour))
	s.Apply(nil, list, []pace.ColdLimit{{Upstream: "e0", PerSecond: rareRate, Until: warmSince}})
	if !cold() {
		t.Error("the same report, repeated, ended it")
	}
}

func listOf(id string) *fleet.Snapshot {
	l := fleet.New(fleet.Options{OutageAfter: time.Hour})
	u := fleet.Upstream{Incarnation: fleet.Incarnation{Name: id}, Service: "llm", Address: id}
	l.Replace([]fleet.Change{{Name: id, Upstream: &u}}, time.Now())
	return l.Snapshot()
}

// TestShorterColdLimitOfAnotherDaemonIsIgnored: that daemon's report may be older.
func TestShorterColdLimitOfAnotherDaemonIsIgnored(t *testing.T) {
	s := newGroup("a").services["a"]
	now := time.Now()
	s.ReportCold(coldLimit("e0", time.Hour))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recordCold(&Cold{Upstream: "e0", PerSecond: rareRate, Left: time.Second}, now)
	if _, ok := s.book.Pacer().ColdLimit("e0", now.Add(time.Minute)); !ok {
		t.Error("it has ended")
	}
}
