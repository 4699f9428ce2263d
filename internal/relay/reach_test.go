package relay

import (
	"context"
	"io"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/buckthorndock/buckthorndock/internal/core/booking"
	"github.com/buckthorndock/buckthorndock/internal/core/fleet"
	"github.com/buckthorndock/buckthorndock/internal/core/reach"
	"github.com/buckthorndock/buckthorndock/internal/core/request"
	"github.com/buckthorndock/buckthorndock/internal/core/retry"
	"github.com/buckthorndock/buckthorndock/internal/core/route"
)

// cutSite is a fixture of two failure domains with two upstreams each, one of which can be
// cut off.
type cutSite struct {
	*fixture
	mu  sync.Mutex
	cut bool
}

func newCutSite(t *testing.T, steps ...func(context.Context, Attempt) (*Answer, error)) *cutSite {
	s := &cutSite{fixture: newFixture(t, steps...)}
	var list []fleet.Change
	for name, domain := range map[string]string{"far1": "far", "far2": "far", "near1": "near", "near2": "near"} {
		list = append(list, entry(fleet.Upstream{Incarnation: fleet.Incarnation{Name: name}, Service: "llm", Address: name + ":1", Domain: domain}))
	}
	f := s.fixture
	f.list.Replace(list, time.Now())
	snapshot := f.list.Snapshot()
	f.relay.opts.Upstreams = func() *fleet.Snapshot { return snapshot }
	f.probe = func(_ context.Context, address string) error {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.cut && address[:3] == "far" {
			return merry.New("network is unreachable")
		}
		return nil
	}
	return s
}

func (s *cutSite) setCut(cut bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cut = cut
}

// waitForCut waits until the domain counts as cut off or not; the test's timeout bounds it.
func (s *cutSite) waitForCut(cut bool) {
	for s.relay.opts.Paths.Cut("far") != cut {
		time.Sleep(time.Millisecond)
	}
}

// TestStreamsBehindACutAreMovedAtOnce covers a failure domain that is cut off while streams
// come from it: their connections stay open and deliver nothing.
func TestStreamsBehindACutAreMovedAtOnce(t *testing.T) {
	var s *cutSite
	r, w := io.Pipe()
	first := func(ctx context.Context, a Attempt) (*Answer, error) {
		go func() {
			_, _ = w.Write([]byte(firstEvents))
			s.setCut(true)
			<-ctx.Done()
			w.CloseWithError(ctx.Err())
		}()
		return answerFrom(200, r)(ctx, a)
	}
	s = newCutSite(t, first, answer(200, lastEvents))
	go func() { _ = s.relay.MonitorDomains(t.Context()) }()
	s.planner.plans = []booking.Plan{onEngine("far1"), onEngine("near1")}
	sink := &recordingSink{}
	if refusal := s.relay.Run(t.Context(), streamRequest(true), sink); refusal != nil {
		t.Fatal(refusal)
	}
	if got := sink.body.String(); got != firstEvents+lastEvents || s.script.sent[1].LastEvent != "2" {
		t.Errorf("the caller got %q", got)
	}
	if !s.relay.opts.Paths.Cut("far") || s.relay.opts.Paths.Cut("near") {
		t.Error("the wrong domains count as cut off")
	}
	again := slices.Compact(slices.Sorted(slices.Values(s.planner.asks[1].Avoid)))
	if !slices.Equal(again, []string{"far1", "far2"}) {
		t.Errorf("the second plan avoids %v", again)
	}
	s.setCut(false)
	s.waitForCut(false)
	if ids := s.relay.avoided(); len(ids) != 0 {
		t.Errorf("after the cut %v are avoided", ids)
	}
}

func TestPromptWithAHelperBehindACutIsMoved(t *testing.T) {
	var s *cutSite
	s = newCutSite(t, func(ctx context.Context, a Attempt) (*Answer, error) {
		s.setCut(true)
		s.relay.opts.Paths.Suspect("far")
		return hang(ctx, a)
	}, answer(200, firstEvents))
	plan := onEngine("near1", "far1")
	plan.First = time.Hour
	s.planner.plans = []booking.Plan{plan, onEngine("near2")}
	if refusal := s.relay.Run(t.Context(), streamRequest(true), &recordingSink{}); refusal != nil {
		t.Fatal(refusal)
	}
	if len(s.script.sent) != 2 || s.script.sent[1].Upstream.ID != "near2" {
		t.Errorf("sent %+v", s.script.sent)
	}
}

func TestCallThatMayNotBeRepeatedIsLeftBehindTheCut(t *testing.T) {
	var s *cutSite
	s = newCutSite(t, func(ctx context.Context, a Attempt) (*Answer, error) {
		s.setCut(true)
		s.relay.opts.Paths.Suspect("far")
		s.waitForCut(true)
		return answer(200, "late but whole")(ctx, a)
	})
	s.relay.opts.Balancer = fakeBalancer{servers: []string{"far1"}}
	sink := &recordingSink{}
	if refusal := s.relay.Run(t.Context(), plainRequest(route.Once, time.Minute), sink); refusal != nil || sink.body.String() != "late but whole" {
		t.Errorf("got %v and %q", refusal, sink.body.String())
	}
}

// TestNothingReachableIsRefusedAtOnce covers a service all of whose upstreams are cut off:
// each attempt would cost its caller time and cannot succeed.
func TestNothingReachableIsRefusedAtOnce(t *testing.T) {
	s := newCutSite(t, fail(retry.NotWritten), fail(retry.NotWritten))
	var list []fleet.Change
	for _, name := range []string{"far1", "far2"} {
		list = append(list, entry(fleet.Upstream{Incarnation: fleet.Incarnation{Name: name}, Service: "shop", Address: name + ":1", Domain: "far"}))
	}
	s.list.Replace(list, time.Now())
	snapshot := s.list.Snapshot()
	s.relay.opts.Upstreams = func() *fleet.Snapshot { return snapshot }
	s.setCut(true)
	s.relay.opts.Paths.Suspect("far")
	s.waitForCut(true)
	refusal := s.relay.Run(t.Context(), plainRequest(route.Idempotent, time.Minute), &recordingSink{})
	if refusal == nil || refusal.Code != request.CodeNoUpstream || refusal.Outcome != request.NotRun || len(s.script.sent) != 0 {
		t.Fatalf("got %v after %d sends", refusal, len(s.script.sent))
	}
	if refusal.RetryAfter < retryAfterCut/2 {
		t.Errorf("retry after %s", refusal.RetryAfter)
	}
}

// TestProbesTryHealthyUpstreamsFirst covers many upstreams of a domain that die at once: a
// probe of those alone would take their deaths for a network cut.
func TestProbesTryHealthyUpstreamsFirst(t *testing.T) {
	f := newFixture(t)
	f.listEngines("a", "b", "c", "d", "e", "f", "g")
	dead := []string{"a", "b", "c", "d"}
	f.relay.noteFailures(dead, retry.NotWritten)
	for range 20 {
		for _, u := range f.relay.probeTargets("") {
			if slices.Contains(dead, u.ID) {
				t.Fatalf("a probe tries %s, which has just failed", u.ID)
			}
		}
	}
}

// TestUpstreamsAreNotAssumedColdAfterAPartition guards against a host that, once it reaches a
// domain again, sends it little because it takes its own partition for one of the domain. Only a
// domain whose daemons were cut off too may have restarted unseen.
func TestUpstreamsAreNotAssumedColdAfterAPartition(t *testing.T) {
	for name, c := range map[string]struct {
		change reach.Change
		want   int
	}{
		"its daemons answered":  {reach.Change{From: reach.Cut, To: reach.Direct}, 0},
		"other hosts did":       {reach.Change{From: reach.Indirect, To: reach.Direct}, 0},
		"all of it was cut off": {reach.Change{From: reach.Cut, To: reach.Direct, Isolated: true}, 1},
	} {
		f := newFixture(t)
		f.listEngines("e1")
		reached := 0
		f.relay.opts.OnDomainReached = func(string) { reached++ }
		f.relay.PathChanged("", c.change)
		if reached != c.want {
			t.Errorf("%s: assumed cold %d times", name, reached)
		}
	}
}

// TestStreamsStayOnConnectionsThatLive guards against streams that are moved, and pause, because
// new connections are refused while the open ones still carry them.
func TestStreamsStayOnConnectionsThatLive(t *testing.T) {
	for _, quiet := range []bool{false, true} {
		moved := -1
		var s *cutSite
		s = newCutSite(t, func(ctx context.Context, a Attempt) (*Answer, error) {
			moved = s.relay.PathChanged("far", reach.Change{To: reach.Indirect, Quiet: quiet})
			return answer(200, firstEvents)(ctx, a)
		}, answer(200, lastEvents))
		s.planner.plans = []booking.Plan{onEngine("far1"), onEngine("near1")}
		if refusal := s.relay.Run(t.Context(), streamRequest(true), &recordingSink{}); refusal != nil {
			t.Fatal(refusal)
		}
		if want := map[bool]int{false: 0, true: 1}[quiet]; moved != want {
			t.Errorf("quiet %v: %d moved", quiet, moved)
		}
	}
}
