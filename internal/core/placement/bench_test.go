package placement

import (
	"fmt"
	"strings"
	"testing"

	"github.com/buckthorndock/buckthorndock/internal/core/request"
	"github.com/buckthorndock/buckthorndock/internal/core/settings"
)

// newLoadedView returns a view of n engines with various loads, own placements and a prompt
// prefix that a third of the engines have cached.
func newLoadedView(n int, prefix []uint64) *View {
	v := newTestView(n)
	rng := newRand(7)
	for i, e := range v.Engines("p") {
		r := report(2, rng.Int64N(50_000))
		r.Running = rng.IntN(20)
		r.MemoryUsed = rng.Int64N(testMemory / 2)
		v.ApplyReport(e.Name(), r)
		for j := range 4 {
			id := ID{Request: fmt.Sprint(i, "/", j)}
			v.NotePlaced(Placement{ID: id, Upstream: e.Name(), Model: "m", Priority: request.Priority(j % 3), Tokens: 2000, MaxTokens: 100}, t0)
		}
		if i%3 == 0 {
			storeAll(v, e.Name(), prefix)
		}
	}
	return v
}

func storeAll(v *View, engine string, blocks []uint64) {
	events := make([]CacheEvent, len(blocks))
	for i, b := range blocks {
		events[i] = CacheEvent{Seq: int64(i + 1), Kind: Stored, Block: b}
	}
	v.ApplyCacheEvents(engine, "a", events)
}

func BenchmarkPlace(b *testing.B) {
	prefix := PrefixBlocks(strings.Repeat("pantry ", 2000), 1024, 64)
	policies := []string{settings.PolicyRandom, settings.PolicyLeastLoaded, settings.PolicyLengthAware}
	for _, policy := range policies {
		for _, n := range []int{20, 130, 880} {
			v := newLoadedView(n, prefix)
			rng := newRand(3)
			a := testRequest()
			a.Policy = policy
			a.Tokens = 4000
			a.Prefix = prefix
			b.Run(fmt.Sprintf("%s/%d", policy, n), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					if d, err := Place(v, a, t0, rng); err != nil || d.Verdict != Placed {
						b.Fatal(d, err)
					}
				}
			})
		}
	}
}

func BenchmarkPlaceLong(b *testing.B) {
	for _, n := range []int{20, 130, 880} {
		v := newLoadedView(n, nil)
		rng := newRand(3)
		a := testRequest()
		a.Tokens = 40_000
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if d, err := Place(v, a, t0, rng); err != nil || d.Verdict != Placed {
					b.Fatal(d, err)
				}
			}
		})
	}
}

func BenchmarkPrefixBlocks4MB(b *testing.B) {
	text := strings.Repeat("x", 4<<20)
	b.ReportAllocs()
	for b.Loop() {
		PrefixBlocks(text, 1024, 1024)
	}
}

func BenchmarkNotePlacedToFinished(b *testing.B) {
	v := newLoadedView(130, nil)
	p := Placement{ID: ID{Request: "r"}, Upstream: "a-000", Model: "m", Tokens: 2000, MaxTokens: 100}
	b.ReportAllocs()
	for b.Loop() {
		v.NotePlaced(p, t0)
		v.NoteFinished(p.ID, End{}, t0)
	}
}
