package relay

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/core/booking"
	"github.com/buckthorndock/buckthorndock/internal/core/fleet"
	"github.com/buckthorndock/buckthorndock/internal/core/notice"
	"github.com/buckthorndock/buckthorndock/internal/core/request"
	"github.com/buckthorndock/buckthorndock/internal/core/retry"
	"github.com/buckthorndock/buckthorndock/internal/core/route"
)

// setLimits has servers report a limit, and sets the wait for a turn there.
func (f *fixture) setLimits(wait time.Duration, ids ...string) {
	f.planner.turns = map[string]time.Duration{}
	for _, id := range ids {
		f.relay.opts.Notices.Record(id, notice.Notice{Limited: true, Limit: 1}, time.Now())
		f.planner.turns[id] = wait
	}
}

func (f *fixture) sentTo() []string {
	var ids []string
	for _, a := range f.script.sent {
		ids = append(ids, a.Upstream.ID)
	}
	return ids
}

// TestLimitedServerGetsOnlyGrantedTurns guards against plain servers that are sent more than
// the limit that they have reported: a call goes there only with a turn.
func TestLimitedServerGetsOnlyGrantedTurns(t *testing.T) {
	f := newFixture(t, answer(200, "a"), answer(200, "b"))
	f.setLimits(0, "s1")
	if got := f.relay.Run(t.Context(), plainRequest(route.Once, time.Minute), &recordingSink{}); got != nil {
		t.Fatal(got)
	}
	f.setLimits(time.Hour, "s1", "s2") // no turn there in time
	if got := f.relay.Run(t.Context(), plainRequest(route.Once, time.Minute), &recordingSink{}); got != nil {
		t.Fatal(got)
	}
	if want := []string{"s1", "s3"}; !slices.Equal(f.sentTo(), want) || !slices.Equal(f.planner.grantedTurns, want[:1]) {
		t.Errorf("sent to %v, turns %v", f.sentTo(), f.planner.grantedTurns)
	}
}

func TestCallWithoutATurnInTimeIsRefusedAtOnce(t *testing.T) {
	f := newFixture(t)
	f.setLimits(time.Hour, "s1", "s2", "s3")
	got := f.relay.Run(t.Context(), plainRequest(route.Once, time.Minute), &recordingSink{})
	if got == nil || got.Code != request.CodeQueueFull || got.Outcome != request.NotRun || got.RetryAfter <= 0 || len(f.script.sent) > 0 {
		t.Errorf("got %+v after %v", got, f.sentTo())
	}
}

func TestCallWaitsForATurnWhereAllServersHaveLimits(t *testing.T) {
	f := newFixture(t, answer(200, "a"))
	f.setLimits(time.Millisecond, "s1", "s2", "s3")
	if got := f.relay.Run(t.Context(), plainRequest(route.Once, time.Minute), &recordingSink{}); got != nil || len(f.planner.grantedTurns) != 1 {
		t.Errorf("got %v, turns %v", got, f.planner.grantedTurns)
	}
}

// TestCallAsksForFewTurns bounds the turn requests of a call: they all go to the one daemon
// that grants turns.
func TestCallAsksForFewTurns(t *testing.T) {
	f := newFixture(t)
	many := make([]string, 50)
	for i := range many {
		many[i] = fmt.Sprint("s", i)
	}
	f.relay.opts.Balancer = fakeBalancer{servers: many}
	f.setLimits(time.Hour, many...)
	f.relay.Run(t.Context(), plainRequest(route.Once, time.Minute), &recordingSink{})
	if f.planner.turnRequests == 0 || f.planner.turnRequests > 2*maxTurnRequests {
		t.Errorf("%d turn requests", f.planner.turnRequests)
	}
	f.script.steps = append(f.script.steps, answer(200, "a"))
	f.relay.opts.Balancer = fakeBalancer{servers: append(many, "free")}
	if got := f.relay.Run(t.Context(), plainRequest(route.Once, time.Minute), &recordingSink{}); got != nil {
		t.Errorf("the server without a limit is not found: %v", got)
	}
}

func TestLimitsAreSpreadOnChangeAndPeriodically(t *testing.T) {
	var told []notice.Limit
	f := newFixture(t)
	n := NewNotices(Listeners{OnLimit: func(l notice.Limit) { told = append(told, l) }}, f.relay.log)
	sent := time.Now()
	for range 3 {
		n.Record("a", notice.Notice{Limited: true, Limit: 2}, sent)
	}
	if len(told) != 1 || !told[0].Limited || told[0].PerSecond != 2 {
		t.Fatalf("listeners got %+v", told)
	}
	n.limitSentAt["a"] = sent.Add(-limitResendInterval)
	n.Record("a", notice.Notice{Limited: true, Limit: 2}, sent)
	n.Record("a", notice.Notice{Ran: true}, time.Now())
	if len(told) != 3 || told[2].Limited || told[2].Upstream != "a" {
		t.Errorf("listeners got %+v", told)
	}
}

// giveNotice has upstreams report a notice in an answer.
func (f *fixture) giveNotice(n notice.Notice, ids ...string) {
	for _, id := range ids {
		f.relay.opts.Notices.Record(id, n, time.Now())
	}
}

// TestBarredServerIsNoLastResort guards against calls to servers that have reported that
// they leave, or want no requests for a while, when all others fail.
func TestBarredServerIsNoLastResort(t *testing.T) {
	for _, n := range []notice.Notice{{Leaving: true}, {BackOff: time.Hour}} {
		f := newFixture(t, fail(retry.Declined), fail(retry.Declined), fail(retry.Declined))
		f.giveNotice(n, "s1", "s2")
		if got := f.relay.Run(t.Context(), plainRequest(route.Idempotent, time.Minute), &recordingSink{}); got == nil {
			t.Error("served")
		}
		for _, id := range f.sentTo() {
			if id != "s3" {
				t.Errorf("%+v: sent to %v", n, f.sentTo())
			}
		}
	}
}

func TestCallThatNoServerTakesIsRefusedAtOnce(t *testing.T) {
	f := newFixture(t)
	f.giveNotice(notice.Notice{Leaving: true}, "s1")
	f.giveNotice(notice.Notice{BackOff: time.Hour}, "s2", "s3")
	got := f.relay.Run(t.Context(), plainRequest(route.Once, time.Minute), &recordingSink{})
	if got == nil || got.Code != request.CodeNoUpstream || got.Outcome != request.NotRun || got.RetryAfter <= 0 || len(f.script.sent) > 0 {
		t.Errorf("got %+v after %v", got, f.sentTo())
	}
}

// TestReplansWhenEngineStartsLeaving covers an engine that reports during the wait that it
// leaves: the lists of the keeper and of this daemon may both be older than that answer.
func TestReplansWhenEngineStartsLeaving(t *testing.T) {
	f := newFixture(t, answer(200, "id: 1\ndata: x\n\n"))
	f.listEngines("e1", "e2")
	f.planner.plans = []booking.Plan{onEngine("e1"), onEngine("e2")}
	f.planner.onAsk = func(n int) {
		if n == 0 {
			f.giveNotice(notice.Notice{Leaving: true}, "e1")
		}
	}
	if got := f.relay.Run(t.Context(), streamRequest(true), &recordingSink{}); got != nil {
		t.Fatal(got)
	}
	if !slices.Equal(f.sentTo(), []string{"e2"}) || !slices.Equal(f.planner.asks[1].Barred, []string{"e1"}) {
		t.Errorf("sent to %v, then barred %v", f.sentTo(), f.planner.asks[1].Barred)
	}
}

// TestCallDoesNotGoToADomainThatIsEvacuatedWhileItWaits guards against a send that was
// decided before the evacuation became known, while the call waited for a turn.
func TestCallDoesNotGoToADomainThatIsEvacuatedWhileItWaits(t *testing.T) {
	f := newFixture(t, answer(200, "a"))
	f.listPlain("s1", "s2")
	f.setLimits(20*time.Millisecond, "s1", "s2", "s3")
	f.planner.onAdmit = func(upstream string) {
		if upstream == "s1" {
			f.evacuate("of-s1")
		}
	}
	got := f.relay.Run(t.Context(), plainRequest(route.Once, time.Minute), &recordingSink{})
	if got != nil || slices.Contains(f.sentTo(), "s1") {
		t.Errorf("got %v, sent to %v", got, f.sentTo())
	}
}

// TestRequestWithAllDomainsEvacuatedIsRefusedAtOnce checks that the refusal says not run,
// and when to retry.
func TestRequestWithAllDomainsEvacuatedIsRefusedAtOnce(t *testing.T) {
	f := newFixture(t)
	f.listPlain("s1", "s2")
	f.evacuate("of-s1")
	f.evacuate("of-s2")
	f.relay.opts.Balancer = fakeBalancer{}
	got := f.relay.Run(t.Context(), plainRequest(route.Idempotent, time.Minute), &recordingSink{})
	if got == nil || got.Code != request.CodeNoUpstream || got.Outcome != request.NotRun || got.RetryAfter <= 0 || len(f.script.sent) > 0 {
		t.Errorf("got %+v after %v", got, f.sentTo())
	}
}

// listPlain lists servers of the plain service, each in a failure domain of its own.
func (f *fixture) listPlain(ids ...string) {
	var all []fleet.Change
	for _, id := range ids {
		u := fleet.Upstream{Incarnation: fleet.Incarnation{Name: id}, Service: plainRequest(route.Once, 0).Service.Name, Address: id, Domain: "of-" + id}
		all = append(all, fleet.Change{Name: id, Upstream: &u})
	}
	f.list.Apply(all, time.Now())
}

func (f *fixture) evacuate(domain string) {
	f.list.SetEvacuated(domain, true, nil, time.Now())
}

// TestMissedTurn guards against a burst after a daemon stalled: all requests that waited
// there would reach a cold or limited server at once.
func TestMissedTurn(t *testing.T) {
	for late, want := range map[time.Duration]bool{0: false, maxTurnDelay / 2: false, 2 * maxTurnDelay: true} {
		if got := missedTurn(time.Now().Add(-time.Second-late), time.Second); got != want {
			t.Errorf("%s after its turn: %t", late, got)
		}
	}
}
