package reach

import (
	"slices"
	"testing"
	"time"
)

var start = time.Unix(1_800_000_000, 0)

const (
	quietAfter = 150 * time.Millisecond
	probeInterval = 200 * time.Millisecond
)

func newTracker() *Tracker { return New(Options{QuietAfter: quietAfter, ProbeInterval: probeInterval}) }

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// failedProbe is a look at an end at which nothing answers, reached one at which all do.
func failedProbe(began time.Time) ProbeResult  { return ProbeResult{Started: began, Tried: 3} }
func successfulProbe(began time.Time) ProbeResult { return ProbeResult{Started: began, Tried: 3, Reached: 3} }

// TestCutIsFoundByOneProbe is the pattern of a failure domain that is cut off: answers
// from there fall silent together.
func TestCutIsFoundByOneProbe(t *testing.T) {
	tr := newTracker()
	writing := []string{"far", "near"}
	tr.RecordActivity("far", at(0))
	tr.RecordActivity("near", at(100))
	if due := tr.DueProbes(writing, at(149)); len(due) != 0 {
		t.Fatalf("looks at %v too early", due)
	}
	if due := tr.DueProbes(writing, at(150)); !slices.Equal(due, []string{"far"}) {
		t.Fatalf("looks at %v", due)
	}
	tr.RecordActivity("near", at(200))
	if due := tr.DueProbes(writing, at(240)); len(due) != 0 {
		t.Errorf("a second look at %v beside the first", due)
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
	tr.RecordActivity("far", at(120)) // passes a way that is cut in the other direction
	if !tr.Cut("far") {
		t.Error("a message from there ends the belief")
	}
	if due := tr.DueProbes(nil, at(200)); !slices.Equal(due, []string{"far"}) {
		t.Fatalf("looks at %v", due)
	}
	if got := tr.EndProbe("far", failedProbe(at(200)), at(300)); got != None {
		t.Errorf("a cut that lasts is change %d", got)
	}
	if got := tr.CutFor("far", at(300)); got != 300*time.Millisecond {
		t.Errorf("its age begins anew: %s", got)
	}
	tr.DueProbes(nil, at(400))
	if got := tr.EndProbe("far", successfulProbe(at(400)), at(405)); got != BecameReachable || tr.Cut("far") || tr.CutFor("far", at(405)) != 0 {
		t.Errorf("change %d", got)
	}
	if due := tr.DueProbes(nil, at(1000)); len(due) != 0 {
		t.Errorf("looks at %v", due)
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
			t.Fatal("no look")
		}
		if got := tr.EndProbe("far", l, at(100)); got != None || tr.Cut("far") {
			t.Errorf("%s: change %d", name, got)
		}
	}
}

// TestDeadUpstreamsAreNotTakenForACut is the pattern of many upstreams of a domain that die at once:
// a look may try only dead ones, while answers still come from the others.
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
	looks := 0
	for ms := range 1000 {
		if tr.BeginProbe("far", at(ms)) {
			looks++
			tr.EndProbe("far", successfulProbe(at(ms)), at(ms))
		}
	}
	if looks != 5 {
		t.Errorf("%d looks in a second", looks)
	}
	tr.BeginProbe("far", at(2000))
	tr.DiscardProbe("far")
	if !tr.BeginProbe("far", at(2200)) {
		t.Error("after a void look there is no other")
	}
}
