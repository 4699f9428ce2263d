package booking

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"
)

// TestCachedLoadsEqualRecomputedLoads applies random changes to a book, and compares after each
// one the cached load of each engine with the one recomputed from its entries.
func TestCachedLoadsEqualRecomputedLoads(t *testing.T) {
	const engines, steps = 6, 400
	for seed := range uint64(10) {
		rng := rand.New(rand.NewPCG(seed, 5))
		b, now := newBook(engines), start
		id := func() string { return fmt.Sprint("r", rng.IntN(60)) }
		for step := range steps {
			now = now.Add(time.Duration(rng.IntN(50)) * time.Millisecond)
			switch rng.IntN(12) {
			case 0, 1, 2, 3, 4:
				b.Place(newRequest(id(), []int{3000, 45_000, 300_000}[rng.IntN(3)]), now)
			case 5, 6:
				b.RecordFirstEvent(id())
			case 7, 8:
				b.End(id())
			case 9:
				b.Expire(now)
			case 10:
				changed := figures
				changed.StepMs += rng.Float64()
				b.SetServices([]Service{{Name: "llm", Figures: changed, MinGap: 200 * time.Millisecond}})
			case 11:
				b.SetUpstreams(upstreams(engines - rng.IntN(2)))
			}
			for _, e := range b.packOrder {
				cached := e.loadAt(now, 200*time.Millisecond)
				e.invalidate()
				if recomputed := e.loadAt(now, 200*time.Millisecond); !reflect.DeepEqual(cached, recomputed) {
					t.Fatalf("seed %d, step %d, %s: cached %+v, recomputed %+v", seed, step, e.up.ID, cached, recomputed)
				}
			}
		}
	}
}
