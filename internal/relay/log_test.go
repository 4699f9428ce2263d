package relay

import (
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"

	"github.com/buckthorndock/buckthorndock/internal/core/booking"
	"github.com/buckthorndock/buckthorndock/internal/core/request"
)

// TestRefusalLogsPlanFigures checks that the last log line of a request that was never sent
// contains the figures of its last plan.
func TestRefusalLogsPlanFigures(t *testing.T) {
	f := newFixture(t)
	log, hook := test.NewNullLogger()
	f.relay.log = logrus.NewEntry(log)
	f.planner.plans = []booking.Plan{
		{Verdict: booking.Yield, First: 9 * time.Second, Engines: 7},
		{Verdict: booking.TooLate, First: 12 * time.Second, Backlog: 300 * time.Millisecond, Engines: 7},
	}
	refusal := f.relay.Run(t.Context(), streamRequest(true), &recordingSink{})
	if refusal == nil || refusal.Outcome != request.NotRun {
		t.Fatalf("got %v", refusal)
	}
	line := hook.LastEntry()
	want := logrus.Fields{
		"plan": "too_late/", "asked": 2, "engines": 7,
		"expected_ms": int64(12_000), "backlog_ms": int64(300), "outcome": string(request.NotRun),
	}
	for key, value := range want {
		if line == nil || line.Data[key] != value {
			t.Errorf("%s is %v, want %v", key, line.Data[key], value)
		}
	}
}
