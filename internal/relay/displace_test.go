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
)

// displacedSink is a caller whose stream is displaced at randomly drawn events.
type displacedSink struct {
	recordingSink
	relay *Relay
	rng   *rand.Rand
	names []string // of its attempts in the book
}

func (s *displacedSink) Body(p []byte, flush bool) error {
	if s.rng.IntN(2) == 0 {
		s.relay.Displace(s.names)
	}
	return s.recordingSink.Body(p, flush)
}

// writesUntil returns a step that sends the events that the caller does not have yet, one at
// a time, until it is cancelled. It breaks off after event number last.
func writesUntil(last int) func(context.Context, Attempt) (*Answer, error) {
	return func(ctx context.Context, a Attempt) (*Answer, error) {
		r, w := io.Pipe()
		after, _ := strconv.Atoi(a.LastEvent)
		go func() {
			for n := after; n < resetEvents && ctx.Err() == nil; n++ {
				if n >= last {
					w.CloseWithError(io.ErrUnexpectedEOF)
					return
				}
				_, _ = io.WriteString(w, streamEvents(n, n+1))
			}
			w.CloseWithError(ctx.Err()) // io.EOF if it was not cancelled
		}()
		return answerFrom(200, r)(ctx, a)
	}
}

// runDisplaced runs one stream that is displaced repeatedly at drawn events, on engines
// some of which break off, with a drawn number of attempts and of repeats.
func runDisplaced(t *testing.T, seed uint64) error {
	t.Helper()
	rng := rand.New(rand.NewPCG(seed, 9))
	req := streamRequest(true)
	req.Route.MaxAttempts = 1 + rng.IntN(4)
	repeats := 1 + rng.IntN(3)
	f := newFixture(t)
	f.relay.opts.Budget = func() BudgetOptions {
		return BudgetOptions{Window: time.Hour, Slack: (float64(repeats) + 0.5) / budgetShare, Hosts: 1}
	}
	for range maxSends {
		f.script.steps = append(f.script.steps, writesUntil(1+rng.IntN(2*resetEvents)))
	}
	f.listEngines("e1", "e2")
	f.planner.plans = []booking.Plan{onEngine("e1"), onEngine("e2")}
	sink := &displacedSink{relay: f.relay, rng: rng}
	for n := range maxSends {
		sink.names = append(sink.names, fmt.Sprintf("h1/%s/%d", req.ID, n+1))
	}
	refusal := f.relay.Run(t.Context(), req, sink)
	sent := len(f.script.sent)
	switch got := sink.body.String(); {
	case refusal != nil && sent < req.Route.MaxAttempts && sent-1 < repeats:
		return fmt.Errorf("ended after %d of %d attempts and %d repeats: %v", sent, req.Route.MaxAttempts, repeats, refusal)
	case refusal != nil && !strings.HasPrefix(streamEvents(0, resetEvents), got):
		return fmt.Errorf("cut short after %q", got)
	case refusal == nil && got != streamEvents(0, resetEvents) || sink.heads != 1:
		return fmt.Errorf("%d heads, the caller got %q", sink.heads, got)
	case sent > req.Route.MaxAttempts:
		return fmt.Errorf("%d sends, %d attempts", sent, req.Route.MaxAttempts)
	case sent-1 > repeats:
		return fmt.Errorf("%d repeats of %d", sent-1, repeats)
	case len(f.planner.open) > 0:
		return fmt.Errorf("still in the book: %v", f.planner.open)
	}
	return nil
}

// TestDisplacementAtAnyEventKeepsGuarantees covers long prompts that are prefilled wherever
// a stream goes: it is displaced more often than it may move.
func TestDisplacementAtAnyEventKeepsGuarantees(t *testing.T) {
	params := gopter.DefaultTestParametersWithSeed(41)
	params.MinSuccessfulTests = 2000
	props := gopter.NewProperties(params)
	props.Property("events once and in order, attempts and repeats bounded", prop.ForAll(
		func(seed uint64) (bool, error) {
			err := runDisplaced(t, seed)
			return err == nil, err
		}, gen.UInt64()))
	props.TestingRun(t)
}
