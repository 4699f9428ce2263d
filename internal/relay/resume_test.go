package relay

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/core/booking"
	"github.com/buckthorndock/buckthorndock/internal/core/request"
	"github.com/buckthorndock/buckthorndock/internal/core/route"
)

// TestResumedStreamPassesEachEventOnce guards against events that a caller gets twice, or does not get, because the
// next server goes on at the last event, anew, or later.
func TestResumedStreamPassesEachEventOnce(t *testing.T) {
	const whole = firstEvents + lastEvents + "id: 4\ndata: d\n\n"
	first := firstEvents + lastEvents + "id: 4\nda"
	last := "id: 4\ndata: d\n\n"
	for name, runs := range map[string][]string{
		"after":                      {last},
		"at":                         {lastEvents + last},
		"anew":                       {whole},
		"later":                      {"id: 5\ndata: e\n\n", last},
		"ends before the last event": {firstEvents, last},
	} {
		f := newFixture(t, answerFrom(200, brokenBody(first)))
		for _, run := range runs {
			f.script.steps = append(f.script.steps, answer(200, run))
		}
		f.listEngines("e1", "e2", "e3")
		f.planner.plans = []booking.Plan{onEngine("e1"), onEngine("e2"), onEngine("e3")}
		sink, req := &recordingSink{}, streamRequest(true)
		req.Route.MaxAttempts = 3
		if refusal := f.relay.Run(t.Context(), req, sink); refusal != nil {
			t.Errorf("%s: %v", name, refusal)
		}
		if got := sink.body.String(); got != whole || len(f.script.sent) != 1+len(runs) {
			t.Errorf("%s: the caller got %q after %d sends", name, got, len(f.script.sent))
		}
	}
}

// TestStreamWithoutIDsIsNotBegunAnew guards against a stream whose next run repeats all of it: no ID tells
// that run where to go on.
func TestStreamWithoutIDsIsNotBegunAnew(t *testing.T) {
	for name, events := range map[string]string{"none": "data: a\n\n", "not the last": firstEvents + "data: c\n\n"} {
		f := newFixture(t, answerFrom(200, brokenBody(events)), answer(200, events))
		f.listEngines("e1", "e2")
		f.planner.plans = []booking.Plan{onEngine("e1"), onEngine("e2")}
		sink := &recordingSink{}
		refusal := f.relay.Run(t.Context(), streamRequest(true), sink)
		if refusal == nil || refusal.Outcome == request.NotRun || sink.body.String() != events || len(f.script.sent) != 1 {
			t.Errorf("%s: got %q after %d sends, %v", name, sink.body.String(), len(f.script.sent), refusal)
		}
	}
}

// TestCommentsDoNotKeepAStreamFromBeingResumed covers events that are no pieces of the answer.
func TestCommentsDoNotKeepAStreamFromBeingResumed(t *testing.T) {
	f := newFixture(t, answerFrom(200, brokenBody(firstEvents+": waits\n\n")), answer(200, ": waits\n\n"+lastEvents))
	f.listEngines("e1", "e2")
	f.planner.plans = []booking.Plan{onEngine("e1"), onEngine("e2")}
	sink := &recordingSink{}
	if refusal := f.relay.Run(t.Context(), streamRequest(true), sink); refusal != nil {
		t.Fatal(refusal)
	}
	if got := sink.body.String(); got != firstEvents+": waits\n\n: waits\n\n"+lastEvents {
		t.Errorf("the caller got %q", got)
	}
}

// TestEndOfTheConnectionIsBelievedOfAServerThatLives guards against a stream without framing that counts as whole when its
// server has died, and against a second run where the server lives on.
func TestEndOfTheConnectionIsBelievedOfAServerThatLives(t *testing.T) {
	unframed := func(ctx context.Context, a Attempt) (*Answer, error) {
		got, err := answer(200, firstEvents)(ctx, a)
		got.Framing = FramedByConnection
		return got, err
	}
	for _, c := range []struct {
		name  string
		lives map[string]Identity
		sends int
		want  string
	}{
		{"lives", map[string]Identity{"e1": {Name: "e1"}}, 1, firstEvents},
		{"another has its address", map[string]Identity{"e1": {Other: true, Name: "e9"}}, 2, firstEvents + lastEvents},
		{"does not answer", nil, 2, firstEvents + lastEvents},
	} {
		f := newFixture(t, unframed, answer(200, lastEvents))
		f.recordReplaced()
		f.listEngines("e1", "e2")
		f.script.identities = c.lives
		f.planner.plans = []booking.Plan{onEngine("e1"), onEngine("e2")}
		sink := &recordingSink{}
		refusal := f.relay.Run(t.Context(), streamRequest(true), sink)
		if got := sink.body.String(); refusal != nil || got != c.want || len(f.script.sent) != c.sends {
			t.Errorf("%s: got %q after %d sends, %v", c.name, got, len(f.script.sent), refusal)
		}
	}
}

// TestAnswerThatEndsAtItsDeadlineIsNotWhole guards against an answer that its server ends in good form because its
// time is over.
func TestAnswerThatEndsAtItsDeadlineIsNotWhole(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const patience = 5 * time.Second
		for name, early := range map[string]time.Duration{"before": 2 * time.Millisecond, "at": 0} {
			for kind, req := range map[string]*Request{"stream": streamRequest(false), "call": plainRequest(route.Once, patience)} {
				req.Deadline = time.Now().Add(patience + time.Millisecond/2)
				f := newFixture(t, answerFrom(200, slowEnd{strings.NewReader(firstEvents), patience - early}))
				f.listEngines("e1")
				f.planner.plans = []booking.Plan{onEngine("e1")}
				refusal := f.relay.Run(t.Context(), req, &recordingSink{})
				if whole := refusal == nil; whole != (early > 0) {
					t.Errorf("%s, %s the deadline: whole %v", kind, name, whole)
				}
			}
		}
		time.Sleep(time.Minute) // until all checks have ended
	})
}

// TestAnswerInDoubtHasNoLength guards against an answer that looks whole to its caller, as its length is told and
// all of it comes, though its server may have ended it because its time was over.
func TestAnswerInDoubtHasNoLength(t *testing.T) {
	const body = "answer"
	synctest.Test(t, func(t *testing.T) {
		const patience = 5 * time.Second
		for _, status := range []int{http.StatusOK, http.StatusNotFound, http.StatusInternalServerError} {
			for name, early := range map[string]time.Duration{"before": 2 * time.Millisecond, "at": 0} {
				req := plainRequest(route.Once, patience)
				req.Deadline = time.Now().Add(patience + time.Millisecond/2)
				f := newFixture(t, answerFrom(status, slowEnd{strings.NewReader(body), patience - early}))
				f.listEngines("e1")
				sink := &recordingSink{}
				refusal := f.relay.Run(t.Context(), req, sink)
				framed := sink.heads > 0 && sink.length == int64(len(body)) && sink.body.String() == body
				if sound := early > 0; framed != sound || !sound && refusal == nil {
					t.Errorf("%d, %s the deadline: %d heads, length %d, %q, %v", status, name, sink.heads, sink.length, &sink.body, refusal)
				}
			}
		}
		time.Sleep(time.Minute) // until all checks have ended
	})
}

// slowEnd is a body whose end comes after a time.
type slowEnd struct {
	io.Reader
	after time.Duration
}

func (s slowEnd) Read(p []byte) (int, error) {
	n, err := s.Reader.Read(p)
	if err == io.EOF {
		time.Sleep(s.after)
	}
	return n, err
}

// TestResumptionAtOtherWeightsIsTold guards against text of two versions of the weights that looks like that
// of one.
func TestResumptionAtOtherWeightsIsTold(t *testing.T) {
	const field = "weight-versions"
	at := func(version string, next func(context.Context, Attempt) (*Answer, error)) func(context.Context, Attempt) (*Answer, error) {
		return func(ctx context.Context, a Attempt) (*Answer, error) {
			got, err := next(ctx, a)
			got.Weights, got.WeightsField = version, field
			return got, err
		}
	}
	const changes = "id: 1\ndata: a\n\n" + field + ": 2\nid: 2\ndata: b\n\n"
	for _, c := range []struct{ name, first, then, rest, before string }{
		{"the same", "1", "1", lastEvents, ""},
		{"another", "1", "2", lastEvents, field + ": 2\n"},
		{"not told", "1", "", lastEvents, ""},
		{"another, anew", "1", "2", firstEvents + lastEvents, field + ": 2\n"},
		{"changes in a repeated event", "1", "1", changes + lastEvents, field + ": 2\n"},
	} {
		f := newFixture(t, at(c.first, answerFrom(200, brokenBody(firstEvents))), at(c.then, answer(200, c.rest)))
		f.listEngines("e1", "e2")
		f.planner.plans = []booking.Plan{onEngine("e1"), onEngine("e2")}
		sink := &recordingSink{}
		if refusal := f.relay.Run(t.Context(), streamRequest(true), sink); refusal != nil {
			t.Errorf("%s: %v", c.name, refusal)
		}
		if got, want := sink.body.String(), firstEvents+c.before+lastEvents; got != want {
			t.Errorf("%s: got %q, want %q", c.name, got, want)
		}
	}
}

// TestCommentBeforeTheFirstEventIsNoLateEvent guards against a stream that counts as late beyond all bounds, where a
// comment has come and no event yet.
func TestCommentBeforeTheFirstEventIsNoLateEvent(t *testing.T) {
	f := newFixture(t, answerFrom(200, brokenBody(": waits\n\n")), answer(200, firstEvents))
	f.listEngines("e1", "e2")
	f.planner.plans = []booking.Plan{onEngine("e1"), onEngine("e2")}
	if refusal := f.relay.Run(t.Context(), streamRequest(true), &recordingSink{}); refusal != nil {
		t.Fatal(refusal)
	}
	if left := f.planner.asks[1].Objective; left < -time.Minute {
		t.Errorf("the next event is late by %s", -left)
	}
}
