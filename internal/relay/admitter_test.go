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

func newTestAdmitter(t *testing.T) *Admitter {
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
		t.Fatal("the routing table was rejected")
	}
	return d
}

// TestLeavingDaemonServesWhatItCanFinish guards against unnecessary refusals while daemons
// are stopped one after the other: if one of the three in a failure domain is leaving, one
// has just started and one is unreachable, the balancer sends requests to all three, and a
// caller that is refused may be refused again.
func TestLeavingDaemonServesWhatItCanFinish(t *testing.T) {
	for _, c := range []struct {
		path     string
		answer   int
		left     time.Duration // until the daemon ends
		admitted bool
	}{
		{"/s/x", 1600, 5 * time.Second, true}, // decoding takes 1.6 s
		{"/s/x", 1600, 2 * time.Second, false},
		{"/s/x", 0, 5 * time.Second, true}, // the usual answer
		{"/s/x", 40_000, 5 * time.Second, false},
		{"/s/x", 40_000, 11 * time.Second, true}, // its deadline comes first
		{"/l/x", 800, 5 * time.Second, false},    // its prefill may be late
		{"/c/x", 0, 3 * time.Second, true},
		{"/c/x", 0, time.Second, false},
	} {
		d := newTestAdmitter(t)
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

// TestCallsWaitForStartingDaemon guards against refusals after all daemons died at once:
// callers arrive before the first of them knows settings and upstreams.
func TestCallsWaitForStartingDaemon(t *testing.T) {
	d := newTestAdmitter(t)
	waited := make(chan struct{})
	go func() {
		d.AwaitReady(t.Context())
		close(waited)
	}()
	d.MarkReady()
	<-waited
	d.MarkReady() // repeated, as after each update of the list
	old := newTestAdmitter(t)
	old.startedAt = time.Now().Add(-startPeriod)
	old.AwaitReady(t.Context()) // returns at once; the test's timeout bounds it
	gone, cancel := context.WithCancel(t.Context())
	cancel()
	newTestAdmitter(t).AwaitReady(gone)
}
