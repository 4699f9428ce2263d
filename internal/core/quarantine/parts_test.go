package quarantine

import (
	"fmt"
	"testing"
	"time"
)

// crashWith ends an engine of its own under each of n new works with the given parts.
func crashWith(t *Tracker, n int, now time.Time, parts ...uint64) {
	for range n {
		fingerprint := 1_000_000 + uint64(t.lastRun)
		engine := fmt.Sprint("dead", fingerprint)
		t.Started(engine, Work{fingerprint, parts})
		t.EngineDied(engine, engine, now)
	}
}

// answer serves a new work with the given parts.
func answer(t *Tracker, now time.Time, parts ...uint64) {
	run := t.Started("sound", Work{99, parts})
	t.Began(run, now)
	t.End(run, true)
}

// TestPartIsASuspectAfterDeathsOfDifferentWorks guards against a part that is blamed for one work
// that crashes engines by itself, and against one that is not seen in works that are each new.
func TestPartIsASuspectAfterDeathsOfDifferentWorks(t *testing.T) {
	tr := New(Options{})
	for i := range 5 {
		engine := fmt.Sprint("e", i)
		tr.Started(engine, Work{1, []uint64{7}})
		tr.EngineDied(engine, engine, start)
	}
	if tr.NeedsTrial(Work{2, []uint64{7}}, start) {
		t.Error("a part is a suspect for the deaths of one work")
	}
	tr = New(Options{})
	crashWith(tr, PartThreshold, start, 7)
	for _, c := range []struct {
		parts []uint64
		want  bool
	}{{[]uint64{7}, true}, {[]uint64{8, 7}, true}, {[]uint64{8}, false}, {nil, false}} {
		if got := tr.NeedsTrial(Work{2, c.parts}, start); got != c.want {
			t.Errorf("parts %v: needs a trial: %v", c.parts, got)
		}
	}
}

// TestBegunAnswerClearsItsParts guards against sound requests that wait although an answer with
// their part has begun, before or after the deaths; and against an answer that has only just come
// when its engine ends, and clears the cause.
func TestBegunAnswerClearsItsParts(t *testing.T) {
	w := Work{2, []uint64{7}}
	tr := New(Options{})
	answer(tr, start, 7)
	crashWith(tr, 10, start.Add(partTrustTime-time.Second), 7)
	if tr.Standing(w, start) != Clear {
		t.Error("a part of which an answer began before the deaths is a suspect")
	}
	crashWith(tr, PartThreshold, start.Add(partTrustTime+time.Second), 7)
	if !tr.NeedsTrial(w, start) {
		t.Error("an answer clears its part of deaths long afterwards")
	}
	run := tr.Started("e", w)
	if tr.Answering(run, start) || tr.Answering(run, start.Add(BeginTime-1)) || !tr.NeedsTrial(w, start) {
		t.Error("the first piece of an answer clears its part")
	}
	if !tr.Answering(run, start.Add(BeginTime)) || tr.NeedsTrial(w, start) {
		t.Error("an answer that goes on does not clear its part")
	}
}

// TestDeathUnderTrialProvesItsPart guards against a crashing part that is tried again, and against
// parts that are refused for the one beside them.
func TestDeathUnderTrialProvesItsPart(t *testing.T) {
	tr := New(Options{})
	crashWith(tr, PartThreshold, start, 1, 7)
	crashWith(tr, PartThreshold, start, 7, 8)
	tr.StartedOnTrial("tried", Work{5, []uint64{1, 7}})
	tr.EngineDied("tried", "tried", start)
	for _, c := range []struct {
		parts []uint64
		want  Standing
	}{{[]uint64{1, 7}, Refused}, {[]uint64{7, 1, 8}, Refused}, {[]uint64{1}, Suspect}, {[]uint64{7}, Suspect}, {[]uint64{8}, Suspect}, {[]uint64{9}, Clear}} {
		if got := tr.Standing(Work{6, c.parts}, start); got != c.want {
			t.Errorf("parts %v: %s, want %s", c.parts, got, c.want)
		}
	}
	answer(tr, start, 1)
	for part, want := range map[uint64]Standing{1: Clear, 7: Refused} {
		if got := tr.Standing(Work{6, []uint64{part}}, start); got != want {
			t.Errorf("part %d is %s once the other is cleared, want %s", part, got, want)
		}
	}
	if left := tr.RefusedFor(Work{6, []uint64{7}}, start.Add(time.Minute)); left != DefaultQuarantineTime-time.Minute {
		t.Errorf("refused for %s", left)
	}
	if got := tr.Standing(Work{6, []uint64{7}}, start.Add(DefaultQuarantineTime)); got != Clear {
		t.Errorf("%s after the quarantine", got)
	}
}

// TestSuspectPartIsTriedOnceAtATime guards against two trials of one part, under different works.
func TestSuspectPartIsTriedOnceAtATime(t *testing.T) {
	tr := New(Options{})
	crashWith(tr, PartThreshold, start, 7)
	tr.ApplyStoredTrial(Trial{ID: "a", Fingerprint: 5, Parts: []uint64{7}, Life: time.Second}, start)
	tr.ApplyStoredTrial(Trial{ID: "b", Fingerprint: 6, Parts: []uint64{7}, Life: time.Second}, start)
	w := Work{6, []uint64{7}}
	if got := tr.EvaluateTrial("b", w, start); got != TrialBusy {
		t.Errorf("the second trial is %s", got)
	}
	if got := tr.EvaluateTrial("a", Work{5, []uint64{7}}, start); got != TrialGranted {
		t.Errorf("the first trial is %s", got)
	}
	tr.ApplyStoredTrial(Trial{ID: "a", Fingerprint: 5, Parts: []uint64{7}, Life: time.Second, Outcome: TrialBegun}, start)
	if got := tr.Standing(w, start); got != Clear {
		t.Errorf("%s after a trial that began", got)
	}
}

// TestPartsOfATrialMayComeLater guards against two trials of one part at once, where a host has heard
// of the first one from a host of an earlier release, which passes it on without its parts.
func TestPartsOfATrialMayComeLater(t *testing.T) {
	tr := New(Options{})
	crashWith(tr, PartThreshold, start, 7)
	first := Trial{ID: "a", Fingerprint: 5, Life: time.Second}
	tr.Merge(Digest{Host: "old", Trials: []Trial{first}}, start)
	first.Parts = []uint64{7}
	tr.ApplyStoredTrial(first, start)
	if got := tr.EvaluateTrial("", Work{6, []uint64{7}}, start); got != TrialBusy {
		t.Errorf("another trial is %s", got)
	}
}

// TestEvidenceOfPartsReachesOtherHosts guards against parts and begins that a digest loses, in either
// order, and against hosts that differ after they have heard each other.
func TestEvidenceOfPartsReachesOtherHosts(t *testing.T) {
	a, b, w := New(Options{Host: "a"}), New(Options{Host: "b"}), Work{2, []uint64{7, 8}}
	crashWith(a, PartThreshold, start, 7, 8)
	b.Merge(a.Digest(start), start)
	answer(b, start, 8)
	a.Merge(b.Digest(start), start)
	b.Merge(Digest{Records: a.OwnRecords(start, true)}, start)
	for name, tr := range map[string]*Tracker{"a": a, "b": b} {
		if got := tr.SuspectParts(w); len(got) != 1 || got[0] != 7 {
			t.Errorf("%s suspects %v", name, got)
		}
	}
}

// TestEvidenceOfPartsIsBounded guards against memory that grows with the parts of prompts.
func TestEvidenceOfPartsIsBounded(t *testing.T) {
	tr := New(Options{})
	const many = 3 * maxTrustedParts
	for p := range uint64(many) {
		answer(tr, start, p)
	}
	if got := len(tr.begins.newer) + len(tr.begins.older); got > maxTrustedParts {
		t.Errorf("%d parts are known to have begun", got)
	}
	for i := range uint64(2 * DefaultMaxRecords) {
		crashWith(tr, 1, start.Add(time.Duration(i)), parts(many+i*MaxParts, MaxParts)...)
	}
	if got := len(tr.openParts); got > DefaultMaxRecords*MaxParts {
		t.Errorf("%d parts are open", got)
	}
	d := New(Options{})
	for i := range uint64(100) {
		d.Started("e", Work{i, parts(i*MaxParts, MaxParts)})
	}
	d.EngineDied("e", "e", start)
	if got := len(d.openParts); got != maxRecordParts {
		t.Errorf("a record holds %d parts", got)
	}
	for i := range uint64(100) {
		d.Started("f", Work{i, parts(0, MaxParts)})
	}
	d.EngineDied("f", "f", start)
	for _, r := range d.OwnRecords(start, true) {
		held := len(r.BegunParts)
		for _, w := range r.Works {
			held += len(w.Parts)
		}
		if held > maxRecordParts {
			t.Errorf("the death of %s holds %d parts of works", r.ID.Engine, held)
		}
	}
}

// parts returns n parts from first upwards.
func parts(first uint64, n int) []uint64 {
	var all []uint64
	for i := range uint64(n) {
		all = append(all, first+i)
	}
	return all
}

// TestCauseIsNotCrowdedOutOfARecord guards against a crashing part that is missing in the evidence of
// a death because too many others ran beside it.
func TestCauseIsNotCrowdedOutOfARecord(t *testing.T) {
	tr := New(Options{})
	crashWith(tr, PartThreshold-1, start, 7)
	for i := range uint64(100) {
		tr.Started("e", Work{i, parts(1000+i*MaxParts, MaxParts-1)})
	}
	tr.Started("e", Work{500, append(parts(900_000, MaxParts-1), 7)})
	tr.EngineDied("e", "e", start)
	if got := len(tr.openParts[7]); got != PartThreshold {
		t.Errorf("the part is in %d deaths", got)
	}
}

// crashOnTrial ends an engine under a trial of a work with the given parts, beside the other works.
func crashOnTrial(t *Tracker, now time.Time, tried []uint64, beside ...Work) {
	fingerprint := 2_000_000 + uint64(t.lastRun)
	engine := fmt.Sprint("tried", fingerprint)
	t.StartedOnTrial(engine, Work{fingerprint, tried})
	for _, w := range beside {
		t.Started(engine, w)
	}
	t.EngineDied(engine, engine, now)
}

// TestPartThatDiedUnderTrialsIsTriedAlone guards against a crashing part that ends one more engine
// with each other suspect part that comes with it.
func TestPartThatDiedUnderTrialsIsTriedAlone(t *testing.T) {
	tr := New(Options{})
	crashWith(tr, PartThreshold, start, 7, 8, 9, 10)
	for _, other := range []uint64{8, 9} {
		crashOnTrial(tr, start, []uint64{7, other})
	}
	for _, c := range []struct {
		parts []uint64
		want  Standing
	}{{[]uint64{7, 10}, Held}, {[]uint64{7}, Suspect}, {[]uint64{10}, Suspect}, {[]uint64{7, 8}, Refused}} {
		if got := tr.Standing(Work{6, c.parts}, start); got != c.want {
			t.Errorf("parts %v: %s, want %s", c.parts, got, c.want)
		}
	}
}

// TestDeathUnderTrialBesideAnotherSuspectProvesNothing guards against a sound part that is refused
// because another cause came to the engine of its trial.
func TestDeathUnderTrialBesideAnotherSuspectProvesNothing(t *testing.T) {
	tr, w := New(Options{}), Work{6, []uint64{7}}
	crashWith(tr, PartThreshold, start, 7)
	crashWith(tr, PartThreshold, start, 8)
	crashOnTrial(tr, start, w.Parts, Work{5, []uint64{8}})
	if got := tr.Standing(w, start); got != Suspect {
		t.Errorf("%s after a death beside another suspect", got)
	}
	crashOnTrial(tr, start, w.Parts, Work{4, []uint64{9}})
	if got := tr.Standing(w, start); got != Refused {
		t.Errorf("%s after a death beside a part that is no suspect", got)
	}
}

// TestWorkThatCrashesEnginesItselfProvesNothingOfItsParts guards against sound requests that are
// refused because they share a part with a single work that crashes engines, beside which one of
// them has died.
func TestWorkThatCrashesEnginesItselfProvesNothingOfItsParts(t *testing.T) {
	tr := New(Options{})
	culprit, sound := Work{1, []uint64{7}}, Work{2, []uint64{7}}
	for i := range DefaultCrashThreshold {
		engine := fmt.Sprint("e", i)
		tr.Started(engine, culprit)
		tr.Started(engine, sound)
		tr.EngineDied(engine, engine, start)
	}
	tr.StartedOnTrial("tried", culprit)
	tr.EngineDied("tried", "tried", start)
	settled := start.Add(DefaultSettleAfter)
	if got := tr.Standing(Work{3, []uint64{7}}, settled); got != Suspect {
		t.Errorf("another request with the part is %s", got)
	}
	if got := tr.Standing(culprit, settled); got != Refused {
		t.Errorf("the culprit is %s", got)
	}
}

// TestTrialsOfAPartWithoutResultAreFew guards against requests that reach servers under trial again
// and again, and end before they show anything.
func TestTrialsOfAPartWithoutResultAreFew(t *testing.T) {
	tr, w := New(Options{}), Work{6, []uint64{7}}
	crashWith(tr, PartThreshold, start, 7)
	for i := range maxPartTrials {
		if !tr.NeedsTrial(w, start) {
			t.Fatalf("held after %d trials", i)
		}
		tr.ApplyStoredTrial(Trial{ID: fmt.Sprint(i), Fingerprint: uint64(i), Parts: w.Parts, Outcome: TrialRan, Life: time.Second}, start)
	}
	if got := tr.Standing(w, start); got != Held {
		t.Errorf("%s after %d trials", got, maxPartTrials)
	}
	if !tr.NeedsTrial(w, start.Add(partTrialWindow)) {
		t.Error("no trial later")
	}
}

// BenchmarkMayPlaceWithParts measures the check of a work beside 100 others on an engine, all with a
// part that is a suspect in 100 deaths.
func BenchmarkMayPlaceWithParts(b *testing.B) {
	t := New(Options{})
	crashWith(t, 100, start, 7)
	for i := range uint64(100) {
		t.Started("busy", Work{i, []uint64{7, 1000 + i}})
	}
	b.ReportAllocs()
	for b.Loop() {
		t.MayPlace("busy", Work{1_000_000, []uint64{7, 8, 9}}, start)
	}
}
