package fleet

import (
	"testing"
	"time"
)

func upIn(domain, id string, beat int64, cold time.Duration) Change {
	c := up(id, beat)
	c.Upstream.Domain, c.Upstream.ColdFor = domain, cold
	return c
}

func lasts(string) time.Duration { return 3 * time.Second }

func (l *List) coldUntil(id string) time.Time {
	u, _ := l.Snapshot().Get(id)
	return u.ColdUntil
}

func TestColdIsAgedByTheClock(t *testing.T) {
	l := newList()
	l.Apply([]Change{upIn("a", "a1", 1, 2*time.Second)}, start)
	later := start.Add(time.Second)
	l.Replace([]Change{upIn("a", "a1", 1, 2*time.Second)}, later) // the same entry, read again
	if got := l.coldUntil("a1"); !got.Equal(start.Add(2 * time.Second)) {
		t.Errorf("cold until %s", got.Sub(start))
	}
	l.Apply([]Change{upIn("a", "a1", 2, 4*time.Second)}, later) // cold again in the same life
	if got := l.coldUntil("a1"); !got.Equal(later.Add(4 * time.Second)) {
		t.Errorf("cold again until %s", got.Sub(start))
	}
}

func TestColdThatAnAnswerTellsHoldsBesideAnOlderEntry(t *testing.T) {
	l := newList()
	l.Apply([]Change{upIn("a", "a1", 1, 0)}, start)
	if !l.UpdateCold("a1", 2*time.Second, start) || l.UpdateCold("a1", 2*time.Second, start) || l.UpdateCold("b1", time.Second, start) {
		t.Error("what is new is not told from what is known")
	}
	l.Apply([]Change{upIn("a", "a1", 2, 0)}, start) // was on its way
	if got := l.coldUntil("a1"); !got.Equal(start.Add(2 * time.Second)) {
		t.Errorf("cold until %s", got.Sub(start))
	}
}
