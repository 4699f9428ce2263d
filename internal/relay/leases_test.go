package relay

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/buckthorndock/buckthorndock/internal/core/booking"
	"github.com/buckthorndock/buckthorndock/internal/core/fleet"
)

// newLeases returns taken leases on two engines beside the first of the plan.
func newLeases(t *testing.T, s *script) *leases {
	t.Helper()
	s.leases = map[string]bool{}
	part := func(id string) booking.Part {
		return booking.Part{Upstream: id, Life: fleet.Incarnation{Name: id, Born: 10}, Address: id + ":1", Lease: "l-" + id, Reserve: 5}
	}
	l := &leases{
		sender: s, log: logrus.NewEntry(logrus.New()), first: part("first"),
		held: []booking.Part{part("e1"), part("e2")},
		over: func(booking.Part) bool { return false },
	}
	l.log.Logger.SetOutput(t.Output())
	if failed := l.take(t.Context()); failed != "" {
		t.Fatalf("%s gave nothing", failed)
	}
	return l
}

func TestLeasesAreNotRenewedForARunThatCannotGoOn(t *testing.T) {
	for name, c := range map[string]struct {
		script  *script
		over    string // engine of which the list says that its life has ended
		lost    string // engine that is found lost
		renewed bool
	}{
		"all live":                               {script: &script{}, renewed: true},
		"one look without an answer":             {script: &script{unreachable: 1}, renewed: true},
		"the engine that runs it is silent":      {script: &script{unreachable: 9}, lost: "first"},
		"it has started anew, as it says":        {script: &script{born: 20}, lost: "first"},
		"it has started anew, as is listed":      {script: &script{}, over: "first", lost: "first"},
		"a holder of memory has started anew":    {script: &script{}, over: "e2", lost: "e2"},
		"orders get no answer, the leases stand": {script: &script{noRenewals: true, born: 10}, renewed: true},
		"an engine knows no such lease":          {script: &script{noRenewals: true, gone: true}, lost: "e1", renewed: true},
	} {
		s := c.script
		l := newLeases(t, s)
		l.over = func(p booking.Part) bool { return p.Upstream == c.over }
		lost := l.renewOnce(t.Context())
		if (lost == nil) != (c.lost == "") || lost != nil && lost.part.Upstream != c.lost {
			t.Errorf("%s: %v, want %q lost", name, lost, c.lost)
		}
		if renewed := s.orders > len(l.held); renewed != c.renewed {
			t.Errorf("%s: %d orders", name, s.orders)
		}
	}
}

func TestNothingIsReleasedOnAnotherLife(t *testing.T) {
	s := &script{}
	l := newLeases(t, s)
	l.over = func(p booking.Part) bool { return p.Upstream == "e2" }
	l.releaseAll()
	if s.held() != 1 || !s.leases["l-e2"] {
		t.Errorf("still held: %v", s.leases)
	}
}

// TestPromptWhoseEngineDiesHoldsMemoryNoLonger is the pattern of an engine that goes dark
// while it reads a prompt of which others hold a part: its connection stays open, and no
// event comes.
func TestPromptWhoseEngineDiesHoldsMemoryNoLonger(t *testing.T) {
	f := newFixture(t, hang, answer(200, firstEvents+lastEvents))
	f.live("e1", "e2", "e3")
	f.script.unreachable = 9
	dark := onEngine("e1", "e2")
	dark.Parts[1].Reserve = 50
	dark.First = time.Hour // silence alone would not end it
	f.planner.plans = []booking.Plan{dark, onEngine("e3")}
	f.relay.leaseTimes = leaseTimes{renew: time.Millisecond, useBy: time.Hour}
	req := streamRequest(true)
	req.Route.Objective = time.Hour
	if refusal := f.relay.Run(t.Context(), req, &record{}); refusal != nil {
		t.Fatal(refusal)
	}
	for f.script.held() > 0 { // the release is an order of its own; the test's timeout bounds it
		time.Sleep(time.Millisecond)
	}
	if second := f.script.sent[1]; second.Upstream.ID != "e3" || f.script.orders != 1 {
		t.Errorf("moved to %s after %d orders", second.Upstream.ID, f.script.orders)
	}
}

func TestMemoryIsFreeSoonAfterARunEnds(t *testing.T) {
	const margin = 250 * time.Millisecond
	byLapse := leaseOrder + leaseLife
	if byLapse > leaseFreeBy-margin {
		t.Errorf("a run that ends with its engine holds memory for %s", byLapse)
	}
	byRelease := leaseOrder + leaseOrder // a renewal under way, then the release; looks end at once
	if byRelease > leaseFreeBy-margin {
		t.Errorf("a run that ends here holds memory for %s", byRelease)
	}
	if oneLost := 2*leaseRenew + 2*leaseOrder; oneLost > leaseLife {
		t.Errorf("a renewal that is lost loses the memory after %s", oneLost)
	}
}

func TestLostEngineIsNamed(t *testing.T) {
	lost := &lostError{part: booking.Part{Upstream: "e1"}, err: errLeaseGone}
	if !errors.Is(lost, errLeaseGone) || lost.Error() == "" {
		t.Errorf("got %v", lost)
	}
}

func TestIdleLeases(t *testing.T) {
	for name, c := range map[string]struct {
		unused      bool
		unreachable int
		leases      int
		idle        bool
		looks       int
	}{
		"unused":                    {unused: true, leases: 2, idle: true, looks: 1},
		"used":                      {leases: 2, looks: 1},
		"an answer at the last":     {unreachable: leaseLooks - 1, leases: 1, looks: leaseLooks},
		"an engine that is away":    {unreachable: leaseLooks, leases: 1, idle: true, looks: leaseLooks},
		"no memory was set aside":   {unused: true},
		"unused, after a lost look": {unused: true, unreachable: 1, leases: 1, idle: true, looks: 2},
	} {
		s := &script{unused: c.unused, unreachable: c.unreachable}
		l := &leases{sender: s, log: logrus.NewEntry(logrus.New()), held: make([]booking.Part, c.leases)}
		if got := l.idle(t.Context(), 0, 0); got != c.idle || s.looks != c.looks {
			t.Errorf("%s: idle %v after %d looks", name, got, s.looks)
		}
	}
}

func TestFirstEventEndsTheLookAtLeases(t *testing.T) {
	ctx, begun := context.WithCancel(t.Context())
	s := &script{unused: true}
	l := &leases{sender: s, log: logrus.NewEntry(logrus.New()), held: make([]booking.Part, 1)}
	begun()
	if l.idle(ctx, time.Hour, 0) || s.looks != 0 {
		t.Errorf("idle after %d looks", s.looks)
	}
}

func TestAttemptWithUnusedLeasesIsMoved(t *testing.T) {
	f := newFixture(t, hang, answer(200, firstEvents+lastEvents))
	f.live("e1", "e2", "e3")
	f.script.unused = true
	stuck := onEngine("e1", "e2")
	stuck.Parts[1].Reserve = 50
	stuck.First = time.Hour // silence alone would not end it
	f.planner.plans = []booking.Plan{stuck, onEngine("e3")}
	f.relay.leaseTimes.useBy = time.Millisecond
	req := streamRequest(true)
	req.Route.Objective = time.Hour
	if refusal := f.relay.Run(t.Context(), req, &record{}); refusal != nil {
		t.Fatal(refusal)
	}
	if len(f.script.sent) != 2 || f.script.sent[1].Upstream.ID != "e3" {
		t.Errorf("sent %+v", f.script.sent)
	}
}

func TestLooksEndBeforeMemoryIsIdleTooLong(t *testing.T) {
	longest := leaseOrder + leaseUseBy + leaseLooks*leaseOrder + (leaseLooks-1)*leaseLookGap + leaseOrder
	if longest > leaseIdleMost-500*time.Millisecond {
		t.Errorf("memory may be idle for %s", longest)
	}
}
