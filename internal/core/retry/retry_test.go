package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/core/request"
	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

var start = time.Unix(1_800_000_000, 0)

func newRequest(repeatable bool) *request.Request {
	return &request.Request{ID: "r1", Repeatable: repeatable, Arrived: start, Deadline: start.Add(time.Minute)}
}

func TestNextDecisions(t *testing.T) {
	cases := []struct {
		name       string
		attempt    Attempt
		repeatable bool
		after      time.Duration
		noBudget   bool
		want       Action
		outcome    request.Outcome
		code       request.Code
	}{
		{name: "refused connection, once only", attempt: Attempt{Number: 1, End: NotWritten}, want: RetryElsewhere},
		{name: "refused connection needs no budget", attempt: Attempt{Number: 1, End: NotWritten}, noBudget: true, want: RetryElsewhere},
		{name: "once only, written before", attempt: Attempt{Number: 2, End: NotWritten, EarlierWritten: true}, outcome: request.Unknown, code: request.CodeOutcomeLost},
		{name: "once only, refused", attempt: Attempt{Number: 1, End: Refused}, outcome: request.Unknown, code: request.CodeOutcomeLost},
		{name: "once only, silent but reachable", attempt: Attempt{Number: 1, End: Silent, Reachable: true}, outcome: request.Unknown, code: request.CodeOutcomeLost},
		{name: "once only, too late, never written", attempt: Attempt{Number: 1, End: NotWritten}, after: time.Hour, outcome: request.NotRun, code: request.CodeDeadline},
		{name: "silent, reachable", attempt: Attempt{Number: 1, End: Silent, Reachable: true}, repeatable: true, noBudget: true, want: Resume},
		{name: "silent, resumes used up", attempt: Attempt{Number: 1, End: Silent, Reachable: true, Resumes: DefaultMaxResumes}, repeatable: true, want: RetryElsewhere},
		{name: "silent, unreachable", attempt: Attempt{Number: 1, End: Silent}, repeatable: true, want: RetryElsewhere},
		{name: "died", attempt: Attempt{Number: 1, End: Died, Reachable: true}, repeatable: true, want: RetryElsewhere},
		{name: "died needs no budget", attempt: Attempt{Number: 1, End: Died}, repeatable: true, noBudget: true, want: RetryElsewhere},
		{name: "died, attempts used up", attempt: Attempt{Number: DefaultMaxAttempts, End: Died}, repeatable: true, noBudget: true, outcome: request.Failed, code: request.CodeUpstreamFailed},
		{name: "broken, no budget", attempt: Attempt{Number: 1, End: Broken}, repeatable: true, noBudget: true, outcome: request.Failed, code: request.CodeUpstreamFailed},
		{name: "silent, no budget", attempt: Attempt{Number: 1, End: Silent}, repeatable: true, noBudget: true, outcome: request.Failed, code: request.CodeUpstreamFailed},
		{name: "refused, no budget", attempt: Attempt{Number: 1, End: Refused}, repeatable: true, noBudget: true, outcome: request.Failed, code: request.CodeUpstreamFailed},
		{name: "attempts used up", attempt: Attempt{Number: DefaultMaxAttempts, End: Broken}, repeatable: true, outcome: request.Failed, code: request.CodeUpstreamFailed},
		{name: "attempts used up, never written", attempt: Attempt{Number: DefaultMaxAttempts, End: NotWritten}, repeatable: true, outcome: request.NotRun, code: request.CodeUpstreamFailed},
		{name: "too late", attempt: Attempt{Number: 1, End: Silent, Reachable: true}, repeatable: true, after: time.Minute, outcome: request.Failed, code: request.CodeDeadline},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			o := BudgetOptions{}
			if c.noBudget {
				o = BudgetOptions{Ratio: -1, Floor: -1}
			}
			p := NewPolicy(PolicyOptions{}, NewBudget(o))
			d := p.Next(c.attempt, newRequest(c.repeatable), start.Add(c.after))
			if d.Action != c.want {
				t.Fatalf("got %s (%v), want %s", d.Action, d.Refusal, c.want)
			}
			if c.want == GiveUp && (d.Refusal.Outcome != c.outcome || d.Refusal.Code != c.code) {
				t.Errorf("got %v, want %s, %s", d.Refusal, c.code, c.outcome)
			}
			if c.want == RetryElsewhere && d.Attempt != c.attempt.Number+1 {
				t.Errorf("next attempt is %d", d.Attempt)
			}
		})
	}
}

func TestNonRepeatableIsWrittenAtMostOnce(t *testing.T) {
	params := gopter.DefaultTestParametersWithSeed(21)
	params.MinSuccessfulTests = 1000
	props := gopter.NewProperties(params)
	props.Property("at most one write, and not_run only without any", prop.ForAll(
		func(seed uint64) bool {
			rng := rand.New(rand.NewPCG(seed, 2))
			p := NewPolicy(PolicyOptions{MaxAttempts: 50}, NewBudget(BudgetOptions{Floor: 50}))
			writes, wrote := 0, false
			for n := 1; ; n++ {
				end := NotWritten
				if rng.IntN(4) == 0 {
					end = End(rng.IntN(int(InvalidAnswer) + 1))
				}
				if end != NotWritten {
					writes++
				}
				d := p.Next(Attempt{Number: n, End: end, EarlierWritten: wrote, Reachable: rng.IntN(2) == 0}, newRequest(false), start)
				wrote = wrote || end != NotWritten
				if d.Action == GiveUp {
					return writes <= 1 && (d.Refusal.Outcome == request.NotRun) == (writes == 0)
				}
			}
		}, gen.UInt64()))
	props.TestingRun(t)
}

// TestBudgetBoundsRetries compares the retries in all windows of random histories with the
// bound, with a tolerance of one slot.
func TestBudgetBoundsRetries(t *testing.T) {
	params := gopter.DefaultTestParametersWithSeed(22)
	props := gopter.NewProperties(params)
	const window = 10 * time.Second
	props.Property("retries in a window are at most floor + ratio × successes", prop.ForAll(
		func(seed uint64) bool {
			rng := rand.New(rand.NewPCG(seed, 3))
			b := NewBudget(BudgetOptions{Ratio: 0.2, Window: window, Floor: 2})
			var successes, retries []time.Time
			now := start
			for range 1000 {
				now = now.Add(time.Duration(rng.ExpFloat64() * float64(50*time.Millisecond)))
				if rng.IntN(3) > 0 {
					b.Deposit(now)
					successes = append(successes, now)
				} else if b.TryRetry(now) {
					retries = append(retries, now)
					allowed := 2 + 0.2*float64(since(successes, now.Add(-window)))
					if float64(since(retries, now.Add(-window*(numSlots-1)/numSlots))) > allowed {
						return false
					}
				}
			}
			return len(retries) > 0
		}, gen.UInt64()))
	props.TestingRun(t)
}

func since(ts []time.Time, from time.Time) int {
	n := 0
	for _, t := range ts {
		if t.After(from) {
			n++
		}
	}
	return n
}

func TestBudgetWindowExpires(t *testing.T) {
	b := NewBudget(BudgetOptions{Ratio: 0.5, Floor: -1})
	if b.TryRetry(start) {
		t.Fatal("a retry without any success")
	}
	for range 10 {
		b.Deposit(start)
	}
	for i := range 5 {
		if !b.TryRetry(start.Add(time.Second)) {
			t.Fatalf("retry %d refused", i)
		}
	}
	if b.TryRetry(start.Add(time.Second)) {
		t.Error("a sixth retry on ten successes")
	}
	b.Deposit(start.Add(-time.Hour)) // the clock went back
	if b.TryRetry(start.Add(30 * time.Second)) {
		t.Error("old successes still count")
	}
	b.SetRatio(-1)
	b.Deposit(start.Add(31 * time.Second))
	if b.Left() != 0 {
		t.Error("a negative ratio allows retries")
	}
}

func TestArrivalsAreChargedAndRefusedConnectionsAreNot(t *testing.T) {
	for end, want := range map[End]Action{NotWritten: RetryElsewhere, Died: GiveUp, Declined: GiveUp, Broken: GiveUp} {
		p := NewPolicy(PolicyOptions{ChargeArrivals: true}, NewBudget(BudgetOptions{Ratio: -1, Floor: -1}))
		if d := p.Next(Attempt{Number: 1, End: end}, newRequest(true), start); d.Action != want {
			t.Errorf("%s: %s, want %s", end, d.Action, want)
		}
	}
}

func TestMaxRunsIsIndependentOfMaxAttempts(t *testing.T) {
	p := NewPolicy(PolicyOptions{MaxAttempts: 9}, NewBudget(BudgetOptions{Floor: 9}))
	if d := p.Next(Attempt{Number: 3, End: Declined, Runs: 1, MaxRuns: 2}, newRequest(true), start); d.Action != RetryElsewhere {
		t.Errorf("after one run: %s", d.Action)
	}
	if d := p.Next(Attempt{Number: 3, End: Broken, Runs: 2, MaxRuns: 2}, newRequest(true), start); d.Action != GiveUp {
		t.Errorf("after two runs: %s", d.Action)
	}
}

func TestOptionalRetriesLeaveHalfOfTheBudget(t *testing.T) {
	const floor = 6
	b := NewBudget(BudgetOptions{Ratio: -1, Window: time.Minute, Floor: floor})
	now := time.Unix(1_800_000_000, 0)
	optional := 0
	for b.TryOptionalRetry(now) {
		optional++
	}
	if optional != floor/2 {
		t.Errorf("%d optional retries of %d", optional, floor)
	}
	for range floor - optional {
		if !b.TryRetry(now) {
			t.Error("no retry is left for a failure")
		}
	}
	if b.TryRetry(now) {
		t.Error("more retries than the budget allows")
	}
}
