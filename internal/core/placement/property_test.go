package placement

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/buckthorndock/buckthorndock/internal/core/request"
	"github.com/buckthorndock/buckthorndock/internal/core/settings"
)

// check runs a property on many seeds. f returns an empty string for a pass, else what failed.
func check(t *testing.T, name string, f func(rng *rand.Rand) string) {
	t.Helper()
	params := gopter.DefaultTestParametersWithSeed(42)
	params.MinSuccessfulTests = 400
	props := gopter.NewProperties(params)
	props.Property(name, prop.ForAll(func(seed uint64) string { return f(newRand(seed)) }, gen.UInt64()))
	props.TestingRun(t)
}

var policies = []string{settings.PolicyRandom, settings.PolicyLeastLoaded, settings.PolicyLeastLoadedPriority, settings.PolicyLengthAware}

// randomSteps applies random inputs of all kinds to a view, some of them invalid, and
// returns the attempts that were recorded and the time after the last step.
func randomSteps(v *View, rng *rand.Rand, steps int) (noted []ID, now time.Time) {
	now = t0
	for i := range steps {
		now = now.Add(time.Duration(rng.IntN(400)) * time.Millisecond)
		name := fmt.Sprintf("a-%03d", rng.IntN(7)) // sometimes none of the six
		id := ID{Request: fmt.Sprint(rng.IntN(steps))}
		switch rng.IntN(8) {
		case 0:
			v.SetState(name, State(rng.IntN(4)))
		case 1:
			r := report(int64(i), rng.Int64N(90_000))
			r.Incarnation = fmt.Sprint(rng.IntN(2))
			r.Taken = now.Add(-time.Duration(rng.IntN(900)) * time.Millisecond)
			r.MemoryUsed = rng.Int64N(testMemory)
			r.Leaving = rng.IntN(10) == 0
			v.ApplyReport(name, r)
		case 2:
			e := CacheEvent{Seq: rng.Int64N(50), Kind: EventKind(rng.IntN(3)), Block: rng.Uint64N(9)}
			v.ApplyCacheEvents(name, fmt.Sprint(rng.IntN(2)), []CacheEvent{e})
		case 3:
			v.NoteFirstToken(id, rng.IntN(500), now)
		case 4:
			v.NoteFinished(id, End{Complete: rng.IntN(2) == 0, AnswerTokens: rng.IntN(100)}, now)
		default:
			p := Placement{ID: id, Upstream: name, Model: "m", Priority: request.Priority(rng.IntN(3)), Tokens: rng.IntN(60_000),
				MaxTokens: rng.IntN(400), Prefix: []uint64{rng.Uint64N(9)}, Deadline: now.Add(time.Minute)}
			if v.NotePlaced(p, now) {
				noted = append(noted, id)
			}
		}
	}
	return noted, now
}

func TestPropertyChosenEngineIsAllowed(t *testing.T) {
	check(t, "the chosen engine is live, allowed and has the memory", func(rng *rand.Rand) string {
		v := newTestView(6)
		_, now := randomSteps(v, rng, 60)
		if rng.IntN(4) == 0 {
			setAll(Suspect)(v)
		}
		a := testRequest()
		a.Tokens = rng.IntN(90_000)
		a.Policy = policies[rng.IntN(len(policies))]
		a.Prefix = []uint64{rng.Uint64N(9), rng.Uint64N(9)}
		a.Exclude = []string{"a-001", "a-004"}
		d, err := Place(v, a, now, rng)
		if err != nil {
			return err.Error()
		}
		if d.Verdict != Placed {
			return ""
		}
		e := v.Engine(d.Chosen.Name)
		allowed := e.State() == Live || (e.State() == Suspect && d.Reason == ReasonSuspectOnly)
		if !allowed || slices.Contains(a.Exclude, e.Name()) {
			return fmt.Sprintf("%v is %v", e.Name(), e.State())
		}
		_, _, pending := e.UnreportedLoad()
		r, known := e.Report()
		if known && a.MemoryNeeded() > r.MemoryTotal-r.MemoryUsed-pending {
			return fmt.Sprintf("%d tokens on %+v with %d pending", a.MemoryNeeded(), r, pending)
		}
		return ""
	})
}

func TestPropertyAccountsReturnToZero(t *testing.T) {
	check(t, "finished attempts leave no load, and the prefix index matches the engines", func(rng *rand.Rand) string {
		v := newTestView(6)
		v.opts.PrefixBlocks = 5
		noted, now := randomSteps(v, rng, 80)
		if rng.IntN(2) == 0 {
			now = now.Add(time.Hour)
			v.Expire(now)
		}
		for _, id := range noted {
			v.NoteFinished(id, End{}, now)
		}
		indexed := 0
		for _, holders := range v.group("p", "a").prefixes.holders {
			indexed += len(holders)
		}
		for _, e := range v.Engines("p") {
			indexed -= e.CachedBlocks()
			if e.CachedBlocks() > v.opts.PrefixBlocks {
				return fmt.Sprint(e.CachedBlocks(), " blocks")
			}
			if e.pendingLoad != (pendingLoad{}) || len(e.pending) != 0 || e.inFlightMemory != 0 || e.InFlight() != 0 {
				return fmt.Sprintf("%s: %+v, held %d, in flight %d", e.Name(), e.pendingLoad, e.inFlightMemory, e.inFlight)
			}
		}
		if indexed != 0 || len(v.flights) != 0 {
			return fmt.Sprintf("index off by %d, %d flights left", indexed, len(v.flights))
		}
		return ""
	})
}

func TestPropertyBoundaryKeepsBothClasses(t *testing.T) {
	check(t, "limits rise, the first is short, the last is unlimited", func(rng *rand.Rand) string {
		var w Work
		for i := range rng.IntN(NumBands + 1) {
			w[i] = math.Floor(rng.ExpFloat64() * float64(rng.IntN(3)) * 1e6)
		}
		o := Options{}.withDefaults()
		n, longFrom := 2+rng.IntN(40), 1+rng.IntN(100_000)
		list := computeLimits(&w, n, longFrom, &o)
		if !slices.IsSorted(list) || list[n-1] != anyLength || float64(list[0]) >= o.LongSlack*float64(longFrom) {
			return fmt.Sprint(w, n, longFrom, list)
		}
		return ""
	})
}

func TestPropertyEstimateRisesWithQueue(t *testing.T) {
	check(t, "more queued work never gives an earlier first token", func(rng *rand.Rand) string {
		queued := rng.Int64N(200_000)
		var first [2]time.Duration
		for i, q := range []int64{queued, queued + 1 + rng.Int64N(100_000)} {
			v := newTestView(1)
			v.ApplyReport("a-000", report(2, q))
			a := testRequest()
			a.Priority = request.Priority(queued % 3)
			d, _ := Place(v, a, t0.Add(time.Duration(queued%5000)*time.Millisecond), rng)
			first[i] = d.Chosen.Estimate.FirstToken
		}
		undrained := queued > 10_000
		if first[0] <= 0 || first[0] > first[1] || (undrained && first[0] == first[1]) {
			return fmt.Sprint(queued, first)
		}
		return ""
	})
}
