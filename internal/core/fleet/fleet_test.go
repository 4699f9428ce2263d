package fleet

import (
	"strconv"
	"strings"
	"testing"
	"time"
)

var start = time.Unix(1_800_000_000, 0)

func newList() *List { return New(Options{OutageAfter: time.Second, ReturnGrace: 2 * time.Second}) }

func newEntry(id string, heartbeat int64) Change {
	return Change{Name: id, Upstream: &Upstream{Incarnation: Incarnation{Name: id}, Service: "s", Address: id + ":1", Heartbeat: heartbeat}}
}

func (l *List) has(id string) bool {
	_, ok := l.Snapshot().Get(id)
	return ok
}

func TestRemovedEntryIsGoneAtOnce(t *testing.T) {
	l := newList()
	l.Apply([]Change{newEntry("a", 1), newEntry("b", 1)}, start)
	l.Apply([]Change{{Name: "a"}}, start.Add(500*time.Millisecond))
	if l.has("a") || !l.has("b") {
		t.Errorf("got %v", l.Snapshot().Upstreams)
	}
}

func TestEntryThatLapsedInAnOutageStaysForTheGracePeriod(t *testing.T) {
	l := newList()
	l.Apply([]Change{newEntry("back", 1), newEntry("dead", 1)}, start)
	back := start.Add(10 * time.Second)
	l.Apply([]Change{{Name: "back"}, {Name: "dead"}}, back)
	if !l.has("back") || !l.has("dead") {
		t.Fatal("lapsed entries were dropped at once")
	}
	l.Apply([]Change{newEntry("back", 2)}, back.Add(time.Second))
	l.Expire(back.Add(2 * time.Second))
	if !l.has("back") || l.has("dead") {
		t.Errorf("got %v", l.Snapshot().Upstreams)
	}
}

func TestLapsedLeavingUpstreamIsRemoved(t *testing.T) {
	l := newList()
	leaving := newEntry("a", 1)
	leaving.Upstream.Leaving = true
	l.Apply([]Change{leaving}, start)
	l.Apply([]Change{{Name: "a"}}, start.Add(10*time.Second))
	if l.has("a") {
		t.Error("the leaving upstream is still listed")
	}
}

func TestLeavingIsPermanent(t *testing.T) {
	l := newList()
	leaving := newEntry("a", 2)
	leaving.Upstream.Leaving = true
	l.Apply([]Change{newEntry("a", 1), leaving, newEntry("a", 1), newEntry("a", 3)}, start)
	if u, _ := l.Snapshot().Get("a"); !u.Leaving || u.Heartbeat != 3 {
		t.Errorf("got %+v", u)
	}
}

func TestReplaceRemovesWhatIsMissing(t *testing.T) {
	l := newList()
	l.Apply([]Change{newEntry("a", 1), newEntry("b", 1)}, start)
	l.Replace([]Change{newEntry("b", 2)}, start.Add(100*time.Millisecond))
	if l.has("a") || !l.has("b") {
		t.Errorf("got %v", l.Snapshot().Upstreams)
	}
	if got := l.Snapshot().Live("s"); len(got) != 1 {
		t.Errorf("live: %v", got)
	}
}

// entryWithStart returns an entry of a server that reports its start time.
func entryWithStart(name string, born, heartbeat int64) Change {
	c := newEntry(name, heartbeat)
	c.Upstream.Born = born
	return c
}

func asLeaving(c Change) Change {
	c.Upstream.Leaving = true
	return c
}

func atAddress(address string, c Change) Change {
	c.Upstream.Address = address
	return c
}

// listedIDs returns the IDs in a list, with "-" after those of leaving upstreams.
func (l *List) listedIDs() string {
	var ids []string
	for _, u := range l.Snapshot().Upstreams {
		if u.Leaving {
			u.ID += "-"
		}
		ids = append(ids, u.ID)
	}
	return strings.Join(ids, " ")
}

func TestServerRestartsUnderItsName(t *testing.T) {
	for name, c := range map[string]struct {
		entries []Change
		want    string
	}{
		"heartbeats count from the start": {[]Change{entryWithStart("a", 10, 50), entryWithStart("a", 20, 1)}, "a@20"},
		"the earlier run was leaving":     {[]Change{asLeaving(entryWithStart("a", 10, 50)), entryWithStart("a", 20, 1)}, "a@20"},
		"a late entry of the earlier run": {[]Change{entryWithStart("a", 10, 50), entryWithStart("a", 20, 1), asLeaving(entryWithStart("a", 10, 99))}, "a@20"},
		"twice":                           {[]Change{entryWithStart("a", 10, 5), entryWithStart("a", 20, 5), entryWithStart("a", 30, 1), entryWithStart("a", 20, 6)}, "a@30"},
		"the new run leaves":              {[]Change{entryWithStart("a", 10, 5), asLeaving(entryWithStart("a", 20, 2)), entryWithStart("a", 20, 3)}, "a@20-"},
		"an entry without the start time": {[]Change{entryWithStart("a", 10, 5), asLeaving(newEntry("a", 6)), entryWithStart("a", 10, 7)}, "a@10-"},
		"start time only in a late entry": {[]Change{newEntry("a", 5), entryWithStart("a", 10, 6)}, "a"},
		"no start time, lower heartbeat":  {[]Change{newEntry("a", 5), entryWithStart("a", 10, 1)}, "a@10"},
		"removed, an older heartbeat":     {[]Change{entryWithStart("a", 10, 5), {Name: "a"}, entryWithStart("a", 10, 4)}, ""},
		"leaving, removed, heartbeat":     {[]Change{asLeaving(entryWithStart("a", 10, 5)), {Name: "a"}, entryWithStart("a", 10, 6)}, "a@10-"},
		"removed, then a later run":       {[]Change{asLeaving(entryWithStart("a", 10, 5)), {Name: "a"}, entryWithStart("a", 20, 1)}, "a@20"},
		"removed, then an earlier run":    {[]Change{entryWithStart("a", 20, 1), {Name: "a"}, entryWithStart("a", 10, 9)}, ""},
	} {
		l := newList()
		l.Apply(c.entries, start)
		if got := l.listedIDs(); got != c.want {
			t.Errorf("%s: %q, want %q", name, got, c.want)
		}
	}
}

func TestLaterStartAtAnAddressSupersedesTheServer(t *testing.T) {
	for name, c := range map[string]struct {
		entries []Change
		want    string
	}{
		"a new server":               {[]Change{entryWithStart("a", 10, 50), atAddress("a:1", entryWithStart("b", 20, 1))}, "b@20"},
		"a heartbeat of the earlier": {[]Change{entryWithStart("a", 10, 5), atAddress("a:1", entryWithStart("b", 20, 1)), entryWithStart("a", 10, 6)}, "b@20"},
		"the earlier is listed last": {[]Change{atAddress("a:1", entryWithStart("b", 20, 1)), entryWithStart("a", 10, 5)}, "b@20"},
	} {
		l := newList()
		l.Apply(c.entries, start)
		if got := l.listedIDs(); got != c.want {
			t.Errorf("%s: %q, want %q", name, got, c.want)
		}
	}
}

func TestInvalidEntryRemovesTheUpstream(t *testing.T) {
	l := newList()
	l.Apply([]Change{entryWithStart("a", 10, 1), entryWithStart("b", 10, 1)}, start)
	outageEnd := start.Add(time.Minute) // removals now count as lapses, but invalid entries do not
	l.Apply([]Change{{Name: "a", Invalid: true}, {Name: "unknown", Invalid: true}}, outageEnd)
	if got := l.listedIDs(); got != "b@10" {
		t.Fatalf("listed %q", got)
	}
	l.Apply([]Change{entryWithStart("a", 10, 2)}, outageEnd.Add(time.Second))
	if got := l.listedIDs(); got != "a@10 b@10" {
		t.Errorf("listed %q after its next valid entry", got)
	}
}

func TestSuccessor(t *testing.T) {
	l := newList()
	l.Apply([]Change{entryWithStart("a", 10, 1), entryWithStart("b", 10, 1), entryWithStart("c", 10, 1)}, start)
	before := l.Snapshot()
	l.Apply([]Change{entryWithStart("a", 20, 1), atAddress("b:1", entryWithStart("x", 30, 1)), {Name: "c"}}, start.Add(time.Millisecond))
	after := l.Snapshot()
	for id, want := range map[string]string{"a@10": "a@20", "b@10": "x@30", "c@10": ""} {
		u, _ := before.Get(id)
		if next, _ := after.Successor(u); next.ID != want {
			t.Errorf("after %s: %q, want %q", id, next.ID, want)
		}
	}
}

// TestHeartbeatsDoNotChangeTheSnapshot guards against reads of the list whose cost grows with
// the number of all upstreams: heartbeats alone must not change a snapshot.
func TestHeartbeatsDoNotChangeTheSnapshot(t *testing.T) {
	l := newList()
	l.Apply([]Change{newEntry("a", 1), newEntry("b", 1)}, start)
	first := l.Snapshot()
	l.Apply([]Change{newEntry("a", 2), newEntry("b", 2)}, start.Add(time.Second))
	after := l.Snapshot()
	if !after.SameAs(first) || !after.At.Equal(start.Add(time.Second)) {
		t.Errorf("heartbeats have changed the snapshot, or its time is %s", after.At.Sub(start))
	}
	l.Apply([]Change{newEntry("a", 1)}, start.Add(time.Second)) // late
	if !l.Snapshot().SameAs(first) {
		t.Error("a late heartbeat has changed the snapshot")
	}
	leaving, moved := newEntry("a", 3), newEntry("b", 3)
	leaving.Upstream.Leaving, moved.Upstream.Address = true, "c:1"
	for name, c := range map[string]Change{"it leaves": leaving, "it moves": moved, "it has gone": {Name: "b"}, "a new one": newEntry("d", 1)} {
		before := l.Snapshot()
		l.Apply([]Change{c}, start.Add(time.Second))
		if l.Snapshot().SameAs(before) {
			t.Errorf("%s: the snapshot has not changed", name)
		}
	}
}

// BenchmarkHeartbeats measures a read of the list with heartbeats of a third of the upstreams.
func BenchmarkHeartbeats(b *testing.B) {
	for _, upstreams := range []int{500, 1000, 2000} {
		b.Run(strconv.Itoa(upstreams), func(b *testing.B) {
			l := newList()
			var all []Change
			for i := range upstreams {
				all = append(all, newEntry(strconv.Itoa(i), 1))
			}
			l.Apply(all, start)
			for heartbeat := int64(2); b.Loop(); heartbeat++ {
				some := make([]Change, 0, upstreams/3)
				for i := range upstreams / 3 {
					some = append(some, newEntry(strconv.Itoa(i), heartbeat))
				}
				l.Apply(some, start)
				l.Snapshot()
			}
		})
	}
}

// TestRemovalAfterSilentSourcesIsNoLapse guards against work for servers that have left: the reads
// were late because other daemons were silent, and the store was not.
func TestRemovalAfterSilentSourcesIsNoLapse(t *testing.T) {
	const late = 1800 * time.Millisecond
	for name, c := range map[string]struct {
		outageAt time.Time
		lapsed   bool
	}{
		"no outage is known":       {},
		"outage before the reads":  {outageAt: start.Add(-time.Second)},
		"outage between the reads": {outageAt: start.Add(time.Second), lapsed: true},
	} {
		l := newList()
		l.Apply([]Change{newEntry("a", 1)}, start)
		l.RecordNoOutage(c.outageAt, start.Add(late))
		l.Apply([]Change{{Name: "a"}}, start.Add(late))
		if l.has("a") != c.lapsed {
			t.Errorf("%s: still listed: %v", name, l.has("a"))
		}
	}
}

// TestRemovalAfterAShortGapIsInForceInTime guards against a server that left and still gets work after
// the bound on leaving servers: the data of a daemon is a little old because the store fails for the
// daemon that it reads from, which counts as an outage of the store for all, and the removal is then
// doubted for ReturnGrace from the read on.
func TestRemovalAfterAShortGapIsInForceInTime(t *testing.T) {
	const within, outageAfter, returnGrace = 3 * time.Second, 1500 * time.Millisecond, 2 * time.Second
	const gap = outageAfter + 100*time.Millisecond
	l := New(Options{OutageAfter: outageAfter, ReturnGrace: returnGrace, Within: within})
	l.Apply([]Change{newEntry("a", 1)}, start)
	l.RecordNoOutage(start.Add(time.Second), start.Add(gap)) // the other daemon's store has failed since
	l.Apply([]Change{{Name: "a"}}, start.Add(gap))           // removed right after start
	l.Expire(start.Add(within))
	if l.has("a") {
		t.Errorf("a server that was removed is still used after %s", within)
	}
}

// TestLapsesOfALongOutageAreDoubted guards against live servers that are dropped when the store is back,
// because the bound on removals was counted from a read before the outage.
func TestLapsesOfALongOutageAreDoubted(t *testing.T) {
	const within, returnGrace = 3 * time.Second, 2 * time.Second
	for _, gap := range []time.Duration{within, 2 * within} {
		l := New(Options{OutageAfter: within / 2, ReturnGrace: returnGrace, Within: within})
		l.Apply([]Change{newEntry("a", 1)}, start)
		l.Apply([]Change{{Name: "a"}}, start.Add(gap))
		l.Expire(start.Add(gap + returnGrace - time.Millisecond))
		if !l.has("a") {
			t.Errorf("an entry that lapsed in a gap of %s is gone before live servers are back", gap)
		}
		l.Expire(start.Add(gap + returnGrace))
		if l.has("a") {
			t.Errorf("gap of %s: a server that did not come back is still listed", gap)
		}
	}
}
