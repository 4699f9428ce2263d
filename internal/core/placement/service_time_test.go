package placement

import (
	"testing"

	"github.com/buckthorndock/buckthorndock/internal/core/settings"
)

// TestMinServiceTimeIsThatOfAnIdleEngine expects prefill plus answer at the rates of the
// fastest engine, whatever its queue.
func TestMinServiceTimeIsThatOfAnIdleEngine(t *testing.T) {
	v := newTestView(2)
	for i, e := range v.Engines("p") {
		r := report(2, 0)
		r.PrefillRate, r.DecodeRate, r.QueuedPrefill = float64(1000*(i+1)), 50, 1e6
		v.ApplyReport(e.Name(), r)
	}
	a := testRequest()
	want := timeForTokens(1000, 2000) + timeForTokens(v.opts.AnswerShare*100, 50)
	if got := MinServiceTime(v, a, t0); got != want {
		t.Errorf("service time %v, want %v", got, want)
	}
	for _, e := range v.Engines("p") {
		v.SetState(e.Name(), Dead)
	}
	if got := MinServiceTime(v, a, t0); got != 0 {
		t.Errorf("service time %v without a live engine", got)
	}
}

// TestShortPromptsAvoidEnginesForLongOnes expects that among idle engines a short prompt goes
// to one that accepts no long prompts, unless such engines have a queue.
func TestShortPromptsAvoidEnginesForLongOnes(t *testing.T) {
	v := newTestView(6)
	v.ApplyPeerWork("p", "a", "other", Work{3: 1e5, 10: 1e6}, t0)
	a := testRequest()
	kept := func() int {
		n := 0
		for seed := range uint64(50) {
			d, err := Place(v, a, t0, newRand(seed))
			if err != nil {
				t.Fatal(err)
			}
			if !v.Engine(d.Chosen.Name).TakesLong() {
				n++
			}
		}
		return n
	}
	if n := kept(); n != 50 {
		t.Errorf("%d of 50 went to an engine kept for short prompts", n)
	}
	for _, e := range v.Engines("p") {
		if !e.TakesLong() {
			r := report(2, 0)
			r.QueuedPrefill = 1e5
			v.ApplyReport(e.Name(), r)
		}
	}
	if n := kept(); n != 0 {
		t.Errorf("%d of 50 went behind the queue", n)
	}
	a.Policy = settings.PolicyLeastLoaded
	if d, _ := Place(v, a, t0, newRand(1)); d.Chosen.Estimate.Unseen != 0 {
		t.Errorf("another policy counts %v", d.Chosen.Estimate.Unseen)
	}
}
