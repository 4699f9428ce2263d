package shutdown

import (
	"context"
	"errors"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// TestTimesFitTheGrace guards against a process that is killed by its platform before its last answers
// are out, and against one that gives up work in the first five sixths of its grace period.
func TestTimesFitTheGrace(t *testing.T) {
	params := gopter.DefaultTestParametersWithSeed(71)
	props := gopter.NewProperties(params)
	props.Property("last send, end and exit come in order, in the last part of the grace", prop.ForAll(func(ms int64) bool {
		grace := time.Duration(ms) * time.Millisecond
		begun := time.Unix(0, 0)
		t := TimesOf(begun, grace)
		return begun.Before(t.LastSend) && t.LastSend.Before(t.End) && t.End.Before(t.Exit) && t.Exit.Before(begun.Add(grace)) &&
			t.End.Sub(begun) >= grace*5/6
	}, gen.Int64Range(100, 60_000)))
	props.TestingRun(t)
}

// TestProcessThatWasHeldUpHasTimeForItsLastAnswers guards against a process that ends the moment it runs
// again, with requests that it has given up and not answered yet.
func TestProcessThatWasHeldUpHasTimeForItsLastAnswers(t *testing.T) {
	props := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(73))
	props.Property("it ends at Exit, or when the answers have had their time", prop.ForAll(func(ms, late int64) bool {
		times := TimesOf(time.Unix(0, 0), time.Duration(ms)*time.Millisecond)
		now := times.End.Add(time.Duration(late) * time.Millisecond)
		by := times.ExitBy(now)
		return !by.Before(times.Exit) && by.Sub(now) >= lastAnswerTime && (by.Equal(times.Exit) || by.Sub(now) == lastAnswerTime)
	}, gen.Int64Range(100, 60_000), gen.Int64Range(0, 5_000)))
	props.TestingRun(t)
}

// TestContextsEndAtTheTimesOfTheShutdown draws when contexts are made, when the shutdown begins and how
// long requests take, and guards against a wait that goes on although it is known to be in vain.
func TestContextsEndAtTheTimesOfTheShutdown(t *testing.T) {
	params := gopter.DefaultTestParametersWithSeed(72)
	props := gopter.NewProperties(params)
	props.Property("each context ends at its time", prop.ForAll(func(seed uint64) (holds bool) {
		synctest.Test(t, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 0))
			grace := time.Second + time.Duration(rng.Int64N(int64(29*time.Second)))
			takes := time.Duration(rng.Int64N(int64(2 * grace)))
			made, begins := time.Duration(rng.Int64N(int64(grace))), time.Duration(rng.Int64N(int64(grace)))
			c := New()
			start := time.Now()
			times := TimesOf(start.Add(begins), grace)
			time.AfterFunc(begins, func() {
				c.Begin(times)
				c.Begin(TimesOf(time.Now(), 2*grace)) // a second signal
			})
			time.Sleep(made)
			latest := func(at time.Time) time.Time { // at, but not before both have happened
				for _, other := range []time.Time{start.Add(made), start.Add(begins)} {
					if other.After(at) {
						at = other
					}
				}
				return at
			}
			servable := times.End.Add(-takes)
			if servable.After(times.LastSend) {
				servable = times.LastSend
			}
			holds = true
			expect := func(ctx context.Context, stop context.CancelFunc, at time.Time) {
				<-ctx.Done()
				holds = holds && errors.Is(context.Cause(ctx), ErrLeaving) && time.Now().Equal(at)
				stop()
			}
			servableCtx, stopServable := c.WhileServable(t.Context(), takes)
			sending, stopSending := c.WhileSending(t.Context())
			serving, stopServing := c.WhileServing(t.Context())
			expect(servableCtx, stopServable, latest(servable))
			expect(sending, stopSending, latest(times.LastSend))
			expect(serving, stopServing, latest(times.End))
		})
		return holds
	}, gen.UInt64()))
	props.TestingRun(t)
}
