package reach

import (
	"slices"
	"testing"
	"time"
)

var start = time.Unix(1_800_000_000, 0)

const (
	quietAfter    = 150 * time.Millisecond
	probeInterval = 200 * time.Millisecond
	// suspectInterval is the least time between probes while they succeed.
	suspectInterval = 20 * time.Millisecond
)

func newTracker() *Tracker {
	return New(Options{QuietAfter: quietAfter, ProbeInterval: probeInterval, SuspectInterval: suspectInterval})
}

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// failedProbe is a probe whose connections all fail, successfulProbe one whose connections all
// succeed.
func failedProbe(started time.Time) ProbeResult { return ProbeResult{Started: started, Tried: 3} }
func successfulProbe(started time.Time) ProbeResult {
	return ProbeResult{Started: started, Tried: 3, Reached: 3}
}

// TestCutIsFoundByOneProbe has a failure domain cut off: all answers from there stop at once.
func TestCutIsFoundByOneProbe(t *testing.T) {
	tr := newTracker()
	streaming := []string{"far", "near"}
	tr.RecordActivity("far", at(0))
	tr.RecordActivity("near", at(100))
	if due := tr.DueProbes(streaming, at(149)); len(due) != 0 {
		t.Fatalf("probes %v too early", due)
	}
	if due := tr.DueProbes(streaming, at(150)); !slices.Equal(due, []string{"far"}) {
		t.Fatalf("probes %v", due)
	}
	tr.RecordActivity("near", at(200))
	if due := tr.DueProbes(streaming, at(240)); len(due) != 0 {
		t.Errorf("a second probe of %v while the first is running", due)
	}
	if got := tr.EndProbe("far", failedProbe(at(150)), at(250)); got.To != Cut || !got.Changed() || !tr.Cut("far") || tr.Cut("near") {
		t.Errorf("change %+v", got)
	}
	if got := tr.CutFor("far", at(1150)); got != time.Second {
		t.Errorf("cut for %s", got)
	}
}

func TestCutEndsWithASuccessfulProbe(t *testing.T) {
	tr := newTracker()
	tr.BeginProbe("far", at(0))
	tr.EndProbe("far", failedProbe(at(0)), at(100))
	tr.RecordActivity("far", at(120)) // arrives over a path that is cut in the other direction
	if !tr.Cut("far") {
		t.Error("a message from there ended the cut")
	}
	if due := tr.DueProbes(nil, at(200)); !slices.Equal(due, []string{"far"}) {
		t.Fatalf("probes %v", due)
	}
	if got := tr.EndProbe("far", failedProbe(at(200)), at(300)); got.Changed() {
		t.Errorf("a cut that continues is change %+v", got)
	}
	if got := tr.CutFor("far", at(300)); got != 300*time.Millisecond {
		t.Errorf("the start of the cut has changed: cut for %s", got)
	}
	tr.DueProbes(nil, at(400))
	if got := tr.EndProbe("far", successfulProbe(at(400)), at(405)); got.To != Direct || !got.Changed() || tr.Cut("far") || tr.CutFor("far", at(405)) != 0 {
		t.Errorf("change %+v", got)
	}
	if due := tr.DueProbes(nil, at(1000)); len(due) != 0 {
		t.Errorf("probes %v", due)
	}
}

func TestProbesThatDoNotFindACut(t *testing.T) {
	for name, l := range map[string]ProbeResult{
		"one answers":             {Tried: 3, Reached: 1},
		"a single upstream fails": {Tried: 1},
		"there is none":           {},
	} {
		tr := newTracker()
		if !tr.BeginProbe("far", at(0)) {
			t.Fatal("no probe")
		}
		if got := tr.EndProbe("far", l, at(100)); got.Changed() || tr.Cut("far") {
			t.Errorf("%s: change %+v", name, got)
		}
	}
}

// TestDeadUpstreamsAreNotTakenForACut has many upstreams of a domain die at once: a probe may
// try only dead ones, while answers still come from the others.
func TestDeadUpstreamsAreNotTakenForACut(t *testing.T) {
	tr := newTracker()
	tr.BeginProbe("far", at(0))
	tr.RecordActivity("far", at(40))
	if got := tr.EndProbe("far", failedProbe(at(0)), at(100)); got.Changed() || tr.Cut("far") {
		t.Errorf("change %+v", got)
	}
}

func TestProbesAreRateLimited(t *testing.T) {
	tr := newTracker()
	probes := 0
	for ms := range 1000 {
		if tr.BeginProbe("far", at(ms)) {
			probes++
			tr.EndProbe("far", successfulProbe(at(ms)), at(ms))
		}
	}
	if probes != 5 {
		t.Errorf("%d probes in a second", probes)
	}
	tr.BeginProbe("far", at(2000))
	tr.DiscardProbe("far")
	if !tr.BeginProbe("far", at(2200)) {
		t.Error("no other probe after a discarded one")
	}
}

// indirectProbe is a probe whose connections only another daemon can establish.
func indirectProbe(started time.Time) ProbeResult {
	return ProbeResult{Started: started, Tried: 3, Indirect: 3, DaemonsAnswer: true}
}

// TestPathIsIndirectWhileOtherDaemonsReachTheDomain guards against a host that takes its own
// partition for a cut of the domain. Connections that were open before may still carry answers,
// and the domain may have a single upstream.
func TestPathIsIndirectWhileOtherDaemonsReachTheDomain(t *testing.T) {
	tr := newTracker()
	tr.BeginProbe("far", at(0))
	tr.RecordActivity("far", at(50))
	got := tr.EndProbe("far", ProbeResult{Started: at(0), Tried: 1, Indirect: 1}, at(100))
	if got.From != Direct || got.To != Indirect || !got.Since.Equal(at(0)) || tr.Cut("far") || tr.AllDirect() {
		t.Fatalf("change %+v", got)
	}
	if due := tr.DueProbes(nil, at(200)); !slices.Equal(due, []string{"far"}) {
		t.Fatalf("probes %v", due)
	}
	if got := tr.EndProbe("far", indirectProbe(at(200)), at(300)); got.Changed() {
		t.Errorf("change %+v", got)
	}
	tr.DueProbes(nil, at(400))
	if got := tr.EndProbe("far", successfulProbe(at(400)), at(405)); got.From != Indirect || got.To != Direct || !got.Since.Equal(at(0)) || !tr.AllDirect() {
		t.Errorf("change %+v", got)
	}
}

func TestIndirectPathIsCutWhenNoDaemonReachesTheDomain(t *testing.T) {
	tr := newTracker()
	tr.BeginProbe("far", at(0))
	tr.EndProbe("far", indirectProbe(at(0)), at(100))
	tr.BeginProbe("far", at(200))
	tr.RecordActivity("far", at(250)) // through another daemon
	if got := tr.EndProbe("far", failedProbe(at(200)), at(300)); got.Changed() {
		t.Errorf("cut while answers come: %+v", got)
	}
	tr.BeginProbe("far", at(400))
	if got := tr.EndProbe("far", failedProbe(at(400)), at(500)); got.From != Indirect || got.To != Cut {
		t.Errorf("change %+v", got)
	}
}

// TestDomainIsIsolatedOnlyIfItsDaemonsAreSilentToo guards against a host that takes the other
// daemons for unreachable because it reaches no upstream.
func TestDomainIsIsolatedOnlyIfItsDaemonsAreSilentToo(t *testing.T) {
	for _, answers := range []bool{true, false} {
		tr := newTracker()
		tr.BeginProbe("far", at(0))
		tr.EndProbe("far", ProbeResult{Started: at(0), Tried: 3, DaemonsAnswer: answers}, at(100))
		if !tr.Cut("far") || tr.Isolated("far") == answers {
			t.Errorf("daemons answer: %v, isolated: %v", answers, tr.Isolated("far"))
		}
		tr.BeginProbe("far", at(400))
		if got := tr.EndProbe("far", successfulProbe(at(400)), at(405)); got.From != Cut || got.Isolated == answers {
			t.Errorf("daemons answer: %v, change %+v", answers, got)
		}
	}
}

func TestChangeTellsWhetherTheDomainWasQuiet(t *testing.T) {
	for _, quiet := range []bool{true, false} {
		tr := newTracker()
		if !quiet {
			tr.RecordActivity("far", at(900))
		}
		tr.BeginProbe("far", at(1000))
		if got := tr.EndProbe("far", indirectProbe(at(1000)), at(1100)); got.Quiet != quiet {
			t.Errorf("change %+v, quiet %v", got, quiet)
		}
	}
}

// TestSecondFailingUpstreamBringsTheNextProbeForward guards against a path that counts as direct for
// long after it is lost, and against a dead upstream that has its domain probed all the time.
func TestSecondFailingUpstreamBringsTheNextProbeForward(t *testing.T) {
	for name, c := range map[string]struct {
		failed []string
		probe  ProbeResult
		want   time.Duration
	}{
		"one upstream, twice": {[]string{"u1", "u1"}, successfulProbe(at(0)), probeInterval},
		"two upstreams":       {[]string{"u1", "u2"}, successfulProbe(at(0)), suspectInterval},
		"nothing is reached":  {[]string{"u1", "u2"}, failedProbe(at(0)), probeInterval},
	} {
		tr := newTracker()
		tr.BeginProbe("far", at(0))
		tr.EndProbe("far", c.probe, at(1))
		for _, address := range c.failed {
			tr.RecordFailure("far", address)
		}
		if got := tr.NextProbe("far", at(0)); got != c.want {
			t.Errorf("%s: the next probe after %s", name, got)
		}
		tr.BeginProbe("far", at(200))
		tr.EndProbe("far", successfulProbe(at(200)), at(201))
		if got := tr.NextProbe("far", at(200)); got != probeInterval {
			t.Errorf("%s: after another probe, the next one after %s", name, got)
		}
	}
}
