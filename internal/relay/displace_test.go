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

// displacedSink is a caller whose stream is told to move at drawn events.
type displacedSink struct {
	record
	relay *Relay
	rng   *rand.Rand
	names []string // of its attempts in the book
}

func (s *displacedSink) Body(p []byte, flush bool) error {
	if s.rng.IntN(2) == 0 {
		s.relay.Displace(s.names)
	}
	return s.record.Body(p, flush)
}

// writesUntil sends the events that the caller has not had, one at a time, until it is
// cancelled. It breaks after the last one that it may send.
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
			w.CloseWithError(ctx.Err()) // io.EOF when it was not cancelled
		}()
		return answerFrom(200, r)(ctx, a)
	}
}

// playDisplaced runs one stream that is told to move at drawn events, again and again, from
// engines some of which break, with a drawn number of attempts and of repeats.
func playDisplaced(t *testing.T, seed uint64) error {
	t.Helper()
	rng := rand.New(rand.NewPCG(seed, 9))
	req := streamRequest(true)
	req.Route.MaxAttempts = 1 + rng.IntN(4)
	repeats := 1 + rng.IntN(3)
	f := newFixture(t)
	f.relay.opts.Budget = func() BudgetOptions {
		return BudgetOptions{Window: time.Hour, Slack: (float64(repeats) + 0.5) / budgetShare, Hosts: 1}
	}
	for range mostAttempts {
		f.script.steps = append(f.script.steps, writesUntil(1+rng.IntN(2*resetEvents)))
	}
	f.live("e1", "e2")
	f.planner.plans = []booking.Plan{onEngine("e1"), onEngine("e2")}
	sink := &displacedSink{relay: f.relay, rng: rng}
	for n := range mostAttempts {
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

// TestDisplacedAtAnyEventBreaksNoPromise is the pattern of long prompts that are read wherever
// a stream goes: it is told to move more often than it may.
func TestDisplacedAtAnyEventBreaksNoPromise(t *testing.T) {
	params := gopter.DefaultTestParametersWithSeed(41)
	params.MinSuccessfulTests = 2000
	props := gopter.NewProperties(params)
	props.Property("events once and in order, attempts and repeats bounded", prop.ForAll(
		func(seed uint64) (bool, error) {
			err := playDisplaced(t, seed)
			return err == nil, err
		}, gen.UInt64()))
	props.TestingRun(t)
}
