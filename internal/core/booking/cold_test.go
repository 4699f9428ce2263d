package booking

import (
	"testing"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/core/pace"
)

// TestDomainThatReturnsColdGetsItsLoadInSteps: engines come back together, cold, under more
// than they bear. Each gets what it bears and no more, and is used for it.
func TestDomainThatReturnsColdGetsItsLoadInSteps(t *testing.T) {
	const perSecond, coldFor = 3, 3 * time.Second
	b := newBook(2)
	b.Pacer().SetShare(pace.Whole)
	for _, id := range []string{"e00", "e01"} {
		b.Pacer().Cool(pace.Cold{Upstream: id, PerSecond: perSecond, Until: start.Add(coldFor)}, start)
	}
	for id, times := range sends(b, 1000, 3000, time.Millisecond) {
		inSecond, whileCold := 0, 0
		for i, from := range times {
			if from.After(start.Add(coldFor)) {
				continue
			}
			whileCold++
			n := 0
			for n < len(times)-i && times[i+n].Sub(from) <= time.Second {
				n++
			}
			inSecond = max(inSecond, n)
		}
		if float64(inSecond) > 1.5*perSecond+5 {
			t.Errorf("%s gets %d requests in a second while it is cold", id, inSecond)
		}
		if whileCold < perSecond {
			t.Errorf("%s gets %d requests while it is cold", id, whileCold)
		}
	}
}
