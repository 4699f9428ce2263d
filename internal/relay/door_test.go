package relay

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/buckthorndock/buckthorndock/internal/core/cost"
	"github.com/buckthorndock/buckthorndock/internal/core/request"
	"github.com/buckthorndock/buckthorndock/internal/core/route"
)

func newDoor(t *testing.T) *Admitter {
	t.Helper()
	routes := []route.Route{
		{Name: "stream", Host: "h", Prefix: "/s/", Kind: route.Stream, Resumable: true, Timeout: 10 * time.Second,
			Objective: 300 * time.Millisecond, Targets: []route.Target{{Service: "llm", Weight: 1}}, MaxAttempts: 2, Anonymous: true},
		{Name: "long", Host: "h", Prefix: "/l/", Kind: route.Stream, Resumable: true, Timeout: 15 * time.Second,
			Objective: 3 * time.Second, Targets: []route.Target{{Service: "llm", Weight: 1}}, MaxAttempts: 2, Anonymous: true},
		{Name: "call", Host: "h", Prefix: "/c/", Kind: route.Once, Timeout: 2 * time.Second,
			Targets: []route.Target{{Service: "shop", Weight: 1}}, MaxAttempts: 1, Anonymous: true},
	}
	engine := &cost.Figures{Slots: 16, Stride: 46, StepMs: 0.925, PerSeqMs: 0.005, PrefillTokensPerMs: 256, UsualPrompt: 13_000, UsualAnswer: 1500}
	table, found := route.NewTable(route.Spec{Version: 1, Routes: routes, Services: []route.Service{{Name: "llm", Engine: engine}, {Name: "shop"}}})
	if len(found) > 0 {
		t.Fatal(found)
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	d := NewAdmitter(newFixture(t).relay, logrus.NewEntry(log))
	if !d.SetTable(table) {
		t.Fatal("the table was not taken")
	}
	return d
}

// TestLeavingDaemonServesWhatItCanFinish is the pattern of daemons that are stopped one
// after the other while the balancer has no better choice: of three in a failure domain one
// leaves, one has just started and one cannot be reached. Its balancer sends requests to all
// three then, and a refusal sends callers to one that may refuse as well.
func TestLeavingDaemonServesWhatItCanFinish(t *testing.T) {
	for _, c := range []struct {
		path     string
		answer   int
		left     time.Duration // until the daemon ends
		admitted bool
	}{
		{"/s/x", 1600, 5 * time.Second, true}, // it writes for 1.6 s
		{"/s/x", 1600, 2 * time.Second, false},
		{"/s/x", 0, 5 * time.Second, true}, // the usual answer
		{"/s/x", 40_000, 5 * time.Second, false},
		{"/s/x", 40_000, 11 * time.Second, true}, // its deadline comes first
		{"/l/x", 800, 5 * time.Second, false},    // it may be read late
		{"/c/x", 0, 3 * time.Second, true},
		{"/c/x", 0, time.Second, false},
	} {
		d := newDoor(t)
		now := time.Now()
		d.SetShutdownDeadline(now.Add(c.left))
		req, refusal := d.Admit(&Call{ID: "r", Path: c.path, URI: c.path, Host: "h", PromptTokens: 5000, MaxTokens: c.answer, Arrived: now})
		if admitted := refusal == nil; admitted != c.admitted || admitted == (req == nil) {
			t.Errorf("%s with %d tokens, %s left: %v", c.path, c.answer, c.left, refusal)
		}
		if refusal != nil && (refusal.Code != request.CodeLeaving || refusal.RetryAfter <= 0) {
			t.Errorf("refused as %+v", refusal)
		}
	}
}

// TestCallMeetsADaemonThatHasJustStarted is the pattern of all daemons dying at once: callers
// come before the first of them knows settings and upstreams.
func TestCallMeetsADaemonThatHasJustStarted(t *testing.T) {
	d := newDoor(t)
	waited := make(chan struct{})
	go func() {
		d.AwaitReady(t.Context())
		close(waited)
	}()
	d.MarkReady()
	<-waited
	d.MarkReady() // again, as each list does
	old := newDoor(t)
	old.begun = time.Now().Add(-startSpan)
	old.AwaitReady(t.Context()) // ends at once: the test's timeout bounds it
	gone, cancel := context.WithCancel(t.Context())
	cancel()
	newDoor(t).AwaitReady(gone)
}
