package quarantine

import (
	"fmt"
	"testing"
	"time"
)

// tried has a fingerprint die on an engine under a trial that has been read.
func tried(tr *Tracker, id string, fingerprint uint64, now time.Time, beside ...uint64) {
	tr.ApplyStoredTrial(Trial{ID: id, Fingerprint: fingerprint, Life: time.Second}, now)
	for _, f := range beside {
		tr.Started(id, f)
	}
	tr.StartedOnTrial(id, fingerprint)
	tr.EngineDied(id, id, now)
	tr.ApplyStoredTrial(Trial{ID: id, Fingerprint: fingerprint, Life: time.Second, Outcome: TrialRan}, now)
}

// suspect returns a tracker with a fingerprint that died twice beside two others, and when that
// has settled.
func suspect(fingerprint uint64) (*Tracker, time.Time) {
	tr := New(Options{})
	crashAll(tr, "a", "1", start, fingerprint, 90, 92)
	crashAll(tr, "b", "1", start, fingerprint, 91, 93)
	return tr, start.Add(DefaultSettleAfter)
}

// TestDeathUnderTrialProvesUntilWhatDiedBesideItDiesAgain guards against a proof that waits for
// others who are never seen again, and against one that holds when another cause shows.
func TestDeathUnderTrialProvesUntilWhatDiedBesideItDiesAgain(t *testing.T) {
	tr, now := suspect(1)
	tried(tr, "c", 1, now, 95)
	if got := tr.Standing(1, now); got != Held {
		t.Errorf("before the death has settled: %s", got)
	}
	now = now.Add(DefaultSettleAfter)
	if got, left := tr.Standing(1, now), tr.RefusedFor(1, now); got != Refused || left != DefaultQuarantineTime-DefaultSettleAfter {
		t.Errorf("%s for %v", got, left)
	}
	crashAll(tr, "d", "1", now, 95)
	if got := tr.Standing(1, now); got != Isolate {
		t.Errorf("when the other one has died again: %s", got)
	}
}

// TestTrialsAreFew guards against a request that is tried on while nothing proves it: two trials
// in which it may have run, three sendings in all.
func TestTrialsAreFew(t *testing.T) {
	for _, c := range []struct {
		name     string
		outcomes []TrialOutcome
		want     TrialVerdict
	}{
		{"one ran", []TrialOutcome{TrialRan}, TrialGranted},
		{"two ran", []TrialOutcome{TrialRan, TrialRan}, TrialSpent},
		{"none was sent", []TrialOutcome{TrialNotSent, TrialNotSent, TrialNotSent}, TrialGranted},
		{"two were declined", []TrialOutcome{TrialDeclined, TrialDeclined}, TrialGranted},
		{"three were sent", []TrialOutcome{TrialDeclined, TrialRan, TrialDeclined}, TrialSpent},
		{"one completed since", []TrialOutcome{TrialRan, TrialRan, TrialCompleted}, TrialGranted},
		{"one runs", []TrialOutcome{TrialOpen}, TrialBusy},
	} {
		tr, now := suspect(1)
		for i, o := range c.outcomes {
			tr.ApplyStoredTrial(Trial{ID: fmt.Sprint(i), Fingerprint: 1, Life: time.Second, Outcome: o}, now)
		}
		if got := tr.EvaluateTrial("", 1, now); got != c.want {
			t.Errorf("%s: %s", c.name, got)
		}
	}
}

// TestTrialThatDiedBesideAnotherCauseCountsOnceMore guards against an innocent whose trials end
// beside those of others that end engines.
func TestTrialThatDiedBesideAnotherCauseCountsOnceMore(t *testing.T) {
	tr, now := suspect(1)
	for _, engine := range []string{"x", "y", "z"} {
		crashAll(tr, engine, "1", now, 95)
	}
	tried(tr, "c", 1, now, 95)
	tried(tr, "d", 1, now, 95)
	if got := tr.EvaluateTrial("", 1, now); got != TrialGranted {
		t.Errorf("after two: %s", got)
	}
	tried(tr, "e", 1, now, 95)
	if got := tr.EvaluateTrial("", 1, now); got != TrialSpent {
		t.Errorf("after three: %s", got)
	}
}

// TestFirstTrialOfTheStoresOrderRuns guards against two hosts that both find that none runs.
func TestFirstTrialOfTheStoresOrderRuns(t *testing.T) {
	tr, now := suspect(1)
	for _, id := range []string{"first", "second"} {
		tr.ApplyStoredTrial(Trial{ID: id, Fingerprint: 1, Life: time.Second}, now)
	}
	if got := tr.EvaluateTrial("first", 1, now); got != TrialGranted {
		t.Errorf("the first: %s", got)
	}
	if got := tr.EvaluateTrial("second", 1, now); got != TrialBusy {
		t.Errorf("the second: %s", got)
	}
	if got := tr.EvaluateTrial("second", 1, now.Add(time.Second)); got != TrialGranted {
		t.Errorf("the second, when the first one's time is over: %s", got)
	}
}

// TestRunThatBrokeIsEvidenceWhenItsEngineIsGone guards against deaths that are told only later, and
// against evidence on an engine that has served since.
func TestRunThatBrokeIsEvidenceWhenItsEngineIsGone(t *testing.T) {
	tr := New(Options{})
	tr.EndBroken(tr.Started("a", 1), start)
	tr.EndBroken(tr.Started("b", 2), start)
	tr.EngineAlive("b")
	tr.EndBroken(tr.Started("c", 3), start)
	tr.EndBroken(tr.Started("d", 4), start)
	tr.End(tr.Started("e", 4), true)
	for _, engine := range []string{"a", "b", "d"} {
		tr.EngineDied(engine, "1", start.Add(time.Second))
	}
	tr.EngineDied("c", "1", start.Add(brokenFor))
	for fingerprint, want := range map[uint64]Standing{1: Suspect, 2: Clear, 3: Clear, 4: Clear} {
		if got := tr.Standing(fingerprint, start); got != want {
			t.Errorf("%d: %s", fingerprint, got)
		}
	}
}

// TestRefusalThatFollowsFromTrialsReachesHostsOfTheReleaseBefore: they know no trials, and hold to
// what they are told is refused; others go by the trials.
func TestRefusalThatFollowsFromTrialsReachesHostsOfTheReleaseBefore(t *testing.T) {
	tr, now := suspect(1)
	tried(tr, "c", 1, now, 95)
	now = now.Add(DefaultSettleAfter)
	told := tr.Version()
	if tr.Standing(1, now) != Refused || tr.Version() == told {
		t.Error("the refusal is no news")
	}
	d := tr.Digest(now)
	if len(d.Refused) != 1 || d.Refused[0].Fingerprint != 1 || !d.Refused[0].Derived {
		t.Fatalf("told %+v", d.Refused)
	}
	other := New(Options{Host: "other"})
	other.Merge(Digest{Host: "h", Refused: d.Refused}, now)
	if got := other.Standing(1, now); got != Clear {
		t.Errorf("without the evidence: %s", got)
	}
	other.Merge(d, now)
	if got := other.Standing(1, now); got != Refused {
		t.Errorf("with the evidence: %s", got)
	}
}
