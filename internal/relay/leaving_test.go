package relay

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/buckthorndock/buckthorndock/internal/core/booking"
	"github.com/buckthorndock/buckthorndock/internal/core/cost"
	"github.com/buckthorndock/buckthorndock/internal/core/fleet"
	"github.com/buckthorndock/buckthorndock/internal/core/notice"
	"github.com/buckthorndock/buckthorndock/internal/core/quarantine"
	"github.com/buckthorndock/buckthorndock/internal/core/request"
	"github.com/buckthorndock/buckthorndock/internal/core/retry"
	"github.com/buckthorndock/buckthorndock/internal/core/route"
	"github.com/buckthorndock/buckthorndock/internal/core/slots"
	"github.com/buckthorndock/buckthorndock/internal/shutdown"
	"github.com/buckthorndock/buckthorndock/internal/suspects"
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
	atEngine                           // a stream ends after a time
	resuming                           // a stream that has begun waits for another engine
	leavingStates
)

func (s leavingState) String() string {
	return [...]string{"plan", "turn", "memory", "trial", "slot", "limit", "declined", "connecting", "faulted", "server", "engine", "resuming"}[s]
}

func (s leavingState) onEngine() bool {
	return s == waitsForPlan || s == waitsForTurn || s == waitsForMemory || s == atEngine || s == resuming
}

// leavingDecode is how long engines decode an answer by their figures.
const leavingDecode = time.Second

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

// leavingWorld is the Sender, Planner, Balancer and Suspects of a Relay whose requests wait where
// their cases say. Request "n" is of service "n".
type leavingWorld struct {
	*fixture
	cases  []*leavingCase
	sendMu sync.Mutex // guards the sends of the cases
}

type leavingPlanner struct {
	*fakePlanner
	*leavingWorld
}

type leavingSender struct {
	*script
	*leavingWorld
}

type leavingBalancer struct{ *leavingWorld }

func (w *leavingWorld) of(service string) *leavingCase {
	var n int
	_, _ = fmt.Sscan(service, &n)
	return w.cases[n]
}

func (w leavingPlanner) Place(_ context.Context, a booking.Request) booking.Plan {
	c := w.of(a.Service)
	if c.state == waitsForPlan || c.state == resuming && len(w.sendsOf(c)) > 0 {
		return booking.Plan{Verdict: booking.Full, Engines: 1}
	}
	p := onEngine("e1")
	if c.state == waitsForTurn {
		p.Wait, p.First = c.takes, c.takes
	}
	if c.state == waitsForMemory {
		p.Parts = append(p.Parts, booking.Part{Upstream: "e2", Address: "e2:1", Reserve: 1})
	}
	return p
}

func (w leavingPlanner) Admit(_ context.Context, l notice.Limit, within time.Duration) (time.Duration, bool) {
	c := w.of(strings.TrimPrefix(l.Upstream, "limited-"))
	return c.takes, c.takes <= within
}

func (w leavingPlanner) SlotsScarce(service string) bool { return w.of(service).state == waitsForSlot }

func (w leavingPlanner) AcquireSlot(context.Context, slots.Request) slots.Grant {
	const askAgain = 70 * time.Millisecond
	return slots.Grant{Verdict: slots.Wait, Wait: askAgain}
}

func (w leavingBalancer) Pick(service string, exclude []string) (fleet.Upstream, func(), bool) {
	u := fleet.Upstream{ID: "server-" + service, Service: service, Address: "127.0.0.1:1"}
	if w.of(service).state == waitsForLimit {
		u.ID, u.ColdUntil = "limited-"+service, time.Now().Add(time.Hour)
	}
	for _, id := range exclude {
		if id == u.ID {
			return u, nil, false
		}
	}
	return u, func() {}, true
}

func (w leavingBalancer) ObserveSpeed(fleet.Upstream, time.Duration, time.Duration) {}

// leavingSuspects are Suspects whose store does not answer.
type leavingSuspects struct {
	Suspects
	world *leavingWorld
}

func (s leavingSuspects) Admit(ctx context.Context, work quarantine.Work, has *suspects.Trial, life time.Duration) (*suspects.Trial, *request.Refusal) {
	if s.world.cases[work.Fingerprint].state == waitsForTrial {
		<-ctx.Done()
		return nil, request.Refuse(request.CodeSuspect, time.Second, "no trial")
	}
	return s.Suspects.Admit(ctx, work, has, life)
}

// Reserve grants the memory after the time of the case, and also at the moment at which the request
// is given up: the answer to a call may be on its way then.
func (w leavingSender) Reserve(ctx context.Context, on booking.Part, _ time.Duration) error {
	var n int
	_, _ = fmt.Sscanf(on.Lease, "h1-%d-", &n)
	if len(w.sendsOf(w.cases[n])) > 0 {
		return nil // a renewal
	}
	select {
	case <-ctx.Done():
		time.Sleep(time.Millisecond)
	case <-time.After(w.cases[n].takes):
	}
	return nil
}

func (w *leavingWorld) sendsOf(c *leavingCase) []time.Time {
	w.sendMu.Lock()
	defer w.sendMu.Unlock()
	return c.sends
}

func (w leavingSender) Send(ctx context.Context, a Attempt) (*Answer, error) {
	c := w.of(a.Request.ID)
	w.sendMu.Lock()
	c.sends = append(c.sends, time.Now())
	w.sendMu.Unlock()
	switch c.state {
	case declined:
		time.Sleep(c.takes)
		return nil, &Failure{End: retry.Declined, Err: merry.New("scripted")}
	case connecting:
		<-ctx.Done()
		return nil, &Failure{End: retry.NotWritten, Err: ctx.Err()}
	case faulted:
		select {
		case <-time.After(c.takes):
			return answer(500, "failed")(ctx, a)
		case <-ctx.Done():
			return nil, &Failure{End: retry.Broken, Err: ctx.Err()}
		}
	case atServer:
		select {
		case <-time.After(c.takes):
			return answer(200, "whole")(ctx, a)
		case <-ctx.Done():
			return nil, &Failure{End: retry.Broken, Err: ctx.Err()}
		}
	case resuming:
		return answerFrom(200, brokenBody(firstEvents))(ctx, a)
	}
	return answerFrom(200, &slowStream{ctx: ctx, left: c.takes})(ctx, a)
}

// slowStream is a stream whose first event comes at once and whose last one after a time.
type slowStream struct {
	ctx   context.Context
	left  time.Duration
	begun bool
	rest  *strings.Reader
}

func (s *slowStream) Read(p []byte) (int, error) {
	if !s.begun {
		s.begun = true
		return copy(p, firstEvents), nil
	}
	if s.rest == nil {
		select {
		case <-time.After(s.left):
		case <-s.ctx.Done():
			return 0, s.ctx.Err()
		}
		s.rest = strings.NewReader(lastEvents)
	}
	return s.rest.Read(p)
}

func newLeavingWorld(t *testing.T, cases []*leavingCase) *leavingWorld {
	w := &leavingWorld{fixture: newFixture(t), cases: cases}
	var list []fleet.Change
	for _, id := range []string{"e1", "e2"} {
		list = append(list, entry(fleet.Upstream{Incarnation: fleet.Incarnation{Name: id}, Service: "llm", Address: id + ":1"}))
	}
	for n := range cases {
		id := fmt.Sprintf("server-%d", n)
		list = append(list, entry(fleet.Upstream{Incarnation: fleet.Incarnation{Name: id}, Service: fmt.Sprint(n), Address: id + ":1"}))
	}
	w.list.Replace(list, time.Now())
	o := &w.relay.opts
	o.Sender, o.Planner, o.Balancer = leavingSender{w.fixture.script, w}, leavingPlanner{w.fixture.planner, w}, leavingBalancer{w}
	o.Suspects = leavingSuspects{o.Suspects, w}
	return w
}

func (w *leavingWorld) request(n int) *Request {
	c := w.cases[n]
	now := time.Now()
	r := &Request{
		ID:       fmt.Sprint(n),
		Route:    &route.Route{Name: "r", Kind: route.Once, MaxAttempts: 3, Objective: time.Hour, GapObjective: time.Hour},
		Service:  &route.Service{Name: fmt.Sprint(n)},
		Arrived:  now,
		Deadline: now.Add(c.patience),
		Work:     quarantine.Work{Fingerprint: uint64(n)},
	}
	if c.repeatable {
		r.Route.Kind = route.Idempotent
	}
	if c.state.onEngine() {
		r.Route.Kind, r.Route.Resumable = route.Stream, c.repeatable
		r.Service.Engine = &cost.Figures{Slots: 4, StepMs: 100}
		r.PromptTokens, r.MaxTokens = 100, int(leavingDecode/(100*time.Millisecond))
	}
	return r
}

// play runs the cases beside a shutdown that begins at a time after the start.
func (w *leavingWorld) play(signal, grace time.Duration) shutdown.Times {
	var wg sync.WaitGroup
	for n, c := range w.cases {
		wg.Go(func() {
			time.Sleep(c.arrives)
			c.refusal = w.relay.Run(context.Background(), w.request(n), &c.sink)
			c.ended = time.Now()
		})
	}
	time.Sleep(signal)
	times := shutdown.TimesOf(time.Now(), grace)
	w.relay.opts.Shutdown.Begin(times)
	wg.Wait()
	time.Sleep(time.Minute) // until the checks of upstreams have ended
	return times
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
		if c.state == waitsForTurn && at.After(begun) && at.Add(leavingDecode).After(t.End) {
			return "it was sent though it cannot be served in time"
		}
	}
	if len(c.sends) == 0 || c.state == declined || c.state == connecting {
		return c.checkNotRun(t, known, arrived.Add(c.takes), deadline)
	}
	return c.checkRun(t, deadline)
}

// checkRun checks the end of a request that a server was at work on.
func (c *leavingCase) checkRun(t shutdown.Times, deadline time.Time) string {
	until := t.End
	if deadline.Before(until) {
		until = deadline
	}
	wholeAt := c.sends[len(c.sends)-1].Add(c.takes)
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
