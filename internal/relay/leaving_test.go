package relay

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/buckthorndock/buckthorndock/internal/core/request"
	"github.com/buckthorndock/buckthorndock/internal/shutdown"
)

// leavingState is where a request is while its daemon shuts down.
type leavingState int

const (
	waitsForPlan   leavingState = iota // no engine ever has room
	waitsForTurn                       // booked; its engine is free later
	waitsForMemory                     // an engine grants it after a time
	waitsForTrial                      // the store does not answer
	waitsForSlot                       // all slots of a scarce service are leased
	waitsForLimit                      // its server's limit allows it later
	declined                           // all servers turn it away, each after a time
	connecting                         // no connection is made
	faulted                            // each server fails it after a time
	atServer                           // a plain server answers after a time
	passing                            // a long plain answer has begun, and ends after a time
	atEngine                           // a stream ends after a time
	beginning                          // a stream begins after a time, and its engine keeps its figures
	resuming                           // a stream that has begun waits for another engine
	leavingStates
)

func (s leavingState) String() string {
	return [...]string{"plan", "turn", "memory", "trial", "slot", "limit", "declined", "connecting", "faulted", "server", "passing", "engine", "beginning", "resuming"}[s]
}

func (s leavingState) onEngine() bool {
	return s == waitsForPlan || s == waitsForTurn || s == waitsForMemory || s == atEngine || s == beginning || s == resuming
}

// leavingDecode is how long engines decode an answer by their figures, and leavingObjective the objective
// of their routes.
const (
	leavingDecode    = time.Second
	leavingObjective = time.Second
	leavingFirst     = time.Second // expected until the first event of a stream that begins after a time
)

// leavingCase is one request of a drawn shutdown.
type leavingCase struct {
	state      leavingState
	arrives    time.Duration // after the start
	takes      time.Duration // wait, or time at the server
	repeatable bool
	patience   time.Duration

	ended   time.Time
	sends   []time.Time
	refusal *request.Refusal
	sink    recordingSink
}

// check returns what is wrong with the end of a request whose daemon began to leave at a time.
func (c *leavingCase) check(start, begun time.Time, t shutdown.Times) string {
	arrived := start.Add(c.arrives)
	deadline := arrived.Add(c.patience)
	known := arrived // when it can be known what becomes of the request
	if begun.After(arrived) {
		known = begun
	}
	for _, at := range c.sends {
		if at.After(t.LastSend) && c.state != resuming {
			return "it was sent too late"
		}
		if c.isLateStream(arrived, t) && len(c.sends) == 1 && at.Add(leavingDecode+leavingObjective).After(t.End) {
			return "it came late and was sent though it may not end in time"
		}
		if c.state == waitsForTurn && at.After(begun) && at.Add(leavingDecode).After(t.End) {
			return "it was sent though it cannot be served in time"
		}
	}
	if len(c.sends) == 0 || c.state == declined || c.state == connecting {
		return c.checkNotRun(t, known, arrived.Add(c.takes), deadline)
	}
	if c.isLateStream(arrived, t) && c.state != resuming {
		if why := c.checkLateStream(); why != "" {
			return why
		}
	}
	return c.checkRun(t, arrived, deadline)
}

// isLateStream reports whether the request is a stream of an engine that has to be whole.
func (c *leavingCase) isLateStream(arrived time.Time, t shutdown.Times) bool {
	return c.state.onEngine() && arrived.After(t.Late)
}

// checkLateStream checks that a stream that came late is not cut: its engine keeps its figures.
func (c *leavingCase) checkLateStream() string {
	keepsFigures := c.state == beginning || c.takes <= leavingDecode
	if c.sink.status == http.StatusOK && c.refusal != nil && c.refusal.Code == request.CodeLeaving && keepsFigures {
		return "a stream that came late was cut"
	}
	return ""
}

// checkRun checks the end of a request that a server was at work on.
func (c *leavingCase) checkRun(t shutdown.Times, arrived, deadline time.Time) string {
	until := t.End
	if (c.state.onEngine() || c.state == passing) && c.sink.status != 0 { // its answer has begun
		until = t.Exit
	}
	if deadline.Before(until) {
		until = deadline
	}
	wholeAt := c.sends[len(c.sends)-1].Add(c.takes)
	if c.state == beginning {
		wholeAt = wholeAt.Add(leavingDecode)
	}
	inTime := wholeAt.Before(until)
	switch {
	case c.ended.After(until):
		return "it ended after the end"
	case c.state == resuming && c.refusal == nil:
		return "a stream that was broken off counts as whole"
	case c.state == faulted && inTime && c.sink.status != http.StatusInternalServerError:
		return "the server's own failure was not delivered"
	case c.state == resuming, c.state == faulted && inTime:
		return ""
	case c.isLateStream(arrived, t) && wholeAt.After(t.Exit) && c.sink.status == 0:
		return c.checkFailed()
	case inTime && (c.refusal != nil || c.ended.After(wholeAt)):
		return "an answer that came in time was not delivered"
	case inTime, c.refusal == nil:
		return ""
	case c.refusal.Outcome == request.NotRun:
		return "it may have run"
	case c.ended.Before(until):
		return "what a server was at work on was ended early"
	}
	return ""
}

// checkFailed checks the refusal of a request that may have run.
func (c *leavingCase) checkFailed() string {
	if c.refusal == nil || c.refusal.Outcome == request.NotRun {
		return "it may have run"
	}
	return ""
}

// checkNotRun checks the end of a request that no server has run.
func (c *leavingCase) checkNotRun(t shutdown.Times, known, turn, deadline time.Time) string {
	limit := t.LastSend
	if c.state == waitsForMemory {
		limit = limit.Add(time.Millisecond) // the engine's answer to the call comes
	}
	if c.state == connecting { // not known to have reached nobody before the connection fails
		limit = t.End
	}
	if known.After(limit) {
		limit = known
	}
	if deadline.Before(limit) {
		limit = deadline
	}
	if c.state == declined && len(c.sends) > 0 {
		limit = limit.Add(c.takes) // the last server answers
	}
	switch {
	case c.refusal == nil:
		return "it ended without an answer and without a refusal"
	case c.refusal.Outcome != request.NotRun:
		return "it has not run"
	case c.refusal.RetryAfter <= 0:
		return "the caller is not told when to come back"
	case c.ended.After(limit):
		return "it was refused too late"
	case c.state == waitsForTurn && turn.Add(leavingDecode).After(t.End) && deadline.After(turn) && c.ended.After(known):
		return "it cannot be served in time, which was known before"
	}
	return ""
}

func drawLeavingCases(rng *rand.Rand, grace time.Duration) []*leavingCase {
	const requests = 14
	var cases []*leavingCase
	for range requests {
		c := &leavingCase{
			state:      leavingState(rng.IntN(int(leavingStates))),
			arrives:    time.Duration(rng.Int64N(int64(2 * grace))),
			takes:      time.Duration(rng.Int64N(int64(2 * grace))),
			repeatable: rng.IntN(2) == 0,
			patience:   time.Hour,
		}
		if rng.IntN(4) == 0 {
			c.patience = time.Second + time.Duration(rng.Int64N(int64(grace)))
		}
		if c.state == declined {
			c.takes = time.Duration(rng.Int64N(int64(300 * time.Millisecond)))
		}
		if c.state == beginning { // not so long that another engine is tried
			c.takes = time.Duration(rng.Int64N(int64(firstSilenceFactor*leavingFirst + leavingObjective)))
		}
		cases = append(cases, c)
	}
	return cases
}

// TestLeavingDaemonAnswersEveryRequest guards against requests that a daemon has read and that end
// without an answer when it exits (review/4): whatever they wait for and whenever the signal comes,
// those that ran nowhere are refused in time and truthfully, and what servers are at work on is
// delivered until the end.
func TestLeavingDaemonAnswersEveryRequest(t *testing.T) {
	params := gopter.DefaultTestParametersWithSeed(70)
	params.MinSuccessfulTests = 300
	props := gopter.NewProperties(params)
	props.Property("every request ends with a true answer before the exit", prop.ForAll(func(seed uint64) string {
		wrong := ""
		synctest.Test(t, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 0))
			grace := time.Second + time.Duration(rng.Int64N(int64(29*time.Second)))
			signal := time.Duration(rng.Int64N(int64(grace)))
			cases := drawLeavingCases(rng, grace)
			start := time.Now()
			times := newLeavingWorld(t, cases).play(signal, grace)
			for n, c := range cases {
				if why := c.check(start, start.Add(signal), times); why != "" && wrong == "" {
					wrong = fmt.Sprintf("request %d, %s, grace %s, signal at %s, arrives %s, takes %s, patience %s, repeatable %t: %s; ended %s, sent %d times, refusal %v",
						n, c.state, grace, signal, c.arrives, c.takes, c.patience, c.repeatable, why, c.ended.Sub(start), len(c.sends), c.refusal)
				}
			}
		})
		return wrong
	}, gen.UInt64()))
	props.TestingRun(t)
}
