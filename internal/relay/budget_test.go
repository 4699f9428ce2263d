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

// pausing are engines that send the first events of a stream, and the last ones when told to.
type pausing struct{ goOn chan struct{} }

func (p pausing) answer(ctx context.Context, a Attempt) (*Answer, error) {
	r, w := io.Pipe()
	go func() {
		_, _ = w.Write([]byte(firstEvents))
		select {
		case <-ctx.Done():
			w.CloseWithError(ctx.Err())
		case <-p.goOn:
			_, _ = w.Write([]byte(lastEvents))
			_ = w.Close()
		}
	}()
	return answerFrom(200, r)(ctx, a)
}

// moveMore starts more streams than a daemon has repeats for, and moves all at once.
func moveMore(t *testing.T, move func(s *cutSite, streams []string)) {
	const streams = 3
	p := pausing{make(chan struct{})}
	s := newCutSite(t, p.answer, p.answer, p.answer, answer(200, lastEvents))
	s.relay.opts.Budget = func() BudgetOptions { return BudgetOptions{Window: time.Hour, Hosts: 1} } // leastRepeats
	s.planner.plans = []booking.Plan{onEngine("far1")}
	ends := make(chan *request.Refusal, streams)
	for range streams {
		go func() { ends <- s.relay.Run(t.Context(), streamRequest(true), &record{}) }()
	}
	writing := func() []*attempt { return s.relay.running.of(func(a *attempt) bool { return a.begun.Load() }) }
	for len(writing()) < streams {
		time.Sleep(time.Millisecond)
	}
	move(s, []string{writing()[0].id})
	if refusal := <-ends; refusal != nil {
		t.Errorf("the first to end was cut: %v", refusal)
	}
	close(p.goOn)
	for range streams - 1 {
		if refusal := <-ends; refusal != nil {
			t.Errorf("cut: %v", refusal)
		}
	}
	if sends := len(s.script.sent); sends != streams+leastRepeats {
		t.Errorf("%d sends", sends)
	}
}

// TestMoveTakesItsRepeatFirst is the pattern of a cut behind which a daemon has more streams
// than repeats left: those that cannot be repeated stay, for their engines may come back.
func TestMoveTakesItsRepeatFirst(t *testing.T) {
	moveMore(t, func(s *cutSite, _ []string) { s.relay.moveFrom("far") })
}

// TestDisplacedStreamsStayWithoutARepeat is the pattern of a long prompt that is read where
// more streams write than may be repeated: the others only pause.
func TestDisplacedStreamsStayWithoutARepeat(t *testing.T) {
	moveMore(t, func(s *cutSite, streams []string) {
		if moved := s.relay.Displace(streams); moved != 1 {
			t.Errorf("%d moved", moved)
		}
	})
}

// TestDisplacedStreamGoesOnAndBlamesNobody: its engine is sound, and is ruled out for this
// request only; the time to its next event is what is left of the pause that it bears.
func TestDisplacedStreamGoesOnAndBlamesNobody(t *testing.T) {
	p := pausing{make(chan struct{})}
	s := newCutSite(t, p.answer, answer(200, lastEvents))
	s.planner.plans = []booking.Plan{onEngine("far1"), onEngine("near1")}
	ends := make(chan *request.Refusal)
	sink := &record{}
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
	if avoided := s.relay.failing(); len(avoided) != 0 {
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

// TestDisplacedStreamsLeaveRepeatsToFailures is the pattern of long prompts that follow each
// other while engines fail: streams that only pause leave half of the repeats to those that
// would be lost.
func TestDisplacedStreamsLeaveRepeatsToFailures(t *testing.T) {
	const streams = 4
	p := pausing{make(chan struct{})}
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
		go func() { ends <- s.relay.Run(t.Context(), req, &record{}) }()
	}
	for len(s.relay.running.of(func(a *attempt) bool { return a.begun.Load() })) < streams {
		time.Sleep(time.Millisecond)
	}
	if moved := s.relay.Displace(names); moved != streams/2 {
		t.Errorf("%d of %d were displaced", moved, streams)
	}
	stay := func(a *attempt) bool { return a.begun.Load() && slices.Contains(names, a.id) }
	for len(s.relay.running.of(stay)) > streams/2 { // the others have left
		time.Sleep(time.Millisecond)
	}
	if moved := s.relay.moveFrom("far"); moved < streams/2 {
		t.Errorf("%d were moved from behind the cut", moved)
	}
	close(p.goOn)
	for range streams {
		if refusal := <-ends; refusal != nil {
			t.Errorf("cut: %v", refusal)
		}
	}
}

// TestRepeatsOfAllDaemonsStayWithinTheSlack guards against parts that are rounded up: with more
// daemons than the slack has repeats, one for each is too many.
func TestRepeatsOfAllDaemonsStayWithinTheSlack(t *testing.T) {
	const slack = 1000
	for _, hosts := range []int{1, 10, 100, 500, 985, 1970, 3940} {
		all, none := 0, 0
		for i := range hosts {
			r := &Relay{draw: drawOf(fmt.Sprint("host-", i))}
			n := r.floor(BudgetOptions{Slack: slack, Hosts: hosts})
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
