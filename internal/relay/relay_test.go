package relay

import (
	"context"
	"errors"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/buckthorndock/buckthorndock/internal/core/booking"
	"github.com/buckthorndock/buckthorndock/internal/core/fleet"
	"github.com/buckthorndock/buckthorndock/internal/core/request"
	"github.com/buckthorndock/buckthorndock/internal/core/retry"
	"github.com/buckthorndock/buckthorndock/internal/core/route"
	"github.com/buckthorndock/buckthorndock/internal/inbound"
)

func TestDeadlineAfterDispatchIsNotReportedAsNotRun(t *testing.T) {
	for _, kind := range []route.Kind{route.Once, route.Idempotent} {
		f := newFixture(t, hang)
		refusal := f.relay.Run(t.Context(), plainRequest(kind, 20*time.Millisecond), &recordingSink{})
		if refusal == nil || refusal.Outcome == request.NotRun {
			t.Errorf("%s: got %v, want an outcome that admits a run", kind, refusal)
		}
	}
}

func TestOnceRequestIsResentOnlyWhenNotRun(t *testing.T) {
	cases := []struct {
		end   retry.End
		sends int
	}{
		{retry.NotWritten, 2}, {retry.Declined, 2},
		{retry.Broken, 1}, {retry.InvalidAnswer, 1}, {retry.Refused, 1},
	}
	for _, c := range cases {
		f := newFixture(t, fail(c.end), answer(200, "done"))
		sink := &recordingSink{}
		refusal := f.relay.Run(t.Context(), plainRequest(route.Once, time.Minute), sink)
		if len(f.script.sent) != c.sends {
			t.Errorf("%s: %d sends, want %d", c.end, len(f.script.sent), c.sends)
		}
		if c.sends == 2 && (refusal != nil || sink.body.String() != "done") {
			t.Errorf("%s: got %v and %q", c.end, refusal, sink.body.String())
		}
		if c.sends == 1 && (refusal == nil || refusal.Outcome != request.Unknown) {
			t.Errorf("%s: got %v, want unknown", c.end, refusal)
		}
	}
}

func TestDeclinedByAllIsNotRun(t *testing.T) {
	f := newFixture(t, fail(retry.Declined), fail(retry.Declined), fail(retry.Declined), fail(retry.Declined))
	refusal := f.relay.Run(t.Context(), plainRequest(route.Once, time.Minute), &recordingSink{})
	if refusal == nil || refusal.Outcome != request.NotRun || refusal.RetryAfter <= 0 {
		t.Fatalf("got %v, want not run with a retry time", refusal)
	}
}

func TestUpstreamsOwnFailureIsPassedOnWhenNoOtherAnswers(t *testing.T) {
	f := newFixture(t, answer(500, "sorry"), answer(500, "sorry too"))
	sink := &recordingSink{}
	if refusal := f.relay.Run(t.Context(), plainRequest(route.Idempotent, time.Minute), sink); refusal != nil {
		t.Fatal(refusal)
	}
	if sink.status != 500 || sink.body.String() != "sorry too" || len(f.script.sent) != 2 {
		t.Errorf("got %d %q after %d sends", sink.status, sink.body.String(), len(f.script.sent))
	}
}

func TestFailureOfAOnceRequestIsNotRepeated(t *testing.T) {
	f := newFixture(t, answer(500, "sorry"), answer(200, "done"))
	sink := &recordingSink{}
	if refusal := f.relay.Run(t.Context(), plainRequest(route.Once, time.Minute), sink); refusal != nil {
		t.Fatal(refusal)
	}
	if sink.status != 500 || len(f.script.sent) != 1 {
		t.Errorf("got %d after %d sends", sink.status, len(f.script.sent))
	}
}

func TestAnswerThatBreaksIsReplacedBeforeAnyOfItIsPassedOn(t *testing.T) {
	f := newFixture(t, answerFrom(200, brokenBody("hal")), answer(200, "half or whole"))
	sink := &recordingSink{}
	if refusal := f.relay.Run(t.Context(), plainRequest(route.Idempotent, time.Minute), sink); refusal != nil {
		t.Fatal(refusal)
	}
	if sink.body.String() != "half or whole" || sink.heads != 1 {
		t.Errorf("got %q with %d heads", sink.body.String(), sink.heads)
	}
}

const (
	firstEvents = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
	lastEvents  = "id: 3\ndata: c\n\n"
)

func TestStreamGoesOnAtAnotherEngine(t *testing.T) {
	f := newFixture(t, answerFrom(200, brokenBody(firstEvents+"id: 3\nda")), answer(200, lastEvents))
	f.listEngines("e1", "e2")
	f.planner.plans = []booking.Plan{onEngine("e1"), onEngine("e2")}
	sink := &recordingSink{}
	if refusal := f.relay.Run(t.Context(), streamRequest(true), sink); refusal != nil {
		t.Fatal(refusal)
	}
	if got := sink.body.String(); got != firstEvents+lastEvents {
		t.Errorf("the caller got %q", got)
	}
	if sink.heads != 1 || f.script.sent[1].LastEvent != "2" {
		t.Errorf("%d heads, resumed after %q", sink.heads, f.script.sent[1].LastEvent)
	}
	if len(f.planner.open) != 0 {
		t.Errorf("still in the book: %v", f.planner.open)
	}
}

func TestStreamThatMayNotResumeIsCutVisibly(t *testing.T) {
	f := newFixture(t, answerFrom(200, brokenBody(firstEvents)), answer(200, lastEvents))
	f.listEngines("e1", "e2")
	f.planner.plans = []booking.Plan{onEngine("e1"), onEngine("e2")}
	refusal := f.relay.Run(t.Context(), streamRequest(false), &recordingSink{})
	if refusal == nil || refusal.Outcome != request.Unknown || len(f.script.sent) != 1 {
		t.Errorf("got %v after %d sends", refusal, len(f.script.sent))
	}
}

func TestEngineThatBeginsToLeaveDuringTheWaitGetsNothing(t *testing.T) {
	f := newFixture(t, answer(200, firstEvents))
	f.listEngines("e1", "e2")
	waits := onEngine("e1")
	waits.Wait = 5 * time.Millisecond
	f.planner.plans = []booking.Plan{waits, onEngine("e2")}
	f.planner.onAsk = func(n int) {
		if n == 0 {
			leaving := fleet.Upstream{Incarnation: fleet.Incarnation{Name: "e1"}, Service: "llm", Address: "e1:1", Leaving: true}
			f.list.Apply([]fleet.Change{entry(leaving)}, time.Now())
		}
	}
	if refusal := f.relay.Run(t.Context(), streamRequest(true), &recordingSink{}); refusal != nil {
		t.Fatal(refusal)
	}
	if len(f.script.sent) != 1 || f.script.sent[0].Upstream.ID != "e2" {
		t.Errorf("sent %v", f.script.sent)
	}
}

func TestCallerThatLeavesEndsTheAttempt(t *testing.T) {
	ctx, leave := context.WithCancel(t.Context())
	ended := make(chan struct{})
	f := newFixture(t, func(ctx context.Context, a Attempt) (*Answer, error) {
		leave()
		defer close(ended)
		return hang(ctx, a)
	})
	refusal := f.relay.Run(ctx, plainRequest(route.Idempotent, time.Minute), &recordingSink{})
	<-ended
	if refusal == nil || refusal.Code != request.CodeCallerGone || len(f.script.sent) != 1 {
		t.Errorf("got %v after %d sends", refusal, len(f.script.sent))
	}
}

func TestLeasesAreReleased(t *testing.T) {
	f := newFixture(t, answer(200, firstEvents))
	f.listEngines("e1", "e2")
	plan := onEngine("e1", "e2")
	plan.Parts[1].Reserve = 50
	f.planner.plans = []booking.Plan{plan}
	if refusal := f.relay.Run(t.Context(), streamRequest(true), &recordingSink{}); refusal != nil {
		t.Fatal(refusal)
	}
	helper := f.script.sent[0].Helpers[0]
	if helper.Lease == "" || strings.ContainsAny(helper.Lease, "/,") {
		t.Errorf("lease %q", helper.Lease)
	}
	for f.script.held() > 0 { // the release follows the answer; the test's timeout bounds it
		time.Sleep(time.Millisecond)
	}
}

func TestEventsOverTheBoundAreRefused(t *testing.T) {
	events := newEventReader(strings.NewReader("data: "+strings.Repeat("x", maxEventBytes)+"\n\n"), nil)
	if _, err := events.next(); !errors.Is(err, inbound.ErrTooLong) {
		t.Errorf("got %v", err)
	}
}

func TestRequestThatCrashesEnginesIsRefused(t *testing.T) {
	crash := func(context.Context, Attempt) (*Answer, error) {
		return nil, &Failure{End: retry.Broken, Err: syscall.ECONNRESET}
	}
	f := newFixture(t, crash, crash, crash, crash, crash, crash)
	f.listEngines("e1", "e2", "e3", "sound")
	f.dead["e1:1"], f.dead["e2:1"], f.dead["e3:1"] = true, true, true
	f.planner.plans = []booking.Plan{onEngine("e1"), onEngine("e2"), onEngine("e3")}
	sends := 0
	for range 5 { // the caller sends the same work repeatedly
		req := streamRequest(true)
		req.Work.Fingerprint = 77
		f.relay.Run(t.Context(), req, &recordingSink{})
		sends = len(f.script.sent)
	}
	if sends > 2 {
		t.Errorf("it was sent %d times", sends)
	}
	// Another request that ran at the same time is not affected by that.
	f.script.steps = append(f.script.steps[:sends], answer(200, firstEvents))
	f.dead = map[string]bool{}
	f.planner.plans = []booking.Plan{onEngine("e3")}
	if refusal := f.relay.Run(t.Context(), streamRequest(true), &recordingSink{}); refusal != nil {
		t.Error(refusal)
	}
}

func TestFailedConnectionAvoidsItsDomain(t *testing.T) {
	f := newFixture(t, fail(retry.NotWritten), answer(200, firstEvents))
	var list []fleet.Change
	for name, domain := range map[string]string{"far1": "far", "far2": "far", "near": "near"} {
		list = append(list, entry(fleet.Upstream{Incarnation: fleet.Incarnation{Name: name}, Service: "llm", Address: name + ":1", Domain: domain}))
	}
	f.list.Replace(list, time.Now())
	f.planner.plans = []booking.Plan{onEngine("far1"), onEngine("near")}
	if refusal := f.relay.Run(t.Context(), streamRequest(true), &recordingSink{}); refusal != nil {
		t.Fatal(refusal)
	}
	second := f.planner.asks[1]
	if !slices.Contains(second.Avoid, "far2") || slices.Contains(second.Avoid, "near") || !slices.Contains(second.Exclude, "far1") {
		t.Errorf("the second ask avoids %v and excludes %v", second.Avoid, second.Exclude)
	}
}

func TestDomainCutQuarantinesNoRequest(t *testing.T) {
	crash := func(context.Context, Attempt) (*Answer, error) {
		return nil, &Failure{End: retry.Broken, Err: syscall.ECONNRESET}
	}
	var steps []func(context.Context, Attempt) (*Answer, error)
	for range 20 {
		steps = append(steps, crash)
	}
	f := newFixture(t, steps...)
	f.listEngines("e1", "e2")
	f.dead["e1:1"], f.dead["e2:1"] = true, true // the whole domain refuses connections
	f.planner.plans = []booking.Plan{onEngine("e1"), onEngine("e2"), onEngine("e1"), onEngine("e2"), onEngine("e1"), onEngine("e2")}
	for range 3 {
		req := streamRequest(true)
		req.Work.Fingerprint = 78
		refusal := f.relay.Run(t.Context(), req, &recordingSink{})
		if refusal == nil || refusal.Code == request.CodeQuarantined {
			t.Fatalf("got %v", refusal)
		}
	}
	if len(f.script.sent) != 6 {
		t.Errorf("three requests were sent %d times, each may run twice", len(f.script.sent))
	}
}

func TestDaemonWithoutSlackRepeatsOnce(t *testing.T) {
	f := newFixture(t, fail(retry.Declined), fail(retry.Declined), answer(200, "done"))
	f.relay.opts.Budget = func() BudgetOptions { return BudgetOptions{Window: 10 * time.Second, Hosts: 88} }
	refusal := f.relay.Run(t.Context(), plainRequest(route.Once, time.Minute), &recordingSink{})
	if refusal == nil || refusal.Outcome != request.NotRun || len(f.script.sent) != 1+minRepeats {
		t.Errorf("got %v after %d sends", refusal, len(f.script.sent))
	}
}

func TestPlannerKnowsThatAnAnswerHasBegun(t *testing.T) {
	f := newFixture(t, answerFrom(200, brokenBody(firstEvents)), answer(200, lastEvents))
	f.listEngines("e1", "e2")
	f.planner.plans = []booking.Plan{onEngine("e1"), onEngine("e2")}
	if refusal := f.relay.Run(t.Context(), streamRequest(true), &recordingSink{}); refusal != nil {
		t.Fatal(refusal)
	}
	if asks := f.planner.asks; len(asks) != 2 || asks[0].Begun || !asks[1].Begun {
		t.Errorf("asked %+v", asks)
	}
}

// sharedAddress lists two upstreams at one address, one after the other.
func (f *fixture) sharedAddress(earlier, later string) {
	for _, id := range []string{earlier, later} {
		u := fleet.Upstream{Incarnation: fleet.Incarnation{Name: id}, Service: "llm", Address: "shared:1"}
		f.list.Apply([]fleet.Change{entry(u)}, time.Now())
	}
	f.relay.opts.OnIdentified = func(u fleet.Upstream, itself bool) { f.list.RecordResponder(u, itself) }
}

func TestAnswerIdentifiesUpstreamAtSharedAddress(t *testing.T) {
	other := func(context.Context, Attempt) (*Answer, error) {
		return nil, &Failure{End: retry.Declined, WrongUpstream: true, Err: merry.New("scripted")}
	}
	for name, c := range map[string]struct {
		steps      []func(context.Context, Attempt) (*Answer, error)
		superseded string
	}{
		"it answers":               {[]func(context.Context, Attempt) (*Answer, error){answer(200, firstEvents)}, "earlier"},
		"another upstream answers": {[]func(context.Context, Attempt) (*Answer, error){other, answer(200, firstEvents)}, "later"},
	} {
		f := newFixture(t, c.steps...)
		f.listEngines("e1")
		f.sharedAddress("earlier", "later")
		f.planner.plans = []booking.Plan{onEngine("later"), onEngine("e1")}
		if refusal := f.relay.Run(t.Context(), streamRequest(true), &recordingSink{}); refusal != nil {
			t.Fatal(name, refusal)
		}
		first := f.planner.asks[0]
		if !slices.Contains(first.Avoid, "earlier") || slices.Contains(first.Avoid, "later") {
			t.Errorf("%s: the first ask avoids %v", name, first.Avoid)
		}
		if got := f.list.Snapshot().Superseded; !slices.Equal(got, []string{c.superseded}) {
			t.Errorf("%s: superseded %v", name, got)
		}
	}
}

func TestSupersededUpstreamsAreNotAskedFor(t *testing.T) {
	f := newFixture(t, answer(200, firstEvents))
	f.listEngines("e1")
	f.sharedAddress("earlier", "later")
	later, _ := f.list.Snapshot().Get("later")
	f.list.RecordResponder(later, true)
	f.planner.plans = []booking.Plan{onEngine("e1")}
	if refusal := f.relay.Run(t.Context(), streamRequest(true), &recordingSink{}); refusal != nil {
		t.Fatal(refusal)
	}
	if got := f.planner.asks[0].Exclude; !slices.Contains(got, "earlier") {
		t.Errorf("the planner, whose list may be older, gets only these exclusions: %v", got)
	}
}

// TestCallDeclinedByReplacementIsRetried guards against a call whose own answer, a promise
// by another upstream at the address that it has not run, ends the attempt before that
// answer is evaluated: its caller would be told that it may have run.
func TestCallDeclinedByReplacementIsRetried(t *testing.T) {
	other := func(context.Context, Attempt) (*Answer, error) {
		return nil, &Failure{End: retry.Declined, WrongUpstream: true, Err: merry.New("scripted")}
	}
	f := newFixture(t, other, answer(200, firstEvents))
	f.listEngines("e1")
	f.sharedAddress("earlier", "later")
	f.relay.opts.OnIdentified = func(u fleet.Upstream, _ bool) { f.relay.UpstreamReplaced(u, fleet.Upstream{ID: "earlier"}) }
	f.planner.plans = []booking.Plan{onEngine("later"), onEngine("e1")}
	if refusal := f.relay.Run(t.Context(), streamRequest(false), &recordingSink{}); refusal != nil {
		t.Fatal(refusal)
	}
}
