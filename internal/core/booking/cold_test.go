package booking

import (
	"testing"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/core/fleet"
	"github.com/buckthorndock/buckthorndock/internal/core/pace"
)

// markEvacuated marks engines of a book as those of an evacuated failure domain.
func (b *Book) markEvacuated(ids ...string) {
	list := &fleet.Snapshot{}
	for _, e := range b.packOrder {
		u := e.up
		for _, id := range ids {
			u.Evacuated = u.Evacuated || u.ID == id
		}
		list.Upstreams = append(list.Upstreams, u)
	}
	b.SetUpstreams(list)
}

// TestEvacuatedEnginesGetNothing guards against plans on evacuated engines, as helpers of long
// prompts or as the last resort where all others are ruled out.
func TestEvacuatedEnginesGetNothing(t *testing.T) {
	for _, prompt := range []int{1000, 100_000, 800_000} {
		b := newBook(4)
		b.markEvacuated("e00", "e02")
		a := newRequest("a", prompt)
		a.Objective, a.Left = time.Minute, time.Hour
		a.Exclude = []string{"e01"}
		p := b.Place(a, start)
		if p.Verdict != Booked && p.Verdict != TooLarge {
			t.Fatalf("prompt of %d: %+v", prompt, p)
		}
		for _, part := range p.Parts {
			if part.Upstream == "e00" || part.Upstream == "e02" {
				t.Errorf("prompt of %d: a part on %s", prompt, part.Upstream)
			}
		}
	}
	b := newBook(2)
	b.markEvacuated("e00", "e01")
	if p := b.Place(newRequest("a", 1000), start); p.Verdict != NoEngine {
		t.Errorf("all are evacuated: %+v", p)
	}
}

// TestColdEnginesAreLimitedAndUsed has engines return together, cold, under more load than
// they can take. Each gets its limit and no more, and its limit is used.
func TestColdEnginesAreLimitedAndUsed(t *testing.T) {
	const perSecond, coldFor = 3, 3 * time.Second
	b := newBook(2)
	b.Pacer().SetShare(pace.FullShare)
	for _, id := range []string{"e00", "e01"} {
		b.Pacer().SetCold(pace.ColdLimit{Upstream: id, PerSecond: perSecond, Until: start.Add(coldFor)}, start)
	}
	for id, times := range sendTimes(b, 1000, 3000, time.Millisecond) {
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
