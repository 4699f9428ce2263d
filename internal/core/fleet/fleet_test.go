package fleet

import (
	"testing"
	"time"
)

var start = time.Unix(1_800_000_000, 0)

func newList() *List { return New(Options{AwayAfter: time.Second, Return: 2 * time.Second}) }

func up(id string, beat int64) Change {
	return Change{ID: id, Upstream: &Upstream{ID: id, Service: "s", Beat: beat}}
}

func (l *List) has(id string) bool {
	_, ok := l.Snapshot().Get(id)
	return ok
}

func TestRemovedEntryIsGoneAtOnce(t *testing.T) {
	l := newList()
	l.Read([]Change{up("a", 1), up("b", 1)}, start)
	l.Read([]Change{{ID: "a"}}, start.Add(500*time.Millisecond))
	if l.has("a") || !l.has("b") {
		t.Errorf("got %v", l.Snapshot().Upstreams)
	}
}

func TestEntryThatLapsedWithTheStoreAwayStaysForItsReturn(t *testing.T) {
	l := newList()
	l.Read([]Change{up("back", 1), up("dead", 1)}, start)
	back := start.Add(10 * time.Second)
	l.Read([]Change{{ID: "back"}, {ID: "dead"}}, back)
	if !l.has("back") || !l.has("dead") {
		t.Fatal("lapsed entries were dropped at once")
	}
	l.Read([]Change{up("back", 2)}, back.Add(time.Second))
	l.Expire(back.Add(2 * time.Second))
	if !l.has("back") || l.has("dead") {
		t.Errorf("got %v", l.Snapshot().Upstreams)
	}
}

func TestLapseOfALeavingUpstreamIsItsEnd(t *testing.T) {
	l := newList()
	leaving := up("a", 1)
	leaving.Upstream.Leaving = true
	l.Read([]Change{leaving}, start)
	l.Read([]Change{{ID: "a"}}, start.Add(10*time.Second))
	if l.has("a") {
		t.Error("it is still used")
	}
}

func TestLeavingIsForGood(t *testing.T) {
	l := newList()
	leaving := up("a", 2)
	leaving.Upstream.Leaving = true
	l.Read([]Change{up("a", 1), leaving, up("a", 1), up("a", 3)}, start)
	if u, _ := l.Snapshot().Get("a"); !u.Leaving || u.Beat != 3 {
		t.Errorf("got %+v", u)
	}
}

func TestReplaceRemovesWhatIsMissing(t *testing.T) {
	l := newList()
	l.Read([]Change{up("a", 1), up("b", 1)}, start)
	l.Replace([]Upstream{{ID: "b", Service: "s", Beat: 2}}, start.Add(100*time.Millisecond))
	if l.has("a") || !l.has("b") {
		t.Errorf("got %v", l.Snapshot().Upstreams)
	}
	if got := l.Snapshot().Live("s"); len(got) != 1 {
		t.Errorf("live: %v", got)
	}
}
