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
)

func newTracker() *Tracker { return New(Options{QuietAfter: quietAfter, ProbeInterval: probeInterval}) }

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
	if got := tr.EndProbe("far", failedProbe(at(150)), at(250)); got != BecameCut || !tr.Cut("far") || tr.Cut("near") {
		t.Errorf("change %d", got)
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
	if got := tr.EndProbe("far", failedProbe(at(200)), at(300)); got != None {
		t.Errorf("a cut that continues is change %d", got)
	}
	if got := tr.CutFor("far", at(300)); got != 300*time.Millisecond {
		t.Errorf("the start of the cut has changed: cut for %s", got)
	}
	tr.DueProbes(nil, at(400))
	if got := tr.EndProbe("far", successfulProbe(at(400)), at(405)); got != BecameReachable || tr.Cut("far") || tr.CutFor("far", at(405)) != 0 {
		t.Errorf("change %d", got)
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
		if got := tr.EndProbe("far", l, at(100)); got != None || tr.Cut("far") {
			t.Errorf("%s: change %d", name, got)
		}
	}
}

// TestDeadUpstreamsAreNotTakenForACut has many upstreams of a domain die at once: a probe may
// try only dead ones, while answers still come from the others.
func TestDeadUpstreamsAreNotTakenForACut(t *testing.T) {
	tr := newTracker()
	tr.BeginProbe("far", at(0))
	tr.RecordActivity("far", at(40))
	if got := tr.EndProbe("far", failedProbe(at(0)), at(100)); got != None || tr.Cut("far") {
		t.Errorf("change %d", got)
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
