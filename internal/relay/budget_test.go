package relay

import (
	"context"
	"fmt"
	"io"
	"slices"
	"testing"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/core/booking"
	"github.com/buckthorndock/buckthorndock/internal/core/request"
)

// pausingEngine sends the first events of a stream, and the last ones once resume is closed.
type pausingEngine struct{ resume chan struct{} }

func (p pausingEngine) answer(ctx context.Context, a Attempt) (*Answer, error) {
	r, w := io.Pipe()
	go func() {
		_, _ = w.Write([]byte(firstEvents))
		select {
		case <-ctx.Done():
			w.CloseWithError(ctx.Err())
		case <-p.resume:
			_, _ = w.Write([]byte(lastEvents))
			_ = w.Close()
		}
	}()
	return answerFrom(200, r)(ctx, a)
}

// testMovesWithinBudget starts more streams than the daemon has repeats for, moves all at
// once, and checks that only minRepeats move while the others complete.
func testMovesWithinBudget(t *testing.T, move func(s *cutSite, streams []string)) {
	const streams = 3
	p := pausingEngine{make(chan struct{})}
	s := newCutSite(t, p.answer, p.answer, p.answer, answer(200, lastEvents))
	s.relay.opts.Budget = func() BudgetOptions { return BudgetOptions{Window: time.Hour, Hosts: 1} } // minRepeats apply
	s.planner.plans = []booking.Plan{onEngine("far1")}
	ends := make(chan *request.Refusal, streams)
	for range streams {
		go func() { ends <- s.relay.Run(t.Context(), streamRequest(true), &recordingSink{}) }()
	}
	writing := func() []*attempt { return s.relay.running.filter(func(a *attempt) bool { return a.streaming.Load() }) }
	for len(writing()) < streams {
		time.Sleep(time.Millisecond)
	}
	move(s, []string{writing()[0].id})
	if refusal := <-ends; refusal != nil {
		t.Errorf("the first to end was cut: %v", refusal)
	}
	close(p.resume)
	for range streams - 1 {
		if refusal := <-ends; refusal != nil {
			t.Errorf("cut: %v", refusal)
		}
	}
	if sends := len(s.script.sent); sends != streams+minRepeats {
		t.Errorf("%d sends", sends)
	}
}

// TestMoveTakesRepeatBeforeCancelling covers a network cut behind which a daemon has more
// streams than repeats left: streams for which no repeat is left are not cancelled, because
// their engines may come back.
func TestMoveTakesRepeatBeforeCancelling(t *testing.T) {
	testMovesWithinBudget(t, func(s *cutSite, _ []string) { s.relay.moveAttemptsFrom("far") })
}

// TestDisplacedStreamsStayWithoutARepeat covers the prefill of a long prompt on an engine
// with more streams than may be repeated: the others only pause.
func TestDisplacedStreamsStayWithoutARepeat(t *testing.T) {
	testMovesWithinBudget(t, func(s *cutSite, streams []string) {
		if moved := s.relay.Displace(streams); moved != 1 {
			t.Errorf("%d streams moved, want 1", moved)
		}
	})
}

// TestDisplacedStreamResumesWithoutBlame checks that the healthy engine of a displaced
// stream is excluded for this request only, and that the time to the next event is what is
// left of the stream's gap objective.
func TestDisplacedStreamResumesWithoutBlame(t *testing.T) {
	p := pausingEngine{make(chan struct{})}
	s := newCutSite(t, p.answer, answer(200, lastEvents))
	s.planner.plans = []booking.Plan{onEngine("far1"), onEngine("near1")}
	ends := make(chan *request.Refusal)
	sink := &recordingSink{}
	req := streamRequest(true)
	go func() { ends <- s.relay.Run(t.Context(), req, sink) }()
	for s.relay.Displace([]string{"h1/r1/1"}) == 0 {
		time.Sleep(time.Millisecond)
	}
	if refusal := <-ends; refusal != nil {
		t.Fatal(refusal)
	}
	if got := sink.body.String(); got != firstEvents+lastEvents {
		t.Errorf("the caller got %q", got)
	}
	if avoided := s.relay.failedRecently(); len(avoided) != 0 {
		t.Errorf("avoided %v", avoided)
	}
	again := s.planner.asks[1]
	if len(again.Exclude) != 1 || again.Exclude[0] != "far1" || !again.Begun {
		t.Errorf("asked %+v", again)
	}
	if again.Objective > req.Route.GapObjective {
		t.Errorf("%s until the next event is late", again.Objective)
	}
}

// TestDisplacedStreamsLeaveRepeatsToFailures covers long prompts that follow each other
// while engines fail: streams that would only pause leave half of the repeats to those that
// would be lost.
func TestDisplacedStreamsLeaveRepeatsToFailures(t *testing.T) {
	const streams = 4
	p := pausingEngine{make(chan struct{})}
	s := newCutSite(t)
	for range 2 * streams {
		s.script.steps = append(s.script.steps, p.answer)
	}
	s.relay.opts.Budget = func() BudgetOptions {
		return BudgetOptions{Window: time.Hour, Slack: (streams + 0.5) / budgetShare, Hosts: 1}
	}
	s.planner.plans = []booking.Plan{onEngine("far1")}
	ends := make(chan *request.Refusal, streams)
	var names []string
	for i := range streams {
		req := streamRequest(true)
		req.ID = fmt.Sprint("r", i)
		names = append(names, "h1/"+req.ID+"/1")
		go func() { ends <- s.relay.Run(t.Context(), req, &recordingSink{}) }()
	}
	for len(s.relay.running.filter(func(a *attempt) bool { return a.streaming.Load() })) < streams {
		time.Sleep(time.Millisecond)
	}
	if moved := s.relay.Displace(names); moved != streams/2 {
		t.Errorf("%d of %d were displaced", moved, streams)
	}
	stay := func(a *attempt) bool { return a.streaming.Load() && slices.Contains(names, a.id) }
	for len(s.relay.running.filter(stay)) > streams/2 { // the others have been cancelled
		time.Sleep(time.Millisecond)
	}
	if moved := s.relay.moveAttemptsFrom("far"); moved < streams/2 {
		t.Errorf("%d were moved away from the cut domain", moved)
	}
	close(p.resume)
	for range streams {
		if refusal := <-ends; refusal != nil {
			t.Errorf("cut: %v", refusal)
		}
	}
}

// TestRepeatsOfAllDaemonsStayWithinTheSlack guards against shares that are rounded up: with
// more daemons than the slack has repeats, one for each is too many.
func TestRepeatsOfAllDaemonsStayWithinTheSlack(t *testing.T) {
	const slack = 1000
	for _, hosts := range []int{1, 10, 100, 500, 985, 1970, 3940} {
		all, none := 0, 0
		for i := range hosts {
			r := &Relay{hostFraction: hashFraction(fmt.Sprint("host-", i))}
			n := r.repeatFloor(BudgetOptions{Slack: slack, Hosts: hosts})
			all += n
			if n == 0 {
				none++
			}
		}
		if all > slack || hosts <= slack && none > 0 {
			t.Errorf("%d daemons: %d repeats of %d, %d have none", hosts, all, slack, none)
		}
		if all < slack/2 {
			t.Errorf("%d daemons: only %d repeats of %d", hosts, all, slack)
		}
	}
}
