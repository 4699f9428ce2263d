package fleet

import (
	"strconv"
	"strings"
	"testing"
	"time"
)

var start = time.Unix(1_800_000_000, 0)

func newList() *List { return New(Options{OutageAfter: time.Second, ReturnGrace: 2 * time.Second}) }

func up(id string, beat int64) Change {
	return Change{Name: id, Upstream: &Upstream{Incarnation: Incarnation{Name: id}, Service: "s", Address: id + ":1", Heartbeat: beat}}
}

func (l *List) has(id string) bool {
	_, ok := l.Snapshot().Get(id)
	return ok
}

func TestRemovedEntryIsGoneAtOnce(t *testing.T) {
	l := newList()
	l.Apply([]Change{up("a", 1), up("b", 1)}, start)
	l.Apply([]Change{{Name: "a"}}, start.Add(500*time.Millisecond))
	if l.has("a") || !l.has("b") {
		t.Errorf("got %v", l.Snapshot().Upstreams)
	}
}

func TestEntryThatLapsedWithTheStoreAwayStaysForItsReturn(t *testing.T) {
	l := newList()
	l.Apply([]Change{up("back", 1), up("dead", 1)}, start)
	back := start.Add(10 * time.Second)
	l.Apply([]Change{{Name: "back"}, {Name: "dead"}}, back)
	if !l.has("back") || !l.has("dead") {
		t.Fatal("lapsed entries were dropped at once")
	}
	l.Apply([]Change{up("back", 2)}, back.Add(time.Second))
	l.Expire(back.Add(2 * time.Second))
	if !l.has("back") || l.has("dead") {
		t.Errorf("got %v", l.Snapshot().Upstreams)
	}
}

func TestLapseOfALeavingUpstreamIsItsEnd(t *testing.T) {
	l := newList()
	leaving := up("a", 1)
	leaving.Upstream.Leaving = true
	l.Apply([]Change{leaving}, start)
	l.Apply([]Change{{Name: "a"}}, start.Add(10*time.Second))
	if l.has("a") {
		t.Error("it is still used")
	}
}

func TestLeavingIsForGood(t *testing.T) {
	l := newList()
	leaving := up("a", 2)
	leaving.Upstream.Leaving = true
	l.Apply([]Change{up("a", 1), leaving, up("a", 1), up("a", 3)}, start)
	if u, _ := l.Snapshot().Get("a"); !u.Leaving || u.Heartbeat != 3 {
		t.Errorf("got %+v", u)
	}
}

func TestReplaceRemovesWhatIsMissing(t *testing.T) {
	l := newList()
	l.Apply([]Change{up("a", 1), up("b", 1)}, start)
	l.Replace([]Change{up("b", 2)}, start.Add(100*time.Millisecond))
	if l.has("a") || !l.has("b") {
		t.Errorf("got %v", l.Snapshot().Upstreams)
	}
	if got := l.Snapshot().Live("s"); len(got) != 1 {
		t.Errorf("live: %v", got)
	}
}

// life is an entry of a life of a server that was born at a time.
func life(name string, born, beat int64) Change {
	c := up(name, beat)
	c.Upstream.Born = born
	return c
}

func leaves(c Change) Change {
	c.Upstream.Leaving = true
	return c
}

func at(address string, c Change) Change {
	c.Upstream.Address = address
	return c
}

// listed returns the IDs of a list, those that leave with a sign.
func (l *List) listed() string {
	var ids []string
	for _, u := range l.Snapshot().Upstreams {
		if u.Leaving {
			u.ID += "-"
		}
		ids = append(ids, u.ID)
	}
	return strings.Join(ids, " ")
}

func TestServerThatStartsAgainUnderItsName(t *testing.T) {
	for name, c := range map[string]struct {
		entries []Change
		want    string
	}{
		"its counts start anew":           {[]Change{life("a", 10, 50), life("a", 20, 1)}, "a@20"},
		"the earlier life was leaving":    {[]Change{leaves(life("a", 10, 50)), life("a", 20, 1)}, "a@20"},
		"a late entry of the earlier":     {[]Change{life("a", 10, 50), life("a", 20, 1), leaves(life("a", 10, 99))}, "a@20"},
		"twice":                           {[]Change{life("a", 10, 5), life("a", 20, 5), life("a", 30, 1), life("a", 20, 6)}, "a@30"},
		"the new one leaves, for good":    {[]Change{life("a", 10, 5), leaves(life("a", 20, 2)), life("a", 20, 3)}, "a@20-"},
		"a start that is left out":        {[]Change{life("a", 10, 5), leaves(up("a", 6)), life("a", 10, 7)}, "a@10-"},
		"a start that comes late":         {[]Change{up("a", 5), life("a", 10, 6)}, "a"},
		"no start, counts that fall":      {[]Change{up("a", 5), life("a", 10, 1)}, "a@10"},
		"removed, an older heartbeat":     {[]Change{life("a", 10, 5), {Name: "a"}, life("a", 10, 4)}, ""},
		"removed, left, a late heartbeat": {[]Change{leaves(life("a", 10, 5)), {Name: "a"}, life("a", 10, 6)}, "a@10-"},
		"removed, then another life":      {[]Change{leaves(life("a", 10, 5)), {Name: "a"}, life("a", 20, 1)}, "a@20"},
		"removed, then an earlier life":   {[]Change{life("a", 20, 1), {Name: "a"}, life("a", 10, 9)}, ""},
	} {
		l := newList()
		l.Apply(c.entries, start)
		if got := l.listed(); got != c.want {
			t.Errorf("%s: %q, want %q", name, got, c.want)
		}
	}
}

func TestServerAtTheAddressOfAnotherEndsIt(t *testing.T) {
	for name, c := range map[string]struct {
		entries []Change
		want    string
	}{
		"a new one":                     {[]Change{life("a", 10, 50), at("a:1", life("b", 20, 1))}, "b@20"},
		"a heartbeat of the one before": {[]Change{life("a", 10, 5), at("a:1", life("b", 20, 1)), life("a", 10, 6)}, "b@20"},
		"the old one is heard of late":  {[]Change{at("a:1", life("b", 20, 1)), life("a", 10, 5)}, "b@20"},
	} {
		l := newList()
		l.Apply(c.entries, start)
		if got := l.listed(); got != c.want {
			t.Errorf("%s: %q, want %q", name, got, c.want)
		}
	}
}

func TestEntryThatNamesNoUpstreamEndsTheUse(t *testing.T) {
	l := newList()
	l.Apply([]Change{life("a", 10, 1), life("b", 10, 1)}, start)
	away := start.Add(time.Minute) // removals now count as lapses, which a void entry is not
	l.Apply([]Change{{Name: "a", Invalid: true}, {Name: "unheard", Invalid: true}}, away)
	if got := l.listed(); got != "b@10" {
		t.Fatalf("listed %q", got)
	}
	l.Apply([]Change{life("a", 10, 2)}, away.Add(time.Second))
	if got := l.listed(); got != "a@10 b@10" {
		t.Errorf("its next entry lists it again: %q", got)
	}
}

func TestSuccessorShowsThatALifeIsOver(t *testing.T) {
	l := newList()
	l.Apply([]Change{life("a", 10, 1), life("b", 10, 1), life("c", 10, 1)}, start)
	before := l.Snapshot()
	l.Apply([]Change{life("a", 20, 1), at("b:1", life("x", 30, 1)), {Name: "c"}}, start.Add(time.Millisecond))
	after := l.Snapshot()
	for id, want := range map[string]string{"a@10": "a@20", "b@10": "x@30", "c@10": ""} {
		u, _ := before.Get(id)
		if next, _ := after.Successor(u); next.ID != want {
			t.Errorf("after %s: %q, want %q", id, next.ID, want)
		}
	}
}

// TestHeartbeatsLeaveTheSnapshotAsItIs guards against work for each read of the list that grows
// with all upstreams: heartbeats alone change nothing that a snapshot shows.
func TestHeartbeatsLeaveTheSnapshotAsItIs(t *testing.T) {
	l := newList()
	l.Apply([]Change{up("a", 1), up("b", 1)}, start)
	first := l.Snapshot()
	l.Apply([]Change{up("a", 2), up("b", 2)}, start.Add(time.Second))
	beaten := l.Snapshot()
	if !beaten.SameAs(first) || !beaten.At.Equal(start.Add(time.Second)) {
		t.Errorf("heartbeats have changed it, or its time is %s", beaten.At.Sub(start))
	}
	l.Apply([]Change{up("a", 1)}, start.Add(time.Second)) // late
	if !l.Snapshot().SameAs(first) {
		t.Error("a late heartbeat has changed it")
	}
	leaving, moved := up("a", 3), up("b", 3)
	leaving.Upstream.Leaving, moved.Upstream.Address = true, "c:1"
	for name, c := range map[string]Change{"it leaves": leaving, "it moves": moved, "it has gone": {Name: "b"}, "a new one": up("d", 1)} {
		before := l.Snapshot()
		l.Apply([]Change{c}, start.Add(time.Second))
		if l.Snapshot().SameAs(before) {
			t.Errorf("%s: nothing has changed", name)
		}
	}
}

// BenchmarkHeartbeats is a read of the list in which a third of the upstreams have beaten.
func BenchmarkHeartbeats(b *testing.B) {
	for _, upstreams := range []int{500, 1000, 2000} {
		b.Run(strconv.Itoa(upstreams), func(b *testing.B) {
			l := newList()
			var all []Change
			for i := range upstreams {
				all = append(all, up(strconv.Itoa(i), 1))
			}
			l.Apply(all, start)
			for beat := int64(2); b.Loop(); beat++ {
				some := make([]Change, 0, upstreams/3)
				for i := range upstreams / 3 {
					some = append(some, up(strconv.Itoa(i), beat))
				}
				l.Apply(some, start)
				l.Snapshot()
			}
		})
	}
}
