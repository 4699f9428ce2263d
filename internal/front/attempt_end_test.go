package front

import (
	"context"
	"testing"

	"github.com/buckthorndock/buckthorndock/internal/core/placement"
	"github.com/buckthorndock/buckthorndock/internal/core/request"
	"github.com/buckthorndock/buckthorndock/internal/core/retry"
	"github.com/buckthorndock/buckthorndock/internal/upstream"
)

// A dispatch after its permit has expired does not change the upstream's state, and no
// other upstream is tried: the test's jobs have no server, so either would panic.
func TestDispatchAfterPermitExpired(t *testing.T) {
	late := &upstream.NotSentError{Err: upstream.ErrNotPermitted}
	j := &job{req: &request.Request{ID: "r"}}
	call := &serviceCall{job: j, attempt: 1}
	got := call.decideNext(context.Background(), placement.Decision{}, late)
	if got.Outcome != request.NotRun || got.RetryAfter == 0 {
		t.Errorf("call: %v", got)
	}
	g := &generation{job: j, attempt: 1}
	d := g.decideNext(context.Background(), nil, streamEnd{end: retry.NotWritten, err: late})
	if d.Action != retry.GiveUp || d.Refusal.Outcome != request.NotRun {
		t.Errorf("generation: %v %v", d.Action, d.Refusal)
	}
}

func TestCallerGoneOutcome(t *testing.T) {
	for repeatable, want := range map[bool]request.Outcome{true: request.Failed, false: request.Unknown} {
		g := &generation{job: &job{req: &request.Request{Repeatable: repeatable}}}
		if d := g.decideNext(context.Background(), nil, streamEnd{callerGone: true}); d.Refusal.Outcome != want {
			t.Errorf("repeatable %v: %s", repeatable, d.Refusal.Outcome)
		}
	}
}
