package ledger

import (
	"fmt"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

func parameters(runs int) *gopter.TestParameters {
	p := gopter.DefaultTestParametersWithSeed(20261202)
	p.MinSuccessfulTests = runs
	return p
}

// runWorld does a random run. It returns an error if an engine holds more than
// its memory or something is left over.
func runWorld(w *world, steps int) error {
	stranger := Item{ID: ID{Kind: Export, Name: "x1"}, Holder: Holder{Host: "gone", Incarnation: "9"}, Tokens: 500}
	for _, n := range w.names {
		w.engines[n].books[stranger.ID] = stranger
		for _, l := range w.owners {
			w.carryOut(l, l.Own(n))
		}
	}
	for range steps {
		w.step()
		for _, e := range w.engines {
			if e.used() > e.total {
				return fmt.Errorf("engine %s holds %d of %d", e.name, e.used(), e.total)
			}
		}
	}
	w.drain()
	return w.leftovers()
}

func (w *world) leftovers() error {
	for _, e := range w.engines {
		if len(e.books) > 0 {
			return fmt.Errorf("engine %s still lists %v", e.name, e.books)
		}
	}
	for i, l := range w.owners {
		for _, n := range l.Owned() {
			if r, _ := l.Room(n, w.now); r.Used != 0 {
				return fmt.Errorf("owner %d counts %d on %s", i, r.Used, n)
			}
		}
	}
	return nil
}

// A single owner stays below capacity by its own accounting: its engines check
// nothing.
func TestGrantsStayBelowCapacityAndAreReleased(t *testing.T) {
	props := gopter.NewProperties(parameters(300))
	granted := 0
	props.Property("one owner, engines that check nothing", prop.ForAll(func(seed uint64) string {
		w := newWorld(seed, 2, 1, 3, false)
		err := runWorld(w, 300)
		granted += w.granted
		return errText(err)
	}, gen.UInt64()))
	props.Property("two owners at once, engines that refuse", prop.ForAll(func(seed uint64) string {
		return errText(runWorld(newWorld(seed, 2, 2, 3, true), 300))
	}, gen.UInt64()))
	props.TestingRun(t)
	if granted < 1000 {
		t.Errorf("only %d grants: the property was hardly exercised", granted)
	}
}

func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// A ledger that grants before it has read the books must fail the property.
func TestMutantGrantingBeforeRebuildIsCaught(t *testing.T) {
	for seed := range uint64(100) {
		w := newWorld(seed, 2, 1, 3, false)
		for _, n := range w.names {
			w.owners[0].Own(n)
			w.owners[0].engines[n].known = true
			w.owners[0].engines[n].total = 1000
		}
		if runWorld(w, 300) != nil {
			return
		}
	}
	t.Error("a ledger that grants before it has read the books passed 100 runs")
}

// A ledger that takes old books for new ones drops fresh grants and must fail.
func TestMutantTrustingOldBooksIsCaught(t *testing.T) {
	for seed := range uint64(100) {
		w := newWorld(seed, 1, 1, 3, false)
		for _, n := range w.names {
			w.carryOut(w.owners[0], w.owners[0].Own(n))
		}
		for range 30 {
			old := w.engines["e0"].read(w.now)
			for range 20 {
				w.step()
			}
			old.ReadStarted = w.now
			w.carryOut(w.owners[0], w.owners[0].ApplyBooks(old, w.now))
			if w.engines["e0"].used() > 1000 {
				return
			}
		}
	}
	t.Error("a ledger that takes old books for new ones passed 100 runs")
}

const tokens = 100

// ownedWith returns a ledger that owns e0 with these items in its books.
func ownedWith(items ...Item) *Ledger {
	l := New(Options{})
	l.Own("e0")
	l.ApplyBooks(Books{Engine: "e0", Incarnation: "1", Total: 1000, ReadStarted: epoch, Items: items}, epoch)
	return l
}

func item(kind Kind, name, host, incarnation string) Item {
	return Item{ID: ID{Kind: kind, Name: name, Attempt: 1}, Holder: Holder{Host: host, Incarnation: incarnation}, Tokens: tokens}
}

// tickUntil ticks each second and returns when and why the first end was requested.
func tickUntil(l *Ledger, renew func(now time.Time), limit time.Duration) (time.Duration, Cause) {
	for d := time.Second; d <= limit; d += time.Second {
		now := epoch.Add(d)
		renew(now)
		for _, a := range l.Tick(now) {
			switch a := a.(type) {
			case ReleaseOn:
				return d, a.Cause
			case CancelOn:
				return d, a.Cause
			}
		}
	}
	return 0, ""
}

func TestLimitsOfUnclaimedWork(t *testing.T) {
	run := item(Running, "q", "h", "1")
	orphan := run
	orphan.Orphaned = true
	seq := uint64(0)
	renewEmpty := func(l *Ledger, until time.Duration) func(time.Time) {
		return func(now time.Time) {
			if now.Sub(epoch) <= until {
				seq++
				l.Renew(Renewal{Holder: Holder{Host: "h", Incarnation: "1"}, Seq: seq}, now)
			}
		}
	}
	cases := []struct {
		name       string
		item       Item
		renewUntil time.Duration
		gone       bool
		want       time.Duration
		cause      Cause
	}{
		{"holder renews without it", run, time.Hour, false, 17 * time.Second, CauseUnclaimed},
		{"holder falls silent, stream open", run, time.Second, false, 301 * time.Second, CauseSilent},
		{"holder falls silent, stream gone", orphan, time.Second, false, 61 * time.Second, CauseSilent},
		{"holder never heard of, stream open", run, 0, false, 301 * time.Second, CauseUnknown},
		{"holder never heard of, stream gone", orphan, 0, false, 61 * time.Second, CauseUnknown},
		{"host gone, stream open", run, 0, true, 16 * time.Second, CauseGone},
		{"export never imported", item(Export, "x", "h", "1"), time.Hour, false, 17 * time.Second, CauseUnclaimed},
	}
	for _, c := range cases {
		l := ownedWith(c.item)
		if c.gone {
			l.MarkHostGone("h", epoch)
		}
		at, cause := tickUntil(l, renewEmpty(l, c.renewUntil), 10*time.Minute)
		if at != c.want || cause != c.cause {
			t.Errorf("%s: ended after %v as %q, want %v as %q", c.name, at, cause, c.want, c.cause)
		}
	}
}

func TestClaimedWorkIsNeverEnded(t *testing.T) {
	l := ownedWith(item(Running, "q", "h", "1"))
	seq := uint64(0)
	claim := Claim{Engine: "e0", ID: ID{Kind: Running, Name: "q", Attempt: 1}}
	at, cause := tickUntil(l, func(now time.Time) {
		seq++
		l.Renew(Renewal{Holder: Holder{Host: "h", Incarnation: "1"}, Seq: seq, Held: []Claim{claim}}, now)
	}, 5*time.Minute)
	if cause != "" {
		t.Errorf("claimed work ended after %v as %q", at, cause)
	}
}

func TestNewIncarnationEndsOldWorkAtOnce(t *testing.T) {
	l := ownedWith(item(Running, "q", "h", "9"), item(Reservation, "r", "h", "9"), item(Reservation, "s", "other", "9"))
	_, acts := l.Renew(Renewal{Holder: Holder{Host: "h", Incarnation: "10"}, Seq: 1}, epoch)
	if len(acts) != 2 {
		t.Fatalf("got %v, want the two holdings of the old incarnation ended", acts)
	}
	reply, _ := l.Renew(Renewal{Holder: Holder{Host: "h", Incarnation: "9"}, Seq: 9}, epoch)
	if reply.Newer != "10" {
		t.Errorf("the old incarnation got the reply %+v", reply)
	}
}

// A claimed reservation that is not in the books is reported gone only if books
// read after the claim do not list it either.
func TestGoneIsReportedAfterFreshBooks(t *testing.T) {
	l := ownedWith()
	claim := Claim{Engine: "e0", ID: ID{Kind: Reservation, Name: "r"}}
	renew := func(seq uint64, at time.Duration) (int, int) {
		h := Holder{Host: "h", Incarnation: "1"}
		reply, acts := l.Renew(Renewal{Holder: h, Seq: seq, Held: []Claim{claim}}, epoch.Add(at))
		return len(reply.Gone), len(acts)
	}
	if gone, reads := renew(1, time.Second); gone != 0 || reads != 1 {
		t.Errorf("first claim: %d gone, %d reads of the books", gone, reads)
	}
	if gone, _ := renew(2, 2*time.Second); gone != 0 {
		t.Error("reported gone by books older than the first claim")
	}
	now := epoch.Add(3 * time.Second)
	l.ApplyBooks(Books{Engine: "e0", Total: 1000, ReadStarted: now}, now)
	if gone, _ := renew(3, 4*time.Second); gone != 1 {
		t.Error("not reported gone by books read after the claim")
	}
}

// A reserve call that takes effect after its release is undone when the next books
// list it.
func TestLateReservationIsEndedAtOnce(t *testing.T) {
	l := ownedWith()
	late := item(Reservation, "r", "h", "1")
	late.Attempt = 0
	l.Release("e0", late.ID, late.Holder, epoch)
	l.HandleEndAnswer("e0", late.ID, true, epoch)
	now := epoch.Add(time.Second)
	acts := l.ApplyBooks(Books{Engine: "e0", Total: 1000, ReadStarted: now, Items: []Item{late}}, now)
	if len(acts) != 1 || acts[0] != (ReleaseOn{Engine: "e0", ID: late.ID, Cause: CauseLate}) {
		t.Errorf("got %+v, want a release of the late reservation", acts)
	}
}

// A paused owner must not mistake its own pause for silence of the holders.
func TestPauseOfTheOwnerEndsNothing(t *testing.T) {
	l := ownedWith(item(Reservation, "r", "h", "1"))
	l.Renew(Renewal{Holder: Holder{Host: "h", Incarnation: "1"}, Seq: 1}, epoch)
	l.Tick(epoch)
	if acts := l.Tick(epoch.Add(10 * time.Minute)); len(acts) != 0 {
		t.Errorf("after a pause: %v", acts)
	}
}

func TestRoomIsKeptForAGangAndBackfilled(t *testing.T) {
	l := ownedWith()
	now := epoch.Add(time.Second)
	h := Holder{Host: "h", Incarnation: "1"}
	ask := func(id string, n int64, size int, until time.Duration) Action {
		a := ReserveRequest{Engine: "e0", ID: id, Request: id, Holder: h, Tokens: n, GangSize: size}
		if until > 0 {
			a.Until = now.Add(until)
		}
		return l.Reserve(a, now)[0]
	}
	ask("first", 600, 1, 8*time.Second)
	gang := ask("gang", 900, 2, 0).(Deny)
	if gang.Reason != NoMemory || gang.RetryAfter != 8*time.Second {
		t.Fatalf("the gang got the answer %+v", gang)
	}
	if room, _ := l.Room("e0", now); !room.ReservedUntil.Equal(now.Add(8 * time.Second)) {
		t.Errorf("hint is %+v", room)
	}
	if d, ok := ask("late", 300, 1, 20*time.Second).(Deny); !ok || d.Reason != KeptForGang {
		t.Errorf("work that outlasts the gang's start got the memory kept for the gang")
	}
	if _, ok := ask("backfill", 300, 1, 5*time.Second).(ReserveOn); !ok {
		t.Errorf("work that ends before the gang's start was refused")
	}
}

func BenchmarkReconcile1000Running(b *testing.B) {
	var items []Item
	var claims []Claim
	for i := range 1000 {
		it := item(Running, fmt.Sprintf("request-%06d", i), fmt.Sprintf("host-%02d", i%60), "1")
		items = append(items, it)
		claims = append(claims, Claim{Engine: "e0", ID: it.ID})
	}
	l := ownedWith(items...)
	now := epoch
	seq := uint64(0)
	b.ReportAllocs()
	for b.Loop() {
		seq++
		now = now.Add(time.Second)
		l.ApplyBooks(Books{Engine: "e0", Total: 1000, ReadStarted: now, Items: items}, now)
		for host := range 60 {
			r := Renewal{Holder: Holder{Host: fmt.Sprintf("host-%02d", host), Incarnation: "1"}, Seq: seq}
			for i := host; i < len(claims); i += 60 {
				r.Held = append(r.Held, claims[i])
			}
			l.Renew(r, now)
		}
		l.Tick(now)
	}
}
