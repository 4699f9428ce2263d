package booking

import (
	"fmt"
	"testing"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/core/notice"
	"github.com/buckthorndock/buckthorndock/internal/core/pace"
)

func (b *Book) setLimit(engine string, perSecond float64) {
	b.Pacer().SetShare(pace.FullShare)
	b.Pacer().SetLimit(notice.Limit{Upstream: engine, Limited: true, PerSecond: perSecond, At: start}, start)
}

// sendTimes places count prompts, one every step, each of which ends after a second, and returns
// when requests are sent to each engine.
func sendTimes(b *Book, prompt, count int, step time.Duration) map[string][]time.Time {
	at := map[string][]time.Time{}
	for i := range count {
		now := start.Add(time.Duration(i) * step)
		p := b.Place(newRequest(fmt.Sprint(i), prompt), now)
		if p.Verdict == Booked {
			to := p.Parts[0].Upstream
			at[to] = append(at[to], now.Add(p.Wait))
		}
		if ended := i - int(time.Second/step); ended >= 0 {
			b.End(fmt.Sprint(ended))
		}
	}
	return at
}

// TestEngineLimitHoldsForShortAndLongPrompts: the keeper of the book plans for all daemons, so
// an engine gets only what it plans.
func TestEngineLimitHoldsForShortAndLongPrompts(t *testing.T) {
	const perSecond, window = 2, 4 * time.Second
	for _, prompt := range []int{1000, 100_000} {
		for _, limited := range []int{1, 3} { // of three
			b := newBook(3)
			for i := range limited {
				b.setLimit(fmt.Sprintf("e%02d", i), perSecond)
			}
			for id, times := range sendTimes(b, prompt, 1000, 10*time.Millisecond) {
				if id >= fmt.Sprintf("e%02d", limited) {
					continue
				}
				for i, from := range times {
					n := 0
					for n < len(times)-i && times[i+n].Sub(from) <= window {
						n++
					}
					if float64(n) > 1.5*perSecond*window.Seconds()+5 {
						t.Fatalf("prompts of %d, %d limited: %s gets %d in %s", prompt, limited, id, n, window)
					}
				}
			}
		}
	}
}

func TestEngineAtItsLimitIsUsedIfItsTurnIsInTime(t *testing.T) {
	b := newBook(1)
	b.setLimit("e00", 10)
	p := b.Place(newRequest("a", 1000), start)
	if p.Verdict != Booked || p.Wait <= 0 || p.First <= p.Wait {
		t.Errorf("got %+v", p)
	}
	if next := b.Place(newRequest("b", 1000), start); next.Wait <= p.Wait {
		t.Errorf("turns after %s and %s", p.Wait, next.Wait)
	}
}

// TestPromptWhoseTurnIsTooLateIsRefusedAtOnce: if all engines have limits and the load is
// above them, a queue of late prompts would make all of them late.
func TestPromptWhoseTurnIsTooLateIsRefusedAtOnce(t *testing.T) {
	b := newBook(2)
	b.setLimit("e00", 2)
	b.setLimit("e01", 2)
	served := 0
	for i := range 400 {
		p := b.Place(newRequest(fmt.Sprint(i), 1000), start.Add(time.Duration(i)*50*time.Millisecond))
		b.End(fmt.Sprint(i - 40))
		switch {
		case p.Verdict == Booked && p.Wait <= 300*time.Millisecond:
			served++
		case p.Verdict == Booked:
			t.Fatalf("waits %s", p.Wait)
		case p.Verdict != TooLate || p.Reason != ReasonLimit || p.Backlog <= 0:
			t.Fatalf("got %+v", p)
		}
	}
	if served < 75 { // of 80 that they take in 20 s
		t.Errorf("%d served", served)
	}
	begun := newRequest("begun", 1000)
	begun.Begun = true
	if p := b.Place(begun, start.Add(20*time.Second)); p.Verdict != Booked {
		t.Errorf("one whose answer has begun: %+v", p)
	}
}

// TestUncoordinatedPlansLeaveOutLimitedEngines: it is not known what other daemons
// send to them.
func TestUncoordinatedPlansLeaveOutLimitedEngines(t *testing.T) {
	b := newBook(2)
	b.setLimit("e00", 4)
	for i := range 20 {
		if p := b.PlaceUncoordinated(newRequest(fmt.Sprint(i), 1000), start.Add(time.Minute)); p.Verdict != Booked || p.Parts[0].Upstream != "e01" {
			t.Fatalf("got %+v", p)
		}
	}
	b.setLimit("e01", 4)
	if p := b.PlaceUncoordinated(newRequest("last", 1000), start.Add(time.Minute)); p.Verdict != AtLimit {
		t.Errorf("got %+v", p)
	}
}

// TestBarredEngineIsNotTakenAsLastResort guards against plans on engines that have reported that
// they are leaving or in a back-off, when all others fail or are gone.
func TestBarredEngineIsNotTakenAsLastResort(t *testing.T) {
	b := newBook(2)
	a := newRequest("a", 1000)
	a.Barred, a.Avoid = []string{"e00"}, []string{"e01"}
	if p := b.Place(a, start); p.Verdict != Booked || p.Parts[0].Upstream != "e01" {
		t.Errorf("beside one that fails: %+v", p)
	}
	a = newRequest("b", 1000)
	a.Barred = []string{"e00", "e01"}
	if p := b.Place(a, start); p.Verdict != NoEngine {
		t.Errorf("without another: %+v", p)
	}
	long := newRequest("c", 200_000)
	long.Barred = []string{"e00"}
	if p := newBook(2).Place(long, start); p.Verdict != Booked || len(p.Parts) != 1 {
		t.Errorf("as a helper: %+v", p)
	}
}
