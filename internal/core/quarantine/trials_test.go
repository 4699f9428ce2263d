package quarantine

import (
	"fmt"
	"testing"
	"time"
)

// dieUnderTrial lets an engine die while a fingerprint runs on it under a stored trial.
func dieUnderTrial(tr *Tracker, id string, fingerprint uint64, now time.Time, beside ...uint64) {
	tr.ApplyStoredTrial(Trial{ID: id, Fingerprint: fingerprint, Life: time.Second}, now)
	for _, f := range beside {
		tr.Started(id, workOf(f))
	}
	tr.StartedOnTrial(id, workOf(fingerprint))
	tr.EngineDied(id, id, now)
	tr.ApplyStoredTrial(Trial{ID: id, Fingerprint: fingerprint, Life: time.Second, Outcome: TrialRan}, now)
}

// newSuspect returns a tracker with a fingerprint in two deaths, each beside two others, and the time
// at which both have settled.
func newSuspect(fingerprint uint64) (*Tracker, time.Time) {
	tr := New(Options{})
	crashEngine(tr, "a", "1", start, fingerprint, 90, 92)
	crashEngine(tr, "b", "1", start, fingerprint, 91, 93)
	return tr, start.Add(DefaultSettleAfter)
}

// TestDeathUnderTrialProvesCauseUntilOthersDieAgain guards against a proof that waits for other
// fingerprints that never return, and against one that stays when another cause appears.
func TestDeathUnderTrialProvesCauseUntilOthersDieAgain(t *testing.T) {
	tr, now := newSuspect(1)
	dieUnderTrial(tr, "c", 1, now, 95)
	if got := tr.Standing(workOf(1), now); got != Held {
		t.Errorf("before the death has settled: %s", got)
	}
	now = now.Add(DefaultSettleAfter)
	if got, left := tr.Standing(workOf(1), now), tr.RefusedFor(workOf(1), now); got != Refused || left != DefaultQuarantineTime-DefaultSettleAfter {
		t.Errorf("after the death has settled: %s for %v", got, left)
	}
	crashEngine(tr, "d", "1", now, 95)
	if got := tr.Standing(workOf(1), now); got != Isolate {
		t.Errorf("when the other one has died again: %s", got)
	}
}

// TestTrialsAreLimited guards against endless trials of a request that is never proven the cause: at
// most two in which it may have run, and three in which it may have been sent.
func TestTrialsAreLimited(t *testing.T) {
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
		tr, now := newSuspect(1)
		for i, o := range c.outcomes {
			tr.ApplyStoredTrial(Trial{ID: fmt.Sprint(i), Fingerprint: 1, Life: time.Second, Outcome: o}, now)
		}
		if got := tr.EvaluateTrial("", workOf(1), now); got != c.want {
			t.Errorf("%s: %s", c.name, got)
		}
	}
}

// TestTrialBesideAnotherCauseIsExcused guards against an innocent that uses up its trials because
// another request crashes the engines beside it.
func TestTrialBesideAnotherCauseIsExcused(t *testing.T) {
	tr, now := newSuspect(1)
	for _, engine := range []string{"x", "y", "z"} {
		crashEngine(tr, engine, "1", now, 95)
	}
	dieUnderTrial(tr, "c", 1, now, 95)
	dieUnderTrial(tr, "d", 1, now, 95)
	if got := tr.EvaluateTrial("", workOf(1), now); got != TrialGranted {
		t.Errorf("after two: %s", got)
	}
	dieUnderTrial(tr, "e", 1, now, 95)
	if got := tr.EvaluateTrial("", workOf(1), now); got != TrialSpent {
		t.Errorf("after three: %s", got)
	}
}

// TestFirstTrialInStoreOrderRuns guards against two hosts that both start a trial because each sees
// none running.
func TestFirstTrialInStoreOrderRuns(t *testing.T) {
	tr, now := newSuspect(1)
	for _, id := range []string{"first", "second"} {
		tr.ApplyStoredTrial(Trial{ID: id, Fingerprint: 1, Life: time.Second}, now)
	}
	if got := tr.EvaluateTrial("first", workOf(1), now); got != TrialGranted {
		t.Errorf("the first: %s", got)
	}
	if got := tr.EvaluateTrial("second", workOf(1), now); got != TrialBusy {
		t.Errorf("the second: %s", got)
	}
	if got := tr.EvaluateTrial("second", workOf(1), now.Add(time.Second)); got != TrialGranted {
		t.Errorf("the second, after the first has expired: %s", got)
	}
}

// TestBrokenRunCountsWhenItsEngineDied guards against ignoring deaths that are reported only later,
// and against evidence from an engine that has served since.
func TestBrokenRunCountsWhenItsEngineDied(t *testing.T) {
	tr := New(Options{})
	tr.EndBroken(tr.Started("a", workOf(1)), start)
	tr.EndBroken(tr.Started("b", workOf(2)), start)
	tr.EngineAlive("b")
	tr.EndBroken(tr.Started("c", workOf(3)), start)
	tr.EndBroken(tr.Started("d", workOf(4)), start)
	tr.End(tr.Started("e", workOf(4)), true)
	for _, engine := range []string{"a", "b", "d"} {
		tr.EngineDied(engine, "1", start.Add(time.Second))
	}
	tr.EngineDied("c", "1", start.Add(brokenRunTTL))
	for fingerprint, want := range map[uint64]Standing{1: Suspect, 2: Clear, 3: Clear, 4: Clear} {
		if got := tr.Standing(workOf(fingerprint), start); got != want {
			t.Errorf("%d: %s", fingerprint, got)
		}
	}
}

// TestDerivedRefusalReachesHostsOfThePreviousRelease guards against hosts without trials that run a
// request refused because of trials: they need the refusal itself. Other hosts derive it.
func TestDerivedRefusalReachesHostsOfThePreviousRelease(t *testing.T) {
	tr, now := newSuspect(1)
	dieUnderTrial(tr, "c", 1, now, 95)
	now = now.Add(DefaultSettleAfter)
	told := tr.Version()
	if tr.Standing(workOf(1), now) != Refused || tr.Version() == told {
		t.Error("the refusal does not change the version")
	}
	d := tr.Digest(now)
	if len(d.Refused) != 1 || d.Refused[0].Fingerprint != 1 || !d.Refused[0].Derived {
		t.Fatalf("the digest has refusals %+v", d.Refused)
	}
	other := New(Options{Host: "other"})
	other.Merge(Digest{Host: "h", Refused: d.Refused}, now)
	if got := other.Standing(workOf(1), now); got != Clear {
		t.Errorf("without the evidence: %s", got)
	}
	other.Merge(d, now)
	if got := other.Standing(workOf(1), now); got != Refused {
		t.Errorf("with the evidence: %s", got)
	}
}

// TestClearedFingerprintOfAnotherHostIsPassedOn guards against a host that learns from a peer that a
// fingerprint has completed, and tells the others with the next change only.
func TestClearedFingerprintOfAnotherHostIsPassedOn(t *testing.T) {
	tr := New(Options{})
	record := RecordDigest{ID: RecordID{"e1", "1"}, Open: []uint64{1}}
	tr.Merge(Digest{Records: []RecordDigest{record}}, start)
	record.Cleared = []uint64{2}
	for round, want := range []bool{true, false} {
		before := tr.Version()
		tr.Merge(Digest{Records: []RecordDigest{record}}, start)
		if got := tr.Version() != before; got != want {
			t.Errorf("merge %d: something new to share: %v", round, got)
		}
	}
}
