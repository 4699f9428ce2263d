package relay

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/buckthorndock/buckthorndock/internal/core/booking"
	"github.com/buckthorndock/buckthorndock/internal/core/request"
	"github.com/buckthorndock/buckthorndock/internal/core/retry"
	"github.com/buckthorndock/buckthorndock/internal/core/route"
)

// In these tests, connections between daemons and upstreams are reset at any moment of a
// call, as often as it is sent. The end of each attempt is drawn: before its first byte,
// declined, after it was sent, inside the answer, with an error answer of the upstream, or
// complete. There are more draws than any request may be sent, so that each bound is
// reached.

// resetEvents is the number of events of a complete stream: enough for a reset before,
// between, inside and after them.
const resetEvents = 4

// resets answers attempts as drawn, and counts those that may have run.
type resets struct {
	rng    *rand.Rand
	stream bool
	mayRun int // attempts that an upstream may have run
}

func streamEvents(after, until int) string {
	var b strings.Builder
	for n := after + 1; n <= until; n++ {
		fmt.Fprintf(&b, "id: %d\ndata: %d\n\n", n, n)
	}
	return b.String()
}

func (s *resets) step(ctx context.Context, a Attempt) (*Answer, error) {
	switch s.rng.IntN(6) {
	case 0:
		return fail(retry.NotWritten)(ctx, a)
	case 1:
		return fail(retry.Declined)(ctx, a)
	case 2:
		s.mayRun++
		return fail(retry.Broken)(ctx, a)
	case 3:
		s.mayRun++
		return answer(500, "sorry")(ctx, a)
	case 4:
		s.mayRun++
		return answerFrom(200, s.cut(a))(ctx, a)
	}
	s.mayRun++
	return answerFrom(200, strings.NewReader(s.whole(a)))(ctx, a)
}

// whole returns the part of the answer that the caller does not have yet.
func (s *resets) whole(a Attempt) string {
	if !s.stream {
		return "whole"
	}
	after, _ := strconv.Atoi(a.LastEvent)
	return streamEvents(after, resetEvents)
}

// cut returns a body that breaks off inside an event or between two.
func (s *resets) cut(a Attempt) io.Reader {
	whole := s.whole(a)
	return brokenBody(whole[:s.rng.IntN(len(whole)+1)])
}

// resetRequest draws a request of any kind.
func resetRequest(rng *rand.Rand) *Request {
	kinds := []*Request{
		plainRequest(route.Once, time.Minute),
		plainRequest(route.Idempotent, time.Minute),
		streamRequest(false),
		streamRequest(true),
	}
	r := kinds[rng.IntN(len(kinds))]
	r.Route.MaxAttempts = 1 + rng.IntN(4)
	return r
}

// drawPlans returns plans for the attempts in turn: most have an engine, some have the
// verdict too late.
func drawPlans(rng *rand.Rand) []booking.Plan {
	plans := make([]booking.Plan, 1+rng.IntN(4))
	for i := range plans {
		plans[i] = onEngine("e1")
		if rng.IntN(4) == 0 {
			plans[i] = booking.Plan{Verdict: booking.TooLate}
		}
	}
	return plans
}

// runWithResets runs one request under drawn resets.
func runWithResets(t *testing.T, seed uint64) (*fixture, *resets, *Request, *recordingSink, *request.Refusal) {
	t.Helper()
	rng := rand.New(rand.NewPCG(seed, 7))
	r := resetRequest(rng)
	s := &resets{rng: rng, stream: r.Service.Engine != nil}
	f := newFixture(t)
	for range maxSends + 1 {
		f.script.steps = append(f.script.steps, s.step)
	}
	f.listEngines("e1", "e2")
	f.planner.plans = drawPlans(rng)
	sink := &recordingSink{}
	return f, s, r, sink, f.relay.Run(t.Context(), r, sink)
}

// checkResets returns an error if a request's end violates a guarantee of the relay.
func checkResets(f *fixture, s *resets, r *Request, sink *recordingSink, refusal *request.Refusal) error {
	whole := s.whole(Attempt{})
	got := sink.body.String()
	most := r.Route.MaxAttempts
	if !r.Route.Repeatable() {
		most = 1
	}
	switch {
	case s.mayRun > most:
		return fmt.Errorf("may have run %d times, allowed are %d", s.mayRun, most)
	case sink.heads > 1:
		return fmt.Errorf("%d heads", sink.heads)
	case len(f.planner.open) > 0:
		return fmt.Errorf("still in the book: %v", f.planner.open)
	case refusal == nil && sink.status == 200 && got != whole:
		return fmt.Errorf("reported as complete: %q", got)
	case refusal == nil && sink.status == 500 && got != "sorry":
		return fmt.Errorf("passed on as the upstream's error: %q", got)
	case refusal != nil && refusal.Outcome == request.NotRun && s.mayRun > 0:
		return fmt.Errorf("reported as not run after %d attempts that may have run: %v", s.mayRun, refusal)
	case refusal != nil && refusal.Outcome == request.NotRun && refusal.RetryAfter <= 0:
		return fmt.Errorf("refused without a retry time: %v", refusal)
	case refusal != nil && refusal.Outcome != request.NotRun && s.mayRun == 0:
		return fmt.Errorf("reported as perhaps run, but nothing arrived: %v", refusal)
	case refusal != nil && !strings.HasPrefix(whole, got):
		return fmt.Errorf("cut short after %q", got)
	case refusal != nil && s.stream && strings.HasSuffix(got, "\n") && !strings.HasSuffix(got, "\n\n"):
		return fmt.Errorf("a part of an event was passed on: %q", got)
	}
	return nil
}

func TestResetsAtAnyMomentKeepGuarantees(t *testing.T) {
	params := gopter.DefaultTestParametersWithSeed(31)
	params.MinSuccessfulTests = 3000
	props := gopter.NewProperties(params)
	props.Property("runs are bounded, refusals true, answers whole", prop.ForAll(
		func(seed uint64) (bool, error) {
			err := checkResets(runWithResets(t, seed))
			return err == nil, err
		}, gen.UInt64()))
	props.TestingRun(t)
}

// TestResumableStreamSurvivesResets checks that a resumable stream is complete for its
// caller whatever was reset before the last run allowed.
func TestResumableStreamSurvivesResets(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 8))
		r := streamRequest(true)
		r.Route.MaxAttempts = 2 + rng.IntN(3)
		s := &resets{rng: rng, stream: true}
		f := newFixture(t)
		for range r.Route.MaxAttempts - 1 {
			f.script.steps = append(f.script.steps, func(ctx context.Context, a Attempt) (*Answer, error) {
				return answerFrom(200, s.cut(a))(ctx, a)
			})
		}
		f.script.steps = append(f.script.steps, func(ctx context.Context, a Attempt) (*Answer, error) {
			return answerFrom(200, strings.NewReader(s.whole(a)))(ctx, a)
		})
		f.listEngines("e1", "e2")
		f.planner.plans = []booking.Plan{onEngine("e1"), onEngine("e2")}
		sink := &recordingSink{}
		if refusal := f.relay.Run(t.Context(), r, sink); refusal != nil || sink.body.String() != streamEvents(0, resetEvents) {
			t.Fatalf("seed %d, %d attempts: %v, the caller got %q", seed, r.Route.MaxAttempts, refusal, sink.body.String())
		}
	}
}

// TestResetOfAllAtOnceKeepsToTheBudget covers a reset of all connections of a daemon at
// once, and again of those of the repeats: its repeats stay within its share of the site's
// budget.
func TestResetOfAllAtOnceKeepsToTheBudget(t *testing.T) {
	const (
		requests = 400
		ratio    = 0.2
		slack    = 60.0
		hosts    = 4
	)
	f := newFixture(t)
	f.relay.opts.Budget = func() BudgetOptions {
		return BudgetOptions{Ratio: ratio, Window: 10 * time.Second, Slack: slack, Hosts: hosts}
	}
	for range requests * maxSends {
		f.script.steps = append(f.script.steps, fail(retry.Broken))
	}
	for range requests {
		refusal := f.relay.Run(t.Context(), plainRequest(route.Idempotent, time.Minute), &recordingSink{})
		if refusal == nil || refusal.Outcome == request.NotRun {
			t.Fatalf("got %v, want an outcome that admits a run", refusal)
		}
	}
	repeats := len(f.script.sent) - requests
	if most := ratio*requests + slack/hosts; repeats == 0 || float64(repeats) > most {
		t.Errorf("%d repeats of %d requests, at most %.0f are this daemon's", repeats, requests, most)
	}
}
