package quarantine

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

var start = time.Unix(1_800_000_000, 0)

const step = time.Second

// job is a request in the simulated pool.
type job struct {
	fingerprint uint64
	culprit     bool
	host        int
	engine      int // -1 while waiting
	run         Run
	left        int // steps to its end, or to its engine's death
	crashes     int
	done        bool
}

// world is a pool of engines and hosts that place jobs on them.
type world struct {
	rng             *rand.Rand
	now             time.Time
	hosts           []*Tracker
	engines         int
	incarnation     []int
	jobs            []*job
	innocentRefused bool // an innocent was refused
}

func newWorld(seed uint64, hosts, engines int) *world {
	w := &world{rng: rand.New(rand.NewPCG(seed, 1)), now: start, engines: engines, incarnation: make([]int, engines)}
	for h := range hosts {
		w.hosts = append(w.hosts, New(Options{Host: fmt.Sprint(h), SettleAfter: 3 * step, QuarantineTime: time.Hour}))
	}
	return w
}

func (w *world) add(culprit bool) {
	w.jobs = append(w.jobs, &job{fingerprint: uint64(len(w.jobs) + 1), culprit: culprit, host: w.rng.IntN(len(w.hosts)), engine: -1})
}

// step places and ends jobs, and then exchanges digests between all hosts.
func (w *world) step() {
	w.now = w.now.Add(step)
	for _, i := range w.rng.Perm(len(w.jobs)) {
		if j := w.jobs[i]; !j.done && j.engine < 0 {
			w.place(j)
		}
	}
	for _, j := range w.jobs {
		if j.engine < 0 || j.done {
			continue
		}
		j.left--
		switch {
		case j.left > 0:
		case j.culprit:
			j.crashes++
			w.crash(j.engine)
		default:
			w.hosts[j.host].End(j.run, true)
			j.done = true
		}
	}
	for i, from := range w.hosts {
		d := from.Digest(w.now)
		for k, to := range w.hosts {
			if i != k {
				to.Merge(d, w.now)
			}
		}
	}
}

func (w *world) place(j *job) {
	t := w.hosts[j.host]
	if t.Standing(workOf(j.fingerprint), w.now) == Refused {
		w.innocentRefused = w.innocentRefused || !j.culprit
		j.done = true
		return
	}
	engine := w.rng.IntN(w.engines)
	if !t.MayPlace(fmt.Sprint(engine), workOf(j.fingerprint), w.now) {
		return
	}
	j.engine = engine
	j.run = t.Started(fmt.Sprint(engine), workOf(j.fingerprint))
	j.left = 1 + w.rng.IntN(5)
}

func (w *world) crash(engine int) {
	w.incarnation[engine]++
	for _, t := range w.hosts {
		t.EngineDied(fmt.Sprint(engine), fmt.Sprint(w.incarnation[engine]), w.now)
	}
	for _, j := range w.jobs {
		if j.engine == engine && !j.done {
			j.engine = -1
			w.hosts[j.host].End(j.run, false) // reported after the death
		}
	}
}

// run adds innocents and culprits over time, more innocents afterwards, and steps
// until all jobs are done. It returns the most crashes of one culprit and whether
// all jobs are done.
func (w *world) run(innocents, culprits int) (worst int, over bool) {
	kinds := w.rng.Perm(innocents + culprits)
	for n := 0; n < 2000 && (n < 60 || !w.allDone()); n++ {
		for k := 0; k < 3 && len(kinds) > 0; k++ {
			w.add(kinds[0] < culprits)
			kinds = kinds[1:]
		}
		if n < 60 && n%2 == 0 {
			w.add(false)
		}
		w.step()
	}
	for _, j := range w.jobs {
		worst = max(worst, j.crashes)
	}
	return worst, w.allDone()
}

func (w *world) allDone() bool {
	return !slices.ContainsFunc(w.jobs, func(j *job) bool { return !j.done })
}

func TestInnocentsAreServedAndCulpritsBounded(t *testing.T) {
	for _, c := range []struct{ hosts, engines, innocents, culprits int }{
		{1, 1, 20, 1}, {1, 4, 20, 1}, {1, 6, 20, 2}, {1, 3, 40, 4}, {3, 6, 20, 2}, {8, 6, 20, 1},
	} {
		t.Run(fmt.Sprint(c), func(t *testing.T) {
			params := gopter.DefaultTestParametersWithSeed(50)
			params.MinSuccessfulTests = 40
			props := gopter.NewProperties(params)
			worst := 0
			props.Property("all innocents complete, all culprits are refused in time", prop.ForAll(func(seed uint64) bool {
				w := newWorld(seed, c.hosts, c.engines)
				crashes, over := w.run(c.innocents, c.culprits)
				worst = max(worst, crashes)
				if c.hosts == 1 && crashes > DefaultCrashThreshold+1 {
					return false
				}
				return over && !w.innocentRefused && crashes >= DefaultCrashThreshold
			}, gen.UInt64()))
			props.TestingRun(t)
			t.Logf("most crashes of one culprit: %d", worst)
		})
	}
}

// crashEngine starts fingerprints on an engine and records its death.
func crashEngine(t *Tracker, engine, incarnation string, now time.Time, fingerprints ...uint64) {
	for _, f := range fingerprints {
		t.Started(engine, workOf(f))
	}
	t.EngineDied(engine, incarnation, now)
}

func TestStandings(t *testing.T) {
	tr := New(Options{})
	crashEngine(tr, "e1", "1", start, 1, 2)
	crashEngine(tr, "e1", "1", start, 2) // the same death, reported again
	now := start.Add(DefaultSettleAfter)
	if got := tr.Standing(workOf(1), now); got != Suspect {
		t.Fatalf("after one death: %s", got)
	}
	tr.Started("e2", workOf(1))
	for _, c := range []struct {
		engine      string
		fingerprint uint64
		want        bool
	}{{"e2", 2, false}, {"e3", 2, true}, {"e2", 3, true}, {"e3", 1, false}} {
		if got := tr.MayPlace(c.engine, workOf(c.fingerprint), now); got != c.want {
			t.Errorf("beside suspect 1 on e2: MayPlace(%s, %d) = %v", c.engine, c.fingerprint, got)
		}
	}
	tr.Started("e2", workOf(3))
	tr.EngineDied("e2", "1", now)
	if got := tr.Standing(workOf(1), now); got != Held || tr.MayPlace("e3", workOf(1), now) {
		t.Errorf("just after its second death: %s", got)
	}
	now = now.Add(DefaultSettleAfter)
	tr.Started("e3", workOf(4))
	if got := tr.Standing(workOf(1), now); got != Isolate || tr.MayPlace("e3", workOf(1), now) || !tr.MayPlace("e4", workOf(1), now) {
		t.Errorf("twice beside others: %s", got)
	}
	run := tr.Started("e4", workOf(1))
	if tr.MayPlace("e4", workOf(5), now) {
		t.Error("a clear request may start beside an isolated one")
	}
	tr.End(run, false)
	tr.End(tr.Started("e3", workOf(2)), true)
	tr.End(tr.Started("e3", workOf(3)), true)
	if got := tr.Standing(workOf(1), now); got != Refused || tr.RefusedFor(workOf(1), now) != DefaultQuarantineTime {
		t.Errorf("when all beside it have completed: %s", got)
	}
	now = now.Add(DefaultQuarantineTime)
	if got := tr.Standing(workOf(1), now); got != Clear || len(tr.records) != 0 || len(tr.openRecords) != 0 {
		t.Errorf("when its time is over: %s, %d records", got, len(tr.records))
	}
}

func TestMergeIsAUnion(t *testing.T) {
	props := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(51))
	props.Property("any order and repetition give the same evidence", prop.ForAll(func(seed uint64) bool {
		rng := rand.New(rand.NewPCG(seed, 2))
		var digests []Digest
		for h := range 3 {
			tr := New(Options{Host: fmt.Sprint(h)})
			for i := range 4 {
				crashEngine(tr, fmt.Sprint(i), "1", start, rng.Uint64N(5), rng.Uint64N(5))
			}
			tr.End(tr.Started("x", workOf(rng.Uint64N(5))), true)
			digests = append(digests, tr.Digest(start))
		}
		merge := func(order []int) Digest {
			tr := New(Options{Host: "me"})
			for _, i := range order {
				tr.Merge(digests[i], start)
			}
			return tr.Digest(start)
		}
		a, b := rng.Perm(3), rng.Perm(3)
		return reflect.DeepEqual(merge(append(a, b...)), merge(b))
	}, gen.UInt64()))
	props.TestingRun(t)
}

func TestRefusalSpreadsAndEvidenceIsBounded(t *testing.T) {
	a, b := New(Options{Host: "a", SettleAfter: -1}), New(Options{Host: "b"})
	crashEngine(a, "e1", "1", start, 7)
	crashEngine(a, "e2", "1", start, 7)
	if got := a.Standing(workOf(7), start); got != Refused {
		t.Fatalf("alone in two deaths: %s", got)
	}
	b.Merge(a.Digest(start), start)
	later := start.Add(time.Minute)
	a.Merge(b.Digest(later), later.Add(time.Second)) // a slow message
	if x, y := a.RefusedFor(workOf(7), later), b.RefusedFor(workOf(7), later); x != y || x != DefaultQuarantineTime-time.Minute {
		t.Errorf("refused for %v and %v", x, y)
	}
	a.Standing(workOf(8), start.Add(DefaultQuarantineTime-expireEvery/2))
	if got := a.Standing(workOf(7), start.Add(DefaultQuarantineTime)); got != Clear {
		t.Errorf("when its time is over: %s", got)
	}
	crashEngine(a, "e1", "2", start, 1, 2)
	crashEngine(a, "e2", "2", start, 1, 3)
	b.Merge(a.Digest(start), start)
	a.End(a.Started("e3", workOf(2)), true)
	b.Merge(a.Digest(start), start)
	if got := b.Standing(workOf(1), start.Add(DefaultSettleAfter)); got != Refused {
		t.Errorf("when a peer has cleared the other: %s", got)
	}
	for i := range 2 * DefaultMaxRecords {
		crashEngine(b, "e", fmt.Sprint(i), start.Add(time.Duration(i)), uint64(100+i))
	}
	if len(b.records) != DefaultMaxRecords || len(b.openRecords) > DefaultMaxRecords {
		t.Errorf("%d records of %d fingerprints are kept", len(b.records), len(b.openRecords))
	}
	hold := Digest{Host: "c", Holds: []Hold{{"e9", 500, Isolate}}}
	b.Merge(hold, start)
	if b.MayPlace("e9", workOf(9), start) {
		t.Error("placed beside a peer's isolated request")
	}
	b.ForgetHost("c")
	if !b.MayPlace("e9", workOf(9), start) {
		t.Error("the hold of a forgotten host still counts")
	}
}

func BenchmarkMayPlace(b *testing.B) {
	t := New(Options{})
	for i := range 100 {
		t.Started("busy", workOf(uint64(i)))
	}
	b.Run("no evidence", func(b *testing.B) { benchmarkMayPlace(b, t) })
	for i := range 100 {
		crashEngine(t, fmt.Sprint(i), "1", start, uint64(1000+i), uint64(2000+i))
	}
	b.Run("100 deaths", func(b *testing.B) { benchmarkMayPlace(b, t) })
}

// benchmarkMayPlace measures MayPlace for an engine that runs 100 requests.
func benchmarkMayPlace(b *testing.B, t *Tracker) {
	b.ReportAllocs()
	for b.Loop() {
		t.MayPlace("busy", workOf(1_000_000), start)
	}
}
