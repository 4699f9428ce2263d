package fleet

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// ofService returns an entry with another service.
func ofService(service string, c Change) Change {
	u := *c.Upstream
	u.Service = service
	return Change{Name: c.Name, Upstream: &u}
}

// TestEntryOfAnUnusedServiceDisplacesNothing guards against live servers that are dropped because another
// program has written an entry with their address and a later start.
func TestEntryOfAnUnusedServiceDisplacesNothing(t *testing.T) {
	l := newList()
	l.Apply([]Change{atAddress("a:1", ofService("llm", entryWithStart("a", 10, 1)))}, start)
	foreign := atAddress("a:1", ofService("other", entryWithStart("x", 20, 1)))
	l.SetServices([]string{"llm"})
	l.Apply([]Change{foreign}, start.Add(time.Second))
	if got := l.listedIDs(); got != "a@10" {
		t.Errorf("beside an entry of an unused service: %q", got)
	}
	if rivals := get(t, l, "a@10").Rivals; len(rivals) != 0 {
		t.Errorf("it has rivals: %q", rivals)
	}
	l.SetServices([]string{"llm", "other"})
	if got := l.listedIDs(); got != "a@10 x@20" {
		t.Errorf("once its service is used: %q", got)
	}
}

// TestUnusedEntryAloneIsKept covers an upstream whose service leaves the settings while it serves requests.
func TestUnusedEntryAloneIsKept(t *testing.T) {
	l := newList()
	l.Apply([]Change{ofService("llm", entryWithStart("a", 10, 1))}, start)
	if !l.SetServices(nil) || l.SetServices(nil) {
		t.Error("the change of services is told not at all, or twice")
	}
	if got := l.listedIDs(); got != "a@10" {
		t.Errorf("listed %q", got)
	}
}

// TestAnswerOfTheDisplacedBringsItBack guards against a live server that stays displaced by an entry of another
// writer although it has answered itself, also while that entry is written again.
func TestAnswerOfTheDisplacedBringsItBack(t *testing.T) {
	foreign := func(heartbeat int64) Change { return atAddress("a:1", entryWithStart("x", 20, heartbeat)) }
	l := newList()
	l.Apply([]Change{atAddress("a:1", entryWithStart("a", 10, 1))}, start)
	u := get(t, l, "a@10")
	l.Apply([]Change{foreign(1)}, start.Add(time.Second))
	if got := l.listedIDs(); got != "x@20" {
		t.Fatalf("before its answer: %q", got)
	}
	x := get(t, l, "x@20")
	if !l.RecordAlive(u, x) || l.RecordAlive(u, x) {
		t.Error("its answer is recorded not at all, or twice")
	}
	for n := int64(2); n < 5; n++ {
		if got := l.listedIDs(); got != "a@10" {
			t.Errorf("after %d entries: %q", n-1, got)
		}
		l.Apply([]Change{foreign(n)}, start.Add(time.Duration(n)*time.Second))
	}
	// Later the other server does run there.
	if !l.RecordEnd(get(t, l, "a@10"), start.Add(10*time.Second)) {
		t.Error("the end of the first is not recorded")
	}
	if got := l.listedIDs(); got != "x@20" {
		t.Errorf("after the end of the first: %q", got)
	}
}

// TestOtherWritersNeverKeepALiveServerOut draws entries, removals, outages and settings around a server that lives and
// answers. Whenever an entry has displaced it, it is asked, as the daemon does, and must be listed then.
func TestOtherWritersNeverKeepALiveServerOut(t *testing.T) {
	params := gopter.DefaultTestParametersWithSeed(5)
	params.MinSuccessfulTests = 1000
	props := gopter.NewProperties(params)
	questions := 0
	props.Property("it is listed, after a question at the most", prop.ForAll(
		func(seed uint64, steps int) bool {
			w := newForeignWorld(seed)
			for range steps {
				w.step()
				asked, ok := w.ask()
				if questions += asked; !ok {
					return false
				}
			}
			return true
		}, gen.UInt64(), gen.IntRange(1, 60)))
	props.TestingRun(t)
	if questions < 1000 {
		t.Errorf("only %d questions were asked", questions)
	}
}

// foreignWorld is a list with one live server, "a", and entries of other writers.
type foreignWorld struct {
	rng       *rand.Rand
	l         *List
	now       time.Time
	heartbeat int64
	live      Upstream
}

func newForeignWorld(seed uint64) *foreignWorld {
	w := &foreignWorld{rng: rand.New(rand.NewPCG(seed, 5)), l: newList(), now: start}
	w.l.SetServices([]string{"llm"})
	w.beat()
	w.live = w.l.Snapshot().Upstreams[0]
	return w
}

// beat writes the live server's entry.
func (w *foreignWorld) beat() {
	w.heartbeat++
	w.l.Apply([]Change{ofService("llm", entryWithStart("a", 100, w.heartbeat))}, w.now)
}

// step lets one thing happen.
func (w *foreignWorld) step() {
	names, services := []string{"x", "y", "z"}, []string{"llm", "shop", "unnamed"}
	name := names[w.rng.IntN(len(names))]
	w.now = w.now.Add(time.Duration(w.rng.Int64N(int64(3 * time.Second))))
	switch w.rng.IntN(8) {
	case 0:
		w.l.Apply([]Change{{Name: name}}, w.now)
	case 1:
		w.l.SetServices(services[:1+w.rng.IntN(2)])
	case 2:
		w.now = w.now.Add(time.Hour) // an outage
		w.beat()
	case 3:
		w.beat()
	default:
		c := atAddress(w.live.Address, ofService(services[w.rng.IntN(len(services))], entryWithStart(name, int64(w.rng.IntN(300)), int64(w.rng.IntN(50)))))
		c.Upstream.Leaving = w.rng.IntN(4) == 0
		w.l.Apply([]Change{c}, w.now)
	}
}

// ask asks who runs at the live server's address while it is not listed, and records its answer. ok is false if that
// does not bring it back.
func (w *foreignWorld) ask() (asked int, ok bool) {
	const most = 3 // a question for each other writer
	for ; asked <= most; asked++ {
		if u, listed := w.l.Snapshot().Get(w.live.ID); listed {
			return asked, !u.Leaving
		}
		successor, found := w.l.Snapshot().Successor(w.live)
		if !found || !w.l.RecordAlive(w.live, successor) {
			return asked, false
		}
	}
	return asked, false
}
