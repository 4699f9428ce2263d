package avoid

import (
	"testing"
	"time"
)

var start = time.Unix(1_800_000_000, 0)

func newTracker() *Tracker {
	return New(Options{Initial: 100 * time.Millisecond, Max: 400 * time.Millisecond, ResetAfter: 10 * time.Second})
}

func TestFailuresInARowDouble(t *testing.T) {
	tr := newTracker()
	now := start
	for _, want := range []time.Duration{100, 200, 400, 400} {
		if got := tr.RecordFailure("a", now); got != want*time.Millisecond {
			t.Fatalf("avoided for %v, want %v ms", got, want)
		}
		now = now.Add(want * time.Millisecond)
	}
}

func TestConcurrentFailuresCountAsOne(t *testing.T) {
	tr := newTracker()
	tr.RecordFailure("a", start)
	tr.RecordFailure("a", start.Add(50*time.Millisecond))
	if got := tr.RecordFailure("a", start.Add(100*time.Millisecond)); got != 200*time.Millisecond {
		t.Errorf("second streak is %v", got)
	}
}

func TestSuccessEndsAStreak(t *testing.T) {
	tr := newTracker()
	tr.RecordFailure("a", start)
	tr.RecordSuccess("a", start.Add(50*time.Millisecond)) // of an attempt that began before the failure
	if len(tr.Avoided(start.Add(60*time.Millisecond))) != 1 {
		t.Error("a success of an earlier attempt ended the avoidance")
	}
	tr.RecordSuccess("a", start.Add(150*time.Millisecond))
	if got := tr.RecordFailure("a", start.Add(200*time.Millisecond)); got != 100*time.Millisecond {
		t.Errorf("after a success avoided for %v", got)
	}
}

func TestOldFailuresAreDropped(t *testing.T) {
	tr := newTracker()
	tr.RecordFailure("a", start)
	if got := tr.Avoided(start.Add(time.Minute)); len(got) != 0 || len(tr.byID) != 0 {
		t.Errorf("still tracked: %v, %d", got, len(tr.byID))
	}
}

func TestClearedFailuresAreNotPartOfAStreak(t *testing.T) {
	tr := newTracker()
	tr.RecordFailure("a", start)
	tr.RecordFailure("b", start.Add(-time.Second))
	tr.ClearFailures("a", start)
	tr.ClearFailures("b", start)
	tr.ClearFailures("unknown", start)
	if got := tr.Avoided(start.Add(time.Millisecond)); len(got) != 0 {
		t.Errorf("avoided: %v", got)
	}
	if got := tr.RecordFailure("a", start.Add(time.Millisecond)); got != 100*time.Millisecond {
		t.Errorf("after its failures were cleared, avoided for %v", got)
	}
	if got := tr.RecordFailure("b", start.Add(time.Millisecond)); got != 200*time.Millisecond {
		t.Errorf("an earlier failure was cleared: avoided for %v", got)
	}
}
