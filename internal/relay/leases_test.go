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

// newLeases returns reserved leases on two engines besides the first of the plan.
func newLeases(t *testing.T, s *script) *leases {
	t.Helper()
	s.leases = map[string]bool{}
	part := func(id string) booking.Part {
		return booking.Part{Upstream: id, Life: fleet.Incarnation{Name: id, Born: 10}, Address: id + ":1", Lease: "l-" + id, Reserve: 5}
	}
	l := &leases{
		sender: s, log: logrus.NewEntry(logrus.New()), runner: part("first"),
		held:             []booking.Part{part("e1"), part("e2")},
		incarnationEnded: func(booking.Part) bool { return false },
	}
	l.log.Logger.SetOutput(t.Output())
	if failed := l.reserveAll(t.Context()); failed != "" {
		t.Fatalf("%s granted no memory", failed)
	}
	return l
}

func TestLeasesOfFailedRunAreNotRenewed(t *testing.T) {
	for name, c := range map[string]struct {
		script  *script
		over    string // engine whose incarnation has ended according to the list
		lost    string // engine that is found lost
		renewed bool
	}{
		"all live":                                 {script: &script{}, renewed: true},
		"one report without an answer":             {script: &script{unreachable: 1}, renewed: true},
		"the runner does not answer":               {script: &script{unreachable: 9}, lost: "first"},
		"the runner reports a restart":             {script: &script{born: 20}, lost: "first"},
		"the list shows a restart of the runner":   {script: &script{}, over: "first", lost: "first"},
		"the list shows a restart of a helper":     {script: &script{}, over: "e2", lost: "e2"},
		"renewals fail, the leases are still held": {script: &script{noRenewals: true, born: 10}, renewed: true},
		"an engine does not know the lease":        {script: &script{noRenewals: true, noLeases: true}, lost: "e1", renewed: true},
	} {
		s := c.script
		l := newLeases(t, s)
		l.incarnationEnded = func(p booking.Part) bool { return p.Upstream == c.over }
		lost := l.renewOnce(t.Context())
		if (lost == nil) != (c.lost == "") || lost != nil && lost.part.Upstream != c.lost {
			t.Errorf("%s: %v, want %q lost", name, lost, c.lost)
		}
		if renewed := s.reserveCalls > len(l.held); renewed != c.renewed {
			t.Errorf("%s: %d reservations", name, s.reserveCalls)
		}
	}
}

func TestNothingIsReleasedOnRestartedEngine(t *testing.T) {
	s := &script{}
	l := newLeases(t, s)
	l.incarnationEnded = func(p booking.Part) bool { return p.Upstream == "e2" }
	l.releaseAll()
	if s.held() != 1 || !s.leases["l-e2"] {
		t.Errorf("still held: %v", s.leases)
	}
}

// TestEngineDeathReleasesHelperMemory covers an engine whose host loses power during the
// prefill of a prompt of which other engines hold a part: its connection stays open and no
// event arrives.
func TestEngineDeathReleasesHelperMemory(t *testing.T) {
	f := newFixture(t, hang, answer(200, firstEvents+lastEvents))
	f.listEngines("e1", "e2", "e3")
	f.script.unreachable = 9
	dark := onEngine("e1", "e2")
	dark.Parts[1].Reserve = 50
	dark.First = time.Hour // the silence timer would not end it
	f.planner.plans = []booking.Plan{dark, onEngine("e3")}
	f.relay.leaseTimes = leaseTimes{renew: time.Millisecond, useBy: time.Hour}
	req := streamRequest(true)
	req.Route.Objective = time.Hour
	if refusal := f.relay.Run(t.Context(), req, &recordingSink{}); refusal != nil {
		t.Fatal(refusal)
	}
	for f.script.held() > 0 { // the release is a separate call; the test's timeout bounds it
		time.Sleep(time.Millisecond)
	}
	if second := f.script.sent[1]; second.Upstream.ID != "e3" || f.script.reserveCalls != 1 {
		t.Errorf("moved to %s after %d reservations", second.Upstream.ID, f.script.reserveCalls)
	}
}

func TestMemoryIsFreeSoonAfterARunEnds(t *testing.T) {
	const margin = 250 * time.Millisecond
	byLapse := leaseCallTimeout + leaseLifetime
	if byLapse > maxLeaseAfterEnd-margin {
		t.Errorf("a run that ends with its engine holds memory for %s", byLapse)
	}
	byRelease := leaseCallTimeout + leaseCallTimeout // a renewal in progress, then the release; checks end at once
	if byRelease > maxLeaseAfterEnd-margin {
		t.Errorf("a run that ends here holds memory for %s", byRelease)
	}
	if oneLost := 2*leaseRenewInterval + 2*leaseCallTimeout; oneLost > leaseLifetime {
		t.Errorf("with one lost renewal the memory is renewed only after %s", oneLost)
	}
}

func TestLostEngineIsNamed(t *testing.T) {
	lost := &engineLostError{part: booking.Part{Upstream: "e1"}, err: errLeaseGone}
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
		"unused":                      {unused: true, leases: 2, idle: true, looks: 1},
		"used":                        {leases: 2, looks: 1},
		"an answer at the last check": {unreachable: maxLeaseChecks - 1, leases: 1, looks: maxLeaseChecks},
		"the engine does not answer":  {unreachable: maxLeaseChecks, leases: 1, idle: true, looks: maxLeaseChecks},
		"no memory was reserved":      {unused: true},
		"unused, after a lost report": {unused: true, unreachable: 1, leases: 1, idle: true, looks: 2},
	} {
		s := &script{unused: c.unused, unreachable: c.unreachable}
		l := &leases{sender: s, log: logrus.NewEntry(logrus.New()), held: make([]booking.Part, c.leases)}
		if got := l.unused(t.Context(), 0, 0); got != c.idle || s.reports != c.looks {
			t.Errorf("%s: unused %v after %d reports", name, got, s.reports)
		}
	}
}

func TestFirstEventEndsLeaseCheck(t *testing.T) {
	ctx, begun := context.WithCancel(t.Context())
	s := &script{unused: true}
	l := &leases{sender: s, log: logrus.NewEntry(logrus.New()), held: make([]booking.Part, 1)}
	begun()
	if l.unused(ctx, time.Hour, 0) || s.reports != 0 {
		t.Errorf("unused after %d reports", s.reports)
	}
}

func TestAttemptWithUnusedLeasesIsMoved(t *testing.T) {
	f := newFixture(t, hang, answer(200, firstEvents+lastEvents))
	f.listEngines("e1", "e2", "e3")
	f.script.unused = true
	stuck := onEngine("e1", "e2")
	stuck.Parts[1].Reserve = 50
	stuck.First = time.Hour // the silence timer would not end it
	f.planner.plans = []booking.Plan{stuck, onEngine("e3")}
	f.relay.leaseTimes.useBy = time.Millisecond
	req := streamRequest(true)
	req.Route.Objective = time.Hour
	if refusal := f.relay.Run(t.Context(), req, &recordingSink{}); refusal != nil {
		t.Fatal(refusal)
	}
	if len(f.script.sent) != 2 || f.script.sent[1].Upstream.ID != "e3" {
		t.Errorf("sent %+v", f.script.sent)
	}
}

func TestLeaseChecksEndBeforeMaxIdle(t *testing.T) {
	longest := leaseCallTimeout + leaseUseTimeout + maxLeaseChecks*leaseCallTimeout + (maxLeaseChecks-1)*leaseCheckGap + leaseCallTimeout
	if longest > maxLeaseIdle-500*time.Millisecond {
		t.Errorf("memory may be idle for %s", longest)
	}
}

// leaveWhileReserving is a Sender with which an engine leaves while memory is reserved.
type leaveWhileReserving struct {
	Sender
	leave func()
}

func (s leaveWhileReserving) Reserve(ctx context.Context, on booking.Part, life time.Duration) error {
	s.leave()
	return s.Sender.Reserve(ctx, on, life)
}

// TestEngineThatLeavesWhileMemoryIsReservedGetsNothing guards against a prompt that reaches an engine
// late after it has left: its plan was compared with the list, which may be old, before the leases were
// taken, and that takes up to leaseCallTimeout.
func TestEngineThatLeavesWhileMemoryIsReservedGetsNothing(t *testing.T) {
	f := newFixture(t, answer(200, firstEvents+lastEvents))
	f.listEngines("e1", "e2", "e3")
	both := onEngine("e1", "e2")
	both.Parts[1].Reserve = 1
	f.planner.plans = []booking.Plan{both, onEngine("e3")}
	f.relay.opts.Sender = leaveWhileReserving{f.script, func() {
		f.listMu.Lock()
		defer f.listMu.Unlock()
		leaving := fleet.Upstream{Incarnation: fleet.Incarnation{Name: "e1"}, Service: "llm", Address: "e1:1", Leaving: true}
		f.list.Apply([]fleet.Change{entry(leaving)}, time.Now())
	}}
	if refusal := f.relay.Run(t.Context(), streamRequest(true), &recordingSink{}); refusal != nil {
		t.Fatal(refusal)
	}
	if len(f.script.sent) != 1 || f.script.sent[0].Upstream.ID != "e3" {
		t.Errorf("sent %+v", f.script.sent)
	}
	for f.script.held() > 0 { // the release is a separate call; the test's timeout bounds it
		time.Sleep(time.Millisecond)
	}
}
