package relay

import (
	"context"
	"testing"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/core/booking"
	"github.com/buckthorndock/buckthorndock/internal/core/fleet"
	"github.com/buckthorndock/buckthorndock/internal/core/request"
	"github.com/buckthorndock/buckthorndock/internal/core/route"
)

// endsDuring returns a step that hangs and meanwhile reports that the incarnation of an
// upstream has ended.
func endsDuring(f **fixture, id string) func(context.Context, Attempt) (*Answer, error) {
	return func(ctx context.Context, a Attempt) (*Answer, error) {
		(*f).relay.UpstreamReplaced(fleet.Upstream{ID: id}, fleet.Upstream{ID: id + "@2"})
		return hang(ctx, a)
	}
}

func TestStreamOfEndedUpstreamResumesElsewhere(t *testing.T) {
	var f *fixture
	f = newFixture(t, endsDuring(&f, "e1"), answer(200, firstEvents+lastEvents))
	f.listEngines("e1", "e2")
	f.planner.plans = []booking.Plan{onEngine("e1"), onEngine("e2")}
	if refusal := f.relay.Run(t.Context(), streamRequest(true), &recordingSink{}); refusal != nil {
		t.Fatal(refusal)
	}
	if len(f.script.sent) != 2 || len(f.relay.running.members) != 0 {
		t.Errorf("%d sends, still noted: %v", len(f.script.sent), f.relay.running.members)
	}
}

func TestOnceRequestOnEndedUpstreamIsUnknown(t *testing.T) {
	var f *fixture
	f = newFixture(t, endsDuring(&f, "s1"))
	refusal := f.relay.Run(t.Context(), plainRequest(route.Once, time.Hour), &recordingSink{})
	if refusal == nil || refusal.Outcome != request.Unknown || len(f.script.sent) != 1 {
		t.Errorf("got %v after %d sends", refusal, len(f.script.sent))
	}
}

func TestOtherUpstreamsAreUnaffected(t *testing.T) {
	var f *fixture
	f = newFixture(t, func(ctx context.Context, a Attempt) (*Answer, error) {
		f.relay.UpstreamReplaced(fleet.Upstream{ID: "e9"}, fleet.Upstream{ID: "e9@2"})
		return answer(200, firstEvents)(ctx, a)
	})
	f.listEngines("e1")
	f.planner.plans = []booking.Plan{onEngine("e1")}
	if refusal := f.relay.Run(t.Context(), streamRequest(true), &recordingSink{}); refusal != nil || len(f.script.sent) != 1 {
		t.Errorf("got %v after %d sends", refusal, len(f.script.sent))
	}
}

// TestUnlistedEngineIsExcluded covers a keeper whose list is older: it would plan the same
// engine repeatedly.
func TestUnlistedEngineIsExcluded(t *testing.T) {
	f := newFixture(t, answer(200, firstEvents))
	f.listEngines("e2")
	f.planner.plans = []booking.Plan{onEngine("e1"), onEngine("e2")}
	if refusal := f.relay.Run(t.Context(), streamRequest(true), &recordingSink{}); refusal != nil {
		t.Fatal(refusal)
	}
	if asks := f.planner.asks; len(asks) != 2 || len(asks[1].Exclude) != 1 || asks[1].Exclude[0] != "e1" {
		t.Errorf("asked %+v", asks)
	}
}
