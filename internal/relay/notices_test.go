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

// limit has servers name a limit; the wait for a turn there is given.
func (f *fixture) limit(wait time.Duration, ids ...string) {
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

// TestPlainServerWithALimitGetsWhatItsTurnsAllow guards against plain servers that are sent
// more than the limit which they have named: a call goes there with a turn only.
func TestPlainServerWithALimitGetsWhatItsTurnsAllow(t *testing.T) {
	f := newFixture(t, answer(200, "a"), answer(200, "b"))
	f.limit(0, "s1")
	if got := f.relay.Run(t.Context(), plainRequest(route.Once, time.Minute), &record{}); got != nil {
		t.Fatal(got)
	}
	f.limit(time.Hour, "s1", "s2") // no turn there in time
	if got := f.relay.Run(t.Context(), plainRequest(route.Once, time.Minute), &record{}); got != nil {
		t.Fatal(got)
	}
	if want := []string{"s1", "s3"}; !slices.Equal(f.sentTo(), want) || !slices.Equal(f.planner.gave, want[:1]) {
		t.Errorf("sent to %v, turns %v", f.sentTo(), f.planner.gave)
	}
}

func TestCallWithoutATurnInTimeIsRefusedAtOnce(t *testing.T) {
	f := newFixture(t)
	f.limit(time.Hour, "s1", "s2", "s3")
	got := f.relay.Run(t.Context(), plainRequest(route.Once, time.Minute), &record{})
	if got == nil || got.Code != request.CodeQueueFull || got.Outcome != request.NotRun || got.RetryAfter <= 0 || len(f.script.sent) > 0 {
		t.Errorf("got %+v after %v", got, f.sentTo())
	}
}

func TestCallWaitsForATurnWhereAllServersHaveLimits(t *testing.T) {
	f := newFixture(t, answer(200, "a"))
	f.limit(time.Millisecond, "s1", "s2", "s3")
	if got := f.relay.Run(t.Context(), plainRequest(route.Once, time.Minute), &record{}); got != nil || len(f.planner.gave) != 1 {
		t.Errorf("got %v, turns %v", got, f.planner.gave)
	}
}

// TestCallAsksForFewTurns: each question goes to the daemon that gives the turns of all.
func TestCallAsksForFewTurns(t *testing.T) {
	f := newFixture(t)
	many := make([]string, 50)
	for i := range many {
		many[i] = fmt.Sprint("s", i)
	}
	f.relay.opts.Balancer = fakePlain{servers: many}
	f.limit(time.Hour, many...)
	f.relay.Run(t.Context(), plainRequest(route.Once, time.Minute), &record{})
	if f.planner.asked == 0 || f.planner.asked > 2*mostAsked {
		t.Errorf("%d questions", f.planner.asked)
	}
	f.script.steps = append(f.script.steps, answer(200, "a"))
	f.relay.opts.Balancer = fakePlain{servers: append(many, "free")}
	if got := f.relay.Run(t.Context(), plainRequest(route.Once, time.Minute), &record{}); got != nil {
		t.Errorf("the server without a limit is not found: %v", got)
	}
}

func TestLimitsAreSpreadWhenTheyChangeAndNowAndThen(t *testing.T) {
	var told []notice.Limit
	f := newFixture(t)
	n := NewNotices(Listeners{OnLimit: func(l notice.Limit) { told = append(told, l) }}, f.relay.log)
	sent := time.Now()
	for range 3 {
		n.Record("a", notice.Notice{Limited: true, Limit: 2}, sent)
	}
	if len(told) != 1 || !told[0].Limited || told[0].PerSecond != 2 {
		t.Fatalf("told %+v", told)
	}
	n.told["a"] = sent.Add(-tellAgain)
	n.Record("a", notice.Notice{Limited: true, Limit: 2}, sent)
	n.Record("a", notice.Notice{Ran: true}, time.Now())
	if len(told) != 3 || told[2].Limited || told[2].Upstream != "a" {
		t.Errorf("told %+v", told)
	}
}

// say has upstreams say something in an answer.
func (f *fixture) say(n notice.Notice, ids ...string) {
	for _, id := range ids {
		f.relay.opts.Notices.Record(id, n, time.Now())
	}
}

// TestPlainServerThatTakesNothingIsNoLastResort guards against calls to servers that have
// said that they leave, or want nothing for a while, when all others fail.
func TestPlainServerThatTakesNothingIsNoLastResort(t *testing.T) {
	for _, n := range []notice.Notice{{Leaving: true}, {BackOff: time.Hour}} {
		f := newFixture(t, fail(retry.Declined), fail(retry.Declined), fail(retry.Declined))
		f.say(n, "s1", "s2")
		if got := f.relay.Run(t.Context(), plainRequest(route.Idempotent, time.Minute), &record{}); got == nil {
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
	f.say(notice.Notice{Leaving: true}, "s1")
	f.say(notice.Notice{BackOff: time.Hour}, "s2", "s3")
	got := f.relay.Run(t.Context(), plainRequest(route.Once, time.Minute), &record{})
	if got == nil || got.Code != request.CodeNoUpstream || got.Outcome != request.NotRun || got.RetryAfter <= 0 || len(f.script.sent) > 0 {
		t.Errorf("got %+v after %v", got, f.sentTo())
	}
}

// TestPlanIsMadeAnewWhenAnEngineSaysMeanwhileThatItLeaves: the keeper's list and this
// daemon's may both be older than the answer.
func TestPlanIsMadeAnewWhenAnEngineSaysMeanwhileThatItLeaves(t *testing.T) {
	f := newFixture(t, answer(200, "id: 1\ndata: x\n\n"))
	f.live("e1", "e2")
	f.planner.plans = []booking.Plan{onEngine("e1"), onEngine("e2")}
	f.planner.onAsk = func(n int) {
		if n == 0 {
			f.say(notice.Notice{Leaving: true}, "e1")
		}
	}
	if got := f.relay.Run(t.Context(), streamRequest(true), &record{}); got != nil {
		t.Fatal(got)
	}
	if !slices.Equal(f.sentTo(), []string{"e2"}) || !slices.Equal(f.planner.asks[1].Barred, []string{"e1"}) {
		t.Errorf("sent to %v, then barred %v", f.sentTo(), f.planner.asks[1].Barred)
	}
}

// TestCallDoesNotGoToADomainThatIsEvacuatedWhileItWaits guards against a send that was decided
// before the evacuation was heard: the call waits for a turn meanwhile.
func TestCallDoesNotGoToADomainThatIsEvacuatedWhileItWaits(t *testing.T) {
	f := newFixture(t, answer(200, "a"))
	f.listPlain("s1", "s2")
	f.limit(20*time.Millisecond, "s1", "s2", "s3")
	f.planner.onAdmit = func(upstream string) {
		if upstream == "s1" {
			f.evacuate("of-s1")
		}
	}
	got := f.relay.Run(t.Context(), plainRequest(route.Once, time.Minute), &record{})
	if got != nil || slices.Contains(f.sentTo(), "s1") {
		t.Errorf("got %v, sent to %v", got, f.sentTo())
	}
}

// TestRequestWithAllDomainsEvacuatedIsRefusedAtOnce: truly not run, and with a time to come
// back.
func TestRequestWithAllDomainsEvacuatedIsRefusedAtOnce(t *testing.T) {
	f := newFixture(t)
	f.listPlain("s1", "s2")
	f.evacuate("of-s1")
	f.evacuate("of-s2")
	f.relay.opts.Balancer = fakePlain{}
	got := f.relay.Run(t.Context(), plainRequest(route.Idempotent, time.Minute), &record{})
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

// TestRequestHeldUpBeyondItsTurnTakesAnother guards against a daemon that stood still: all that
// waited there would reach a cold or limited server at once.
func TestRequestHeldUpBeyondItsTurnTakesAnother(t *testing.T) {
	for late, want := range map[time.Duration]bool{0: false, turnOver / 2: false, 2 * turnOver: true} {
		if got := missedTurn(time.Now().Add(-time.Second-late), time.Second); got != want {
			t.Errorf("%s after its turn: %t", late, got)
		}
	}
}
