package fleet

import (
	"testing"
	"time"
)

func newEntryIn(domain, id string, heartbeat int64, cold time.Duration) Change {
	c := newEntry(id, heartbeat)
	c.Upstream.Domain, c.Upstream.ColdFor = domain, cold
	return c
}

func coldThreeSeconds(string) time.Duration { return 3 * time.Second }

func (l *List) coldUntil(id string) time.Time {
	u, _ := l.Snapshot().Get(id)
	return u.ColdUntil
}

func TestColdTimeRunsDown(t *testing.T) {
	l := newList()
	l.Apply([]Change{newEntryIn("a", "a1", 1, 2*time.Second)}, start)
	later := start.Add(time.Second)
	l.Replace([]Change{newEntryIn("a", "a1", 1, 2*time.Second)}, later) // the same entry, read again
	if got := l.coldUntil("a1"); !got.Equal(start.Add(2 * time.Second)) {
		t.Errorf("cold until %s", got.Sub(start))
	}
	l.Apply([]Change{newEntryIn("a", "a1", 2, 4*time.Second)}, later) // cold again in the same incarnation
	if got := l.coldUntil("a1"); !got.Equal(later.Add(4 * time.Second)) {
		t.Errorf("cold again until %s", got.Sub(start))
	}
}

func TestColdTimeFromAnAnswerOverridesOlderEntries(t *testing.T) {
	l := newList()
	l.Apply([]Change{newEntryIn("a", "a1", 1, 0)}, start)
	if !l.UpdateCold("a1", 2*time.Second, start) || l.UpdateCold("a1", 2*time.Second, start) || l.UpdateCold("b1", time.Second, start) {
		t.Error("UpdateCold does not report whether the cold time has become longer")
	}
	l.Apply([]Change{newEntryIn("a", "a1", 2, 0)}, start) // sent before the answer
	if got := l.coldUntil("a1"); !got.Equal(start.Add(2 * time.Second)) {
		t.Errorf("cold until %s", got.Sub(start))
	}
}
