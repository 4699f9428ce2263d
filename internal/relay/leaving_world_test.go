package relay

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/ansel1/merry/v2"

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
	switch c.state {
	case waitsForTurn:
		p.Wait, p.First = c.takes, c.takes
	case beginning:
		p.First = leavingFirst
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
	case beginning:
		return answerFrom(200, &slowStream{ctx: ctx, first: c.takes, left: leavingDecode})(ctx, a)
	case passing:
		start := strings.NewReader(strings.Repeat("x", maxHeldAnswer+1))
		return answerFrom(200, &slowStream{ctx: ctx, start: start, left: c.takes})(ctx, a)
	case resuming:
		return answerFrom(200, brokenBody(firstEvents))(ctx, a)
	}
	return answerFrom(200, &slowStream{ctx: ctx, left: c.takes})(ctx, a)
}

// slowStream is an answer whose first and last parts come after a time each.
type slowStream struct {
	ctx   context.Context
	first time.Duration
	left  time.Duration
	start *strings.Reader // the first part; nil: firstEvents
	begun bool
	rest  *strings.Reader
}

func (s *slowStream) Read(p []byte) (int, error) {
	if !s.begun {
		if err := s.wait(s.first); err != nil {
			return 0, err
		}
		s.begun = true
		if s.start == nil {
			s.start = strings.NewReader(firstEvents)
		}
	}
	if s.start.Len() > 0 {
		return s.start.Read(p)
	}
	if s.rest == nil {
		if err := s.wait(s.left); err != nil {
			return 0, err
		}
		s.rest = strings.NewReader(lastEvents)
	}
	return s.rest.Read(p)
}

func (s *slowStream) wait(d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-s.ctx.Done():
		return s.ctx.Err()
	}
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
		r.Route.Objective = leavingObjective
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
