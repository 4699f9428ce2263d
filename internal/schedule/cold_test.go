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

func coldFor(upstream string, d time.Duration) pace.ColdLimit {
	return pace.ColdLimit{Upstream: upstream, PerSecond: rare, Until: time.Now().Add(d)}
}

// TestColdServerThatOneDaemonKnowsIsBoundForAll guards against a keeper that gives turns as
// for a warm server because the news has reached it last.
func TestColdServerThatOneDaemonKnowsIsBoundForAll(t *testing.T) {
	g := newGroup("a", "b", "c")
	g.by["b"].Place(t.Context(), shortAsk("b", 1)) // tells it its keeper
	g.by["b"].flush(t.Context(), true)
	for i := range 4 {
		g.by["b"].ReportCold(coldFor(fmt.Sprint("e", i), time.Hour))
	}
	g.by["b"].flush(t.Context(), true)
	for i, host := range []string{"a", "b", "c"} {
		if p := g.by[host].Place(t.Context(), shortAsk(host, 10+i)); p.Verdict != booking.TooLate {
			t.Errorf("%s: got %+v", host, p)
		}
	}
}

// TestQuestionForATurnTellsThatTheServerIsCold: for plain servers the question is the news.
func TestQuestionForATurnTellsThatTheServerIsCold(t *testing.T) {
	g := newGroup("a", "b", "c")
	shop := notice.Limit{Upstream: "shop"}
	if _, ok := g.by["b"].Admit(t.Context(), shop, 0); !ok {
		t.Fatal("a warm server without a limit has no turn")
	}
	g.by["b"].book.Pacer().SetCold(coldFor("shop", time.Hour), time.Now())
	if _, ok := g.by["b"].Admit(t.Context(), shop, time.Second); ok {
		t.Error("the keeper gave a turn as for a warm server")
	}
	if _, ok := g.by["c"].Admit(t.Context(), shop, time.Second); ok {
		t.Error("the keeper has not kept what it was told")
	}
}

func TestDaemonWhoseKeeperIsSilentLeavesColdServersAlone(t *testing.T) {
	g := newGroup("a", "b", "c")
	g.setCut("a", true)
	g.setCut("b", true)
	for i := range 4 {
		g.by["c"].ReportCold(coldFor(fmt.Sprint("e", i), time.Hour))
	}
	g.by["c"].Place(t.Context(), shortAsk("c", 1))
	if p := g.by["c"].Place(t.Context(), shortAsk("c", 2)); p.Verdict != booking.AtLimit {
		t.Errorf("got %+v", p)
	}
}

// TestOlderListDoesNotEndColdThatAnAnswerTold: only a list that says something new does.
func TestOlderListDoesNotEndColdThatAnAnswerTold(t *testing.T) {
	s := newGroup("a").by["a"]
	cold := func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		_, ok := s.book.Pacer().ColdLimit("e0", time.Now())
		return ok
	}
	list, warmSince := listOf("e0"), time.Now().Add(-time.Second)
	s.Apply(nil, list, nil)
	s.ReportCold(coldFor("e0", time.Hour))
	s.Apply(nil, list, nil)
	if !cold() {
		t.Error("a list that says nothing of it ended it")
	}
	s.Apply(nil, list, []pace.ColdLimit{{Upstream: "e0", PerSecond: rare, Until: warmSince}})
	if cold() {
		t.Error("a newer word that it is warm is not taken")
	}
	s.ReportCold(coldFor("e0", time.Hour))
	s.Apply(nil, list, []pace.ColdLimit{{Upstream: "e0", PerSecond: rare, Until: warmSince}})
	if !cold() {
		t.Error("the same word, told again, ended it")
	}
}

func listOf(id string) *fleet.Snapshot {
	l := fleet.New(fleet.Options{OutageAfter: time.Hour})
	u := fleet.Upstream{Incarnation: fleet.Incarnation{Name: id}, Service: "llm", Address: id}
	l.Replace([]fleet.Change{{Name: id, Upstream: &u}}, time.Now())
	return l.Snapshot()
}

// TestShorterWordOfAnotherDaemonDoesNotEndCold: it may have heard an older one.
func TestShorterWordOfAnotherDaemonDoesNotEndCold(t *testing.T) {
	s := newGroup("a").by["a"]
	now := time.Now()
	s.ReportCold(coldFor("e0", time.Hour))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hearCold(&Cold{Upstream: "e0", PerSecond: rare, Left: time.Second}, now)
	if _, ok := s.book.Pacer().ColdLimit("e0", now.Add(time.Minute)); !ok {
		t.Error("it has ended")
	}
}
