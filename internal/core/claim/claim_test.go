package claim

import (
	"bytes"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

const (
	modelSeed  = 20261202
	modelCases = 800
	modelSteps = 800 // upper bound of the random number of steps of a case
)

func modelParameters() *gopter.TestParameters {
	p := gopter.DefaultTestParametersWithSeed(modelSeed)
	p.MinSuccessfulTests = modelCases
	p.MaxSize = modelSteps
	return p
}

// atMostOnce is the property that the sound hosts must keep and that each mutant
// must break.
func atMostOnce(m mutant) gopter.Prop {
	return prop.ForAll(func(steps []uint32) bool {
		w := newWorld(m)
		for _, n := range steps {
			w.step(n)
		}
		return w.atMostOnePerKey()
	}, gen.SliceOf(gen.UInt32()))
}

func TestAtMostOnce(t *testing.T) {
	properties := gopter.NewProperties(modelParameters())
	properties.Property("no key is dispatched twice", atMostOnce(sound))
	properties.TestingRun(t)
}

// TestAtMostOnceWhenTheLogIsRestored guards against a second dispatch of a key after the log was
// restored from an older copy: confirmed claims are lost, offsets are reused, and some combiners do
// not know the new era yet.
func TestAtMostOnceWhenTheLogIsRestored(t *testing.T) {
	properties := gopter.NewProperties(modelParameters())
	properties.Property("no key is dispatched twice", atMostOnceWithRestores(sound))
	properties.TestingRun(t)
	if result := atMostOnceWithRestores(ignoresEras).Check(modelParameters()); result.Status != gopter.TestFailed {
		t.Errorf("a host that ignores eras passes the property: %v", result.Status)
	}
}

// atMostOnceWithRestores is atMostOnce with a log that may be restored from older copies.
func atMostOnceWithRestores(m mutant) gopter.Prop {
	return prop.ForAll(func(steps []uint32) bool {
		w := newWorld(m)
		w.restores = true
		for _, n := range steps {
			w.step(n)
		}
		return w.atMostOnePerKey()
	}, gen.SliceOf(gen.UInt32()))
}

// TestKeysAreServedAgainOnceTheEraIsOlderThanTheWindow checks that a mark of any host shows how long
// the log has been in its era, by its own time or by the start of the era that it states. The latter
// is for replays that start after the first mark.
func TestKeysAreServedAgainOnceTheEraIsOlderThanTheWindow(t *testing.T) {
	began := time.UnixMilli(1_800_000_000_000)
	r := NewReplayIn(Options{}, 2)
	mark := func(offset int64, at time.Time, m Mark) {
		data, err := Encode(Record{Mark: &m})
		if err != nil {
			t.Fatal(err)
		}
		r.Apply(Input{Offset: offset, At: at, Data: data})
	}
	mark(1, began.Add(-time.Hour), Mark{Host: "a", Era: 1})
	if st := r.Lookup("c", "k", began); st.State != KeyUncertain {
		t.Errorf("without a mark of the era: %v", st.State)
	}
	mark(2, began.Add(time.Hour), Mark{Host: "a", Era: 2, SinceMs: began.UnixMilli()})
	if st := r.Lookup("c", "k", began.Add(time.Hour)); st.State != KeyFree {
		t.Errorf("an hour after the era began: %v", st.State)
	}
	r = NewReplayIn(Options{}, 2)
	mark(1, began, Mark{Host: "a", Era: 2})
	if st := r.Lookup("c", "k", began.Add(time.Minute)); st.State != KeyUncertain || st.Wait != r.o.Window()-time.Minute {
		t.Errorf("a minute after it: %v for %s", st.State, st.Wait)
	}
}

func TestAtMostOnceCatchesMutants(t *testing.T) {
	for name, m := range map[string]mutant{
		"skips the read-back":      skipsReadBack,
		"dispatches after release": dispatchesAfterRelease,
	} {
		result := atMostOnce(m).Check(modelParameters())
		if result.Status != gopter.TestFailed {
			t.Errorf("a host that %s passes the property: %v", name, result.Status)
		}
	}
}

// TestEachKeyRunsOnceWithoutFaults checks that if every append and read works, each
// key that any number of hosts ask for, in any order, is dispatched exactly once.
// The last key of the model is left out: its timestamp is in the future.
func TestEachKeyRunsOnceWithoutFaults(t *testing.T) {
	parameters := modelParameters()
	parameters.MaxSize = modelSteps / 10
	properties := gopter.NewProperties(parameters)
	properties.Property("each key is dispatched exactly once", prop.ForAll(func(asks []uint32) bool {
		w := newWorld(sound)
		for _, n := range asks {
			h := w.hosts[n%modelHosts]
			c := w.hosts[n/modelHosts%modelHosts]
			w.append(Record{Claim: &w.ask(h, c, w.keys[n/9%(modelKeys-1)]).claim})
			w.read(c, int(n/18%4))
		}
		for i, h := range w.hosts {
			c := w.hosts[(i+1)%modelHosts]
			w.read(c, len(w.log))
			for _, t := range h.attempts {
				w.readVerdict(t, c)
				w.tryDispatch(t)
			}
		}
		for key := range w.asked {
			if len(w.runs[key]) != 1 {
				return false
			}
		}
		return true
	}, gen.SliceOf(gen.UInt32())))
	properties.TestingRun(t)
}

// TestModelReachesTheHardCases guards against a property that passes because it is
// hardly exercised: the random steps must run and supersede keys, restart after a
// trim and meet uncertain keys.
func TestModelReachesTheHardCases(t *testing.T) {
	var ran, superseded, restarted, uncertain int
	prop.ForAll(func(steps []uint32) bool {
		w := newWorld(sound)
		for _, n := range steps {
			w.step(n)
		}
		ran += len(w.runs)
		for _, h := range w.hosts {
			restarted += int(h.replay.Stats().Restarts)
			for _, e := range h.replay.entries {
				if e.holder.Supersedes != 0 {
					superseded++
				}
				if e.offset == 0 {
					uncertain++
				}
			}
		}
		return true
	}, gen.SliceOf(gen.UInt32())).Check(modelParameters())
	t.Logf("runs %d, superseded %d, restarts %d, uncertain %d", ran, superseded, restarted, uncertain)
	for name, n := range map[string]int{"runs": ran, "superseded": superseded, "restarts": restarted, "uncertain": uncertain} {
		if n < 50 {
			t.Errorf("%s: only %d in %d cases", name, n, modelCases)
		}
	}
}

func TestPermitSteps(t *testing.T) {
	now := time.UnixMilli(1000)
	p := NewPermit(now)
	if p.Dispatch(now) || !p.Grant(7) || p.Grant(8) || p.Offset() != 7 {
		t.Fatal("asked: only the first grant may succeed")
	}
	if !p.Dispatch(now) || p.Dispatch(now) || p.Release() || p.Kill() {
		t.Fatal("claimed: one dispatch, then nothing")
	}
	late := NewPermit(now)
	late.Grant(1)
	if late.Dispatch(now.Add(1)) || late.State() != Dead || !late.Release() || late.Release() {
		t.Fatal("a late permit becomes dead and can be released once")
	}
}

func TestPermitExpiresByTheWallClock(t *testing.T) {
	now := time.Now()
	p := NewPermit(now.Add(time.Minute))
	p.Grant(1)
	// A suspended machine: an hour passes on the wall clock, none on the monotonic.
	if p.Dispatch(now.Round(0).Add(time.Hour)) || p.State() != Dead {
		t.Error("dispatched after a suspension")
	}
}

func TestCustomersDoNotShareKeys(t *testing.T) {
	r := NewReplay(Options{})
	for i, customer := range []string{"frigolijst", "kuopio"} {
		c := sampleClaim(i)
		c.Customer, c.Key = customer, "k"
		if ev := r.Apply(input(t, int64(i+1), Record{Claim: &c})); ev.Verdict != Holds {
			t.Errorf("%s: %v", customer, ev.Verdict)
		}
	}
}

func TestOtherBodyConflicts(t *testing.T) {
	r := NewReplay(Options{})
	first, second := sampleClaim(1), sampleClaim(2)
	second.Key, second.Fingerprint = first.Key, first.Fingerprint+1
	r.Apply(input(t, 1, Record{Claim: &first}))
	ev := r.Apply(input(t, 2, Record{Claim: &second}))
	if ev.Verdict != Conflict || ev.Holder.Offset != 1 {
		t.Errorf("got %+v", ev)
	}
}

func TestOnlyTheHolderReleases(t *testing.T) {
	r := NewReplay(Options{})
	c := sampleClaim(1)
	r.Apply(input(t, 1, Record{Claim: &c}))
	strangers := []Release{
		{Offset: 1, Host: c.Host, Incarnation: c.Incarnation + 1},
		{Offset: 1, Host: c.Host + "x", Incarnation: c.Incarnation},
		{Offset: 2, Host: c.Host, Incarnation: c.Incarnation},
	}
	for i, rel := range strangers {
		if ev := r.Apply(input(t, int64(i+2), Record{Release: &rel})); ev.Kind != EventNone {
			t.Errorf("release %+v was accepted", rel)
		}
	}
	own := Release{Offset: 1, Host: c.Host, Incarnation: c.Incarnation}
	if ev := r.Apply(input(t, 5, Record{Release: &own})); ev.Kind != EventReleased {
		t.Error("the holder's own release was not accepted")
	}
}

func TestOtherKeyLifeNeverHolds(t *testing.T) {
	r := NewReplay(Options{})
	other, own := sampleClaim(1), sampleClaim(2)
	other.LifeMs++
	own.Key = other.Key
	first := r.Apply(input(t, 1, Record{Claim: &other}))
	second := r.Apply(input(t, 2, Record{Claim: &own}))
	if first.Verdict != Uncertain || second.Verdict != Uncertain {
		t.Errorf("got %v, then %v; want both uncertain", first.Verdict, second.Verdict)
	}
}

func TestEntriesAreDropped(t *testing.T) {
	r := NewReplay(Options{})
	for i := range 100 {
		c := sampleClaim(i)
		in := input(t, int64(i+1), Record{Claim: &c})
		in.At = in.At.Add(time.Duration(i) * time.Minute)
		r.Apply(in)
	}
	if r.Len() != 12 || len(r.byOffset) != 12 || len(r.queue) != 12 {
		t.Errorf("%d keys, %d offsets, %d queued; the window holds 12", r.Len(), len(r.byOffset), len(r.queue))
	}
}

func sampleClaim(i int) Claim {
	c := Claim{
		Customer: "frigolijst", Key: fmt.Sprintf("01939f2e-7c1a-4000-8000-%012d", i),
		Host: "hal-a-3", Incarnation: 1764700000000, Fingerprint: 0x9e3779b97f4a7c15,
		NotAfterMs: 1 << 45, LifeMs: DefaultKeyLife.Milliseconds(),
	}
	c.ID[0], c.ID[1], c.ID[15] = byte(i), byte(i>>8), 1
	return c
}

func input(t testing.TB, offset int64, r Record) Input {
	data, err := Encode(r)
	if err != nil {
		t.Fatal(err)
	}
	return Input{Offset: offset, At: time.UnixMilli(1_800_000_000_000), Data: data}
}

func FuzzDecode(f *testing.F) {
	c := sampleClaim(1)
	for _, r := range []Record{{Claim: &c}, {Release: &Release{Offset: 3, Host: "h"}}, {Mark: &Mark{}}} {
		f.Add(input(f, 1, r).Data)
	}
	f.Add([]byte(`{"c":{"i":"AA"}}`))
	f.Add([]byte(`{"c":{},"r":{}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := Decode(data)
		if err != nil {
			return
		}
		again, err := Encode(r)
		if err != nil {
			t.Fatalf("decoded, but cannot be encoded: %v", err)
		}
		back, err := Decode(again)
		if err != nil {
			t.Fatalf("own encoding refused: %v", err)
		}
		twice, err := Encode(back)
		if err != nil || !bytes.Equal(again, twice) {
			t.Fatalf("not stable: %s then %s (%v)", again, twice, err)
		}
	})
}

func BenchmarkReplayRecord(b *testing.B) {
	inputs := make([]Input, 1<<15)
	for i := range inputs {
		c := sampleClaim(i)
		inputs[i] = input(b, int64(i+1), Record{Claim: &c})
	}
	b.ReportMetric(float64(len(inputs[0].Data)), "B/record")
	b.ResetTimer()
	for n := 0; n < b.N; n++ {
		if n%len(inputs) == 0 {
			b.StopTimer()
			benchReplay = NewReplay(Options{})
			b.StartTimer()
		}
		benchReplay.Apply(inputs[n%len(inputs)])
	}
	b.ReportMetric(float64(len(inputs[0].Data)), "B/record")
}

var benchReplay *Replay

// BenchmarkReplayMemory reports the memory that a replay uses per key.
func BenchmarkReplayMemory(b *testing.B) {
	const keys = 26_000
	var before, after runtime.MemStats
	for range b.N {
		benchReplay = nil
		runtime.GC()
		runtime.ReadMemStats(&before)
		benchReplay = NewReplay(Options{})
		for i := range keys {
			c := sampleClaim(i)
			benchReplay.Apply(input(b, int64(i+1), Record{Claim: &c}))
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/keys, "B/key")
}
