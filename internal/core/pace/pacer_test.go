package pace

import (
	"slices"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/buckthorndock/buckthorndock/internal/core/notice"
)

var start = time.Unix(1_800_000_000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func limit(id string, perSecond float64, ms int) notice.Limit {
	return notice.Limit{Upstream: id, Limited: true, PerSecond: perSecond, At: at(ms)}
}

// admitted returns the turns given out when one is asked for every stepMs.
func admitted(p *Pacer, fromMs, toMs, stepMs int, within time.Duration) []time.Time {
	var turns []time.Time
	for ms := fromMs; ms < toMs; ms += stepMs {
		if wait, ok := p.Admit("a", within, at(ms)); ok {
			turns = append(turns, at(ms).Add(wait))
		}
	}
	return turns
}

// maxInPeriod returns the largest number of turns in any period of the length span.
func maxInPeriod(turns []time.Time, span time.Duration) int {
	slices.SortFunc(turns, time.Time.Compare)
	best := 0
	for i := range turns {
		n := 0
		for n < len(turns)-i && turns[i+n].Sub(turns[i]) <= span {
			n++
		}
		best = max(best, n)
	}
	return best
}

// window is the period over which a platform counts the requests that its upstreams get.
const window = 4 * time.Second

func allowed(perSecond float64) float64 { return 1.5*perSecond*window.Seconds() + 5 }

func TestTurnsStayWithinTheLimitUnderRepeatedReports(t *testing.T) {
	p := New()
	p.SetShare(FullShare)
	var turns []time.Time
	for ms := 0; ms < 20_000; ms += 100 {
		p.SetLimit(limit("a", 2, ms), at(ms))
		turns = append(turns, admitted(p, ms, ms+100, 1, time.Second)...)
	}
	if got := maxInPeriod(turns, window); float64(got) > 2*window.Seconds()+burst {
		t.Errorf("%d turns in %s", got, window)
	}
	if len(turns) < 35 {
		t.Errorf("%d turns in 20 s at 2 a second", len(turns))
	}
	if _, limited := p.NextTurn("b", at(5)); limited {
		t.Error("another upstream is limited")
	}
}

// TestFallbackBesideTheFullShareStaysWithinTheBound guards against too many turns while
// hosts disagree on which of them gives out the turns.
func TestFallbackBesideTheFullShareStaysWithinTheBound(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(7))
	properties.Property("a fallback beside it", prop.ForAll(func(perSecond float64, laterMs, withinMs int) bool {
		one, other := New(), New()
		one.SetShare(FullShare)
		one.SetLimit(limit("a", perSecond, 0), at(0))
		other.SetLimit(limit("a", perSecond, 0), at(laterMs))
		within := time.Duration(withinMs) * time.Millisecond
		turns := admitted(one, 0, 15_000, 10, within)
		turns = append(turns, admitted(other, laterMs, 15_000, 10, within)...)
		return float64(maxInPeriod(turns, window)) <= allowed(perSecond)
	}, gen.Float64Range(0, 20), gen.IntRange(0, 9000), gen.IntRange(0, 2000)))
	properties.TestingRun(t)
}

func TestLaterReportHolds(t *testing.T) {
	p := New()
	p.SetLimit(limit("a", 2, 100), at(100))
	p.SetLimit(notice.Limit{Upstream: "a", At: at(50)}, at(120)) // an older report
	if _, limited := p.NextTurn("a", at(130)); !limited {
		t.Error("an older report ended the limit")
	}
	p.SetLimit(notice.Limit{Upstream: "a", At: at(200)}, at(200))
	if turn, limited := p.NextTurn("a", at(210)); limited || !turn.Equal(at(210)) {
		t.Errorf("the limit did not end: next turn %s", turn.Sub(start))
	}
	p.SetLimit(limit("a", 2, 300), at(300))
	if turn, limited := p.NextTurn("a", at(310)); !limited || !turn.After(at(310)) {
		t.Error("a turn was given out at the first report")
	}
}

func TestUnusedTurnsAllowOneBurst(t *testing.T) {
	p := New()
	p.SetShare(FullShare)
	p.SetLimit(limit("a", 2, 0), at(0))
	if turns := admitted(p, 60_000, 60_001, 1, 0); len(turns) != 1 {
		t.Fatalf("%d turns", len(turns))
	}
	if turns := admitted(p, 60_001, 60_400, 1, 0); len(turns) != burst-1 {
		t.Errorf("%d turns more at once", len(turns))
	}
}

func TestHigherLimitShortensTheWait(t *testing.T) {
	p := New()
	p.SetShare(FullShare)
	p.SetLimit(limit("a", 0, 0), at(0)) // takes almost no requests
	p.SetLimit(limit("a", 10, 100), at(100))
	if turn, _ := p.NextTurn("a", at(100)); turn.Sub(at(100)) > 200*time.Millisecond {
		t.Errorf("the next turn is after %s", turn.Sub(at(100)))
	}
}

func TestLimitOutlivesAShortAbsenceOfItsUpstream(t *testing.T) {
	p := New()
	p.SetLimit(limit("a", 2, 0), at(0))
	none := func(string) bool { return false }
	p.RetainListed(none, at(30_000))
	if _, limited := p.NextTurn("a", at(30_001)); !limited {
		t.Error("dropped too early")
	}
	p.RetainListed(none, at(61_000))
	if _, limited := p.NextTurn("a", at(61_001)); limited {
		t.Error("not dropped")
	}
}
