package booking

import (
	"fmt"
	"testing"
	"time"
)

func TestLongPromptIsSplitToBeInTime(t *testing.T) {
	b := newBook(8)
	p := b.Place(newRequest("long", 365_000), start) // 7.5 s on one engine
	if p.Verdict != Booked || len(p.Parts) < 3 || p.First > 3*time.Second {
		t.Errorf("got %+v", p)
	}
}

func TestLongPartsAvoidEnginesThatDecodeShortPrompts(t *testing.T) {
	b := newBook(8)
	short := b.Place(newRequest("short", 5000), start)
	b.RecordFirstEvent("short")
	long := b.Place(newRequest("long", 210_000), start)
	for _, part := range long.Parts {
		if part.Upstream == short.Parts[0].Upstream {
			t.Errorf("the short prompt's engine prefills a part of %v", long.Read)
		}
	}
	if long.Reason == ReasonDelaysOthers || long.Reason == ReasonLate {
		t.Errorf("reason %s", long.Reason)
	}
}

func TestPromptThatCannotBeInTimeYields(t *testing.T) {
	b := newBook(2)
	if p := b.Place(newRequest("first", 250_000), start); p.Verdict != Booked {
		t.Fatalf("got %+v", p)
	}
	a := newRequest("late", 250_000)
	a.Objective = 100 * time.Millisecond
	if p := b.Place(a, start); p.Verdict != Yield {
		t.Errorf("got %s", p.Verdict)
	}
	a.Left = 4 * time.Second // no time to yield, and it would make the first one's answer late
	if p := b.Place(a, start); p.Verdict != TooLate {
		t.Errorf("got %s %s", p.Verdict, p.Reason)
	}
	b.End("first") // now it makes no other late
	if p := b.Place(a, start); p.Verdict != Booked || p.Reason != ReasonLate {
		t.Errorf("got %s %s", p.Verdict, p.Reason)
	}
	a.ID, a.Left = "hopeless", 500*time.Millisecond // both engines together take two seconds
	if p := b.Place(a, start); p.Verdict != TooLate {
		t.Errorf("got %s", p.Verdict)
	}
}

func TestStartedAnswerIsNeitherRefusedNorYields(t *testing.T) {
	for name, change := range map[string]func(*Request){
		"late anyway":             func(a *Request) { a.Objective = time.Millisecond },
		"no time for its prefill": func(a *Request) { a.Left = time.Millisecond },
	} {
		for _, begun := range []bool{false, true} {
			b := newBook(2)
			for i := range 2 {
				b.Place(newRequest(fmt.Sprint("busy", i), 150_000), start)
			}
			a := newRequest("a", 150_000)
			change(&a)
			a.Begun = begun
			if p := b.Place(a, start); (p.Verdict == Booked) != begun {
				t.Errorf("%s, begun %v: %s", name, begun, p.Verdict)
			}
		}
	}
}

// TestLargestPromptsAreNotDeferredWhileInTime has many long prompts on engines that are all busy:
// one of the largest that can still be prefilled in time is planned like the others. Deferred for
// its low value per second, it ended up late.
func TestLargestPromptsAreNotDeferredWhileInTime(t *testing.T) {
	b := newBook(4)
	for i := range 4 {
		b.Place(newRequest(fmt.Sprint("busy", i), 210_000), start)
	}
	a := newRequest("huge", 800_000) // 32 s on one engine
	a.Objective, a.Left = time.Minute, 2*time.Minute
	p := b.Place(a, start)
	if p.Verdict != Booked || p.First > time.Duration(onTimeShare*float64(a.Objective)) {
		t.Errorf("got %s %s, first after %s", p.Verdict, p.Reason, p.First)
	}
	b.End("huge")
	a.Objective = time.Second // late anyway: those in time go first
	if p := b.Place(a, start); p.Verdict != Yield {
		t.Errorf("late anyway: %s %s", p.Verdict, p.Reason)
	}
}

func TestMemoryIsSpreadOnlyIfOneEngineDoesNotHoldIt(t *testing.T) {
	b := newBook(6)
	whole := b.Place(newRequest("fits", 300_000), start)
	for _, part := range whole.Parts {
		if part.Reserve != 0 {
			t.Errorf("reserves %d", part.Reserve)
		}
	}
	b.End("fits")
	spread := b.Place(newRequest("huge", 900_000), start)
	sum := spread.Parts[0].Reserve
	for _, part := range spread.Parts[1:] {
		sum += part.Reserve
	}
	if spread.Parts[0].Reserve != 0 || sum < 900_000-450_000 {
		t.Errorf("reserves %d with %+v", sum, spread.Parts)
	}
	if p := b.Place(newRequest("never", 9_000_000), start); p.Verdict != TooLarge {
		t.Errorf("got %s", p.Verdict)
	}
}

func TestPromptThatMakesOthersLateYieldsWhileInTime(t *testing.T) {
	b := newBook(4)
	var taken []string
	for i := range 4 { // a decode on each engine
		short := newRequest(fmt.Sprint("short", i), 5000)
		short.Exclude = taken
		taken = append(taken, b.Place(short, start).Parts[0].Upstream)
		b.RecordFirstEvent(short.ID)
	}
	a := newRequest("long", 200_000) // 2.6 s on one engine, 0.65 s on all
	if p := b.Place(a, start); p.Verdict != Yield {
		t.Errorf("with %s left: %s %s", a.Objective, p.Verdict, p.Reason)
	}
	a.Objective = time.Second // 0.85 s of it are planned with: now or late
	if p := b.Place(a, start); p.Verdict != Booked || p.Reason != ReasonDelaysOthers {
		t.Errorf("with %s left: %s %s", a.Objective, p.Verdict, p.Reason)
	}
	b.End("long")
	for i := range 4 {
		b.End(fmt.Sprint("short", i))
	}
	a.Objective = 3 * time.Second
	if p := b.Place(a, start); p.Verdict != Booked || p.Reason != ReasonSplit {
		t.Errorf("with nobody else: %s %s", p.Verdict, p.Reason)
	}
}

func TestDecodeTimeOfASpreadPromptUsesTheLargestPart(t *testing.T) {
	b := newBook(17)
	a := newRequest("largest", 1_000_000) // 2.9 s on all engines; on one, its steps would take 3.5 ms
	a.Objective, a.Left = time.Second, 8*time.Second
	other := newRequest("other", 100_000)
	b.Place(other, start)
	if p := b.Place(a, start); p.Verdict != Yield {
		t.Errorf("got %s, first after %s: there is time to wait and to decode", p.Verdict, p.First)
	}
}
