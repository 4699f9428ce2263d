package avoid

import (
	"testing"
	"time"
)

var start = time.Unix(1_800_000_000, 0)

func newTracker() *Tracker {
	return New(Options{First: 100 * time.Millisecond, Most: 400 * time.Millisecond, Forget: 10 * time.Second})
}

func TestFailuresInARowDouble(t *testing.T) {
	tr := newTracker()
	now := start
	for _, want := range []time.Duration{100, 200, 400, 400} {
		if got := tr.Failed("a", now); got != want*time.Millisecond {
			t.Fatalf("avoided for %v, want %v ms", got, want)
		}
		now = now.Add(want * time.Millisecond)
	}
}

func TestFailuresAtOnceCountAsOne(t *testing.T) {
	tr := newTracker()
	tr.Failed("a", start)
	tr.Failed("a", start.Add(50*time.Millisecond))
	if got := tr.Failed("a", start.Add(100*time.Millisecond)); got != 200*time.Millisecond {
		t.Errorf("second streak is %v", got)
	}
}

func TestSuccessEndsAStreak(t *testing.T) {
	tr := newTracker()
	tr.Failed("a", start)
	tr.Succeeded("a", start.Add(50*time.Millisecond)) // of an attempt from before
	if len(tr.Avoided(start.Add(60*time.Millisecond))) != 1 {
		t.Error("an old success has ended the time")
	}
	tr.Succeeded("a", start.Add(150*time.Millisecond))
	if got := tr.Failed("a", start.Add(200*time.Millisecond)); got != 100*time.Millisecond {
		t.Errorf("after a success avoided for %v", got)
	}
}

func TestOldFailuresAreForgotten(t *testing.T) {
	tr := newTracker()
	tr.Failed("a", start)
	if got := tr.Avoided(start.Add(time.Minute)); len(got) != 0 || len(tr.byID) != 0 {
		t.Errorf("still known: %v, %d", got, len(tr.byID))
	}
}

func TestGroupIsAvoidedWhenSeveralAreUnreachable(t *testing.T) {
	tr := New(Options{First: 100 * time.Millisecond, Most: time.Second, Forget: 10 * time.Second, CutAt: 3})
	tr.Unreached("a", "far", start)
	tr.Unreached("a", "far", start)
	if tr.Unreached("b", "far", start); tr.Cut("far", start) {
		t.Fatal("two of a group are taken for all")
	}
	if span := tr.Unreached("c", "far", start); span != 100*time.Millisecond || !tr.Cut("far", start) || tr.Cut("near", start) {
		t.Fatalf("avoided for %v", span)
	}
	later := start.Add(150 * time.Millisecond)
	if tr.Cut("far", later) {
		t.Error("nobody looks whether the group is back")
	}
	if span := tr.Unreached("a", "far", later); span != 200*time.Millisecond {
		t.Errorf("still cut, avoided for %v", span)
	}
	tr.Reached("far")
	if tr.Cut("far", later) {
		t.Error("a group that was reached is avoided")
	}
}
