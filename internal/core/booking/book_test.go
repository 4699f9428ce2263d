package booking

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/buckthorndock/buckthorndock/internal/core/cost"
	"github.com/buckthorndock/buckthorndock/internal/core/fleet"
)

var start = time.Unix(1_800_000_000, 0)

var figures = cost.Figures{
	Slots: 16, Memory: 450_000, Stride: 46, Chunk: 2048, StepMs: 0.925, PerSeqMs: 0.00483,
	ContextPerK: 0.00254, PrefillTokensPerMs: 256, PairsMsPerM: 0.0917, UsualPrompt: 13_000, UsualAnswer: 1500, MaxHelpers: 16,
}

func upstreams(n int) *fleet.Snapshot {
	l := fleet.New(fleet.Options{OutageAfter: time.Hour})
	var all []fleet.Change
	for i := range n {
		id := fmt.Sprintf("e%02d", i)
		u := fleet.Upstream{Incarnation: fleet.Incarnation{Name: id}, Service: "llm", Address: id + ":1", Slots: 16}
		all = append(all, fleet.Change{Name: id, Upstream: &u})
	}
	l.Replace(all, start)
	return l.Snapshot()
}

func newBook(engines int) *Book {
	b := New()
	b.SetServices([]Service{{Name: "llm", Figures: figures, MinGap: 200 * time.Millisecond}})
	b.SetUpstreams(upstreams(engines))
	return b
}

func newRequest(id string, prompt int) Request {
	a := Request{ID: id, Host: "h1", Service: "llm", Prompt: prompt, Answer: 1600, Expected: 1500, Left: 10 * time.Second}
	switch {
	case prompt < 24_000:
		a.Objective, a.Gap = 300*time.Millisecond, 200*time.Millisecond
	case prompt < 112_000:
		a.Objective, a.Gap = 1500*time.Millisecond, 500*time.Millisecond
	default:
		a.Objective, a.Gap, a.Left = 3*time.Second, 800*time.Millisecond, 15*time.Second
	}
	return a
}

func TestShortPromptsArePacked(t *testing.T) {
	b := newBook(8)
	used := map[string]int{}
	for i := range 12 {
		id := fmt.Sprint(i)
		p := b.Place(newRequest(id, 5000), start)
		if p.Verdict != Booked || len(p.Parts) != 1 {
			t.Fatalf("%d: %+v", i, p)
		}
		b.RecordFirstEvent(id)
		used[p.Parts[0].Upstream]++
	}
	if len(used) != 1 {
		t.Errorf("12 short prompts are on %v", used)
	}
	for i := range 8 {
		id := fmt.Sprint("more", i)
		p := b.Place(newRequest(id, 5000), start)
		b.RecordFirstEvent(id)
		used[p.Parts[0].Upstream]++
	}
	if len(used) != 2 {
		t.Errorf("20 short prompts are on %v", used)
	}
}

func TestShortPromptAvoidsEnginesWithBookedParts(t *testing.T) {
	b := newBook(10)
	open := b.Place(newRequest("writes", 5000), start).Parts[0]
	b.RecordFirstEvent("writes")
	booked := Plan{Parts: []Part{open}, Wait: 500 * time.Millisecond, Read: 400 * time.Millisecond, First: time.Second}
	b.Record(newRequest("long", 210_000), booked, start)
	if p := b.Place(newRequest("short", 5000), start); p.Parts[0].Upstream == open.Upstream {
		t.Error("it is on the engine on which the prefill of a long part starts soon")
	}
}

func TestFailingEnginesAreTakenWhenNoOtherIsLeft(t *testing.T) {
	b := newBook(2)
	a := newRequest("a", 5000)
	a.Avoid = []string{"e00"}
	if p := b.Place(a, start); p.Parts[0].Upstream != "e01" {
		t.Errorf("got %+v", p)
	}
	a.ID, a.Exclude = "b", []string{"e01"}
	if p := b.Place(a, start); p.Verdict != Booked || p.Reason != ReasonOnlyFail {
		t.Errorf("got %+v", p)
	}
	b.SetUpstreams(upstreams(0))
	if p := b.Place(a, start); p.Verdict != NoEngine {
		t.Errorf("got %+v", p)
	}
}

func TestMissingFiguresCauseNoRefusal(t *testing.T) {
	b := newBook(3)
	b.SetServices([]Service{{Name: "llm", Figures: cost.Figures{StepMs: 1, Stride: 10}}})
	for i, prompt := range []int{1000, 45_000, 900_000} {
		p := b.Place(newRequest(fmt.Sprint(i), prompt), start)
		if p.Verdict != Booked || len(p.Parts) != 1 {
			t.Errorf("%d tokens: %+v", prompt, p)
		}
	}
}

func TestDecodeWithoutAGapObjectiveToleratesAnyPause(t *testing.T) {
	b := newBook(1)
	a := newRequest("calm", 5000)
	a.Gap = 0
	b.Place(a, start)
	b.RecordFirstEvent("calm")
	if l := b.packOrder[0].loadAt(start, 200*time.Millisecond); !l.toleratesPause(10 * time.Second) {
		t.Error("a pause of ten seconds makes it late")
	}
}

func TestRestoreReplacesTheAttemptsOfADaemon(t *testing.T) {
	b := newBook(4)
	p := b.Place(newRequest("old", 5000), start)
	b.Restore("h1", []OpenAttempt{{Ask: newRequest("new", 5000), Plan: p, Age: time.Second, HasFirst: true}}, start)
	if b.Len() != 1 || b.entries["new"] == nil || !b.entries["new"].hasFirst {
		t.Errorf("the book has %v", b.entries)
	}
	b.DropHost("h1")
	if b.Len() != 0 || len(b.byHost) != 0 {
		t.Errorf("left: %v", b.entries)
	}
}

func TestBookStaysConsistent(t *testing.T) {
	params := gopter.DefaultTestParametersWithSeed(31)
	params.MinSuccessfulTests = 60
	props := gopter.NewProperties(params)
	props.Property("entries are on their engines and nowhere else, and memory is never overbooked", prop.ForAll(
		func(seed uint64) bool {
			rng := rand.New(rand.NewPCG(seed, 7))
			b, now, booked := newBook(5), start, 0
			var open []string
			for i := range 300 {
				now = now.Add(time.Duration(rng.IntN(40)) * time.Millisecond)
				switch rng.IntN(8) {
				case 0, 1, 2:
					if len(open) > 0 {
						k := rng.IntN(len(open))
						b.End(open[k])
						open = append(open[:k], open[k+1:]...)
					}
				case 3:
					if len(open) > 0 {
						b.RecordFirstEvent(open[rng.IntN(len(open))])
					}
				case 4:
					b.SetUpstreams(upstreams(1 + rng.IntN(5)))
				default:
					id := fmt.Sprint(i)
					sizes := []int{1000, 5000, 45_000, 210_000, 600_000}
					if b.Place(newRequest(id, sizes[rng.IntN(len(sizes))]), now).Verdict == Booked {
						open = append(open, id)
						booked++
					}
				}
				if !consistent(b, now) {
					return false
				}
			}
			return booked > 0
		}, gen.UInt64()))
	props.TestingRun(t)
}

func consistent(b *Book, now time.Time) bool {
	for _, e := range b.engines {
		for _, x := range e.entries {
			if b.entries[x.req.ID] != x {
				return false
			}
		}
		if l := e.loadAt(now, 200*time.Millisecond); l.memory > figures.Memory {
			return false
		}
	}
	for id, x := range b.entries {
		if b.byHost[x.req.Host][id] != x {
			return false
		}
	}
	return true
}

func TestAttemptWithoutAReportedEndExpires(t *testing.T) {
	b := newBook(2)
	a := newRequest("lost", 5000)
	b.Place(a, start)
	b.Expire(start.Add(a.Left))
	if b.Len() != 1 {
		t.Error("it expired before its deadline")
	}
	b.Expire(start.Add(a.Left + 2*expiryGrace))
	if b.Len() != 0 {
		t.Error("it did not expire")
	}
}

// TestShortPromptsArePackedAgainAfterABurst has a load that changes from many short prompts to
// few of them beside many long ones. An answer takes 1.7 s, as one of 35 events does. The engines
// that the burst has opened must run empty, or each long prompt makes some decodes late.
func TestShortPromptsArePackedAgainAfterABurst(t *testing.T) {
	const (
		answerTime  = 1700 * time.Millisecond
		prefillTime = 100 * time.Millisecond
		step        = 10 * time.Millisecond
	)
	b := newBook(18)
	ends, firsts := map[time.Duration][]string{}, map[time.Duration][]string{}
	open := func() int {
		engines := map[string]bool{}
		for _, x := range b.entries {
			engines[x.plan.Parts[0].Upstream] = true
		}
		return len(engines)
	}
	placed := 0
	play := func(from, to, every time.Duration) {
		for at := from; at < to; at += step {
			for _, id := range firsts[at] {
				b.RecordFirstEvent(id)
			}
			for _, id := range ends[at] {
				b.End(id)
			}
			if at%every != 0 {
				continue
			}
			placed++
			id := fmt.Sprint(placed)
			if p := b.Place(newRequest(id, 5000), start.Add(at)); p.Verdict != Booked {
				t.Fatalf("%s: %+v", id, p)
			}
			firsts[at+prefillTime] = append(firsts[at+prefillTime], id)
			ends[at+answerTime] = append(ends[at+answerTime], id)
		}
	}
	play(0, 5*time.Second, step) // 170 at a time
	if n := open(); n < 11 {
		t.Fatalf("the burst uses %d engines only", n)
	}
	play(5*time.Second, 10*time.Second, 8*step) // 21 at a time, for which two engines have room
	if n := open(); n > 3 {
		t.Errorf("%d short prompts use %d engines", b.Len(), n)
	}
}
