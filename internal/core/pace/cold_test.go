package pace

import (
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

func cold(id string, perSecond float64, fromMs, forMs int) ColdLimit {
	return ColdLimit{Upstream: id, PerSecond: perSecond, Until: at(fromMs + forMs)}
}

// allowedCold is the number of requests that a platform allows a cold upstream in any second.
func allowedCold(perSecond float64) float64 { return 1.5*perSecond + 5 }

// TestColdUpstreamGetsFewRequestsUnderABurst guards against a server that restarts and is
// overloaded at once by the requests that waited for it, also while two hosts give out turns.
func TestColdUpstreamGetsFewRequestsUnderABurst(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(11))
	properties.Property("two hosts give out turns", prop.ForAll(func(perSecond float64, laterMs, withinMs int) bool {
		one, other := New(), New()
		one.SetShare(FullShare)
		one.SetCold(cold("a", perSecond, 0, 4000), at(0))
		other.SetCold(cold("a", perSecond, 0, 4000), at(laterMs))
		within := time.Duration(withinMs) * time.Millisecond
		turns := admitted(one, 0, 4000, 1, within)
		turns = append(turns, admitted(other, laterMs, 4000, 1, within)...)
		var whileCold []time.Time
		for _, turn := range turns {
			if turn.Before(at(4000)) {
				whileCold = append(whileCold, turn)
			}
		}
		return float64(maxInPeriod(whileCold, time.Second)) <= allowedCold(perSecond)
	}, gen.Float64Range(0, 40), gen.IntRange(0, 3000), gen.IntRange(0, 2000)))
	properties.TestingRun(t)
}

func TestColdLimitEndsByItself(t *testing.T) {
	p := New()
	p.SetShare(FullShare)
	p.SetCold(cold("a", 1, 0, 500), at(0))
	if _, limited := p.NextTurn("a", at(499)); !limited {
		t.Error("the cold limit ended too early")
	}
	if turn, limited := p.NextTurn("a", at(500)); limited || !turn.Equal(at(500)) {
		t.Errorf("warm, and the next turn is at %s", turn.Sub(start))
	}
}

// TestUpstreamThatIsColdAgainIsLimitedAgain: an upstream may become cold at any time.
func TestUpstreamThatIsColdAgainIsLimitedAgain(t *testing.T) {
	p := New()
	p.SetShare(FullShare)
	p.SetCold(cold("a", 2, 0, 1000), at(0))
	p.SetCold(cold("a", 2, 5000, 1000), at(5000))
	if turn, limited := p.NextTurn("a", at(5001)); !limited || turn.Before(at(5500)) {
		t.Errorf("the next turn is at %s, limited %t", turn.Sub(start), limited)
	}
	p.SetCold(ColdLimit{Upstream: "a", PerSecond: 2, Until: at(5100)}, at(5200)) // it reports that it is warm
	if _, limited := p.NextTurn("a", at(5201)); limited {
		t.Error("its report that it is warm was ignored")
	}
}

// TestLowerOfTwoLimitsHolds: both limits of a cold upstream that has named a limit apply.
func TestLowerOfTwoLimitsHolds(t *testing.T) {
	for _, c := range []struct{ named, cold float64 }{{10, 2}, {2, 10}} {
		p := New()
		p.SetShare(FullShare)
		p.SetLimit(limit("a", c.named, 0), at(0))
		p.SetCold(cold("a", c.cold, 0, 10_000), at(0))
		if got := maxInPeriod(admitted(p, 0, 9000, 5, time.Second), window); float64(got) > 2*window.Seconds()+burst {
			t.Errorf("named %g, cold %g: %d turns in %s", c.named, c.cold, got, window)
		}
	}
}

func TestExpiredColdLimitIsDropped(t *testing.T) {
	p := New()
	p.SetCold(cold("a", 2, 0, 1000), at(0))
	p.RetainListed(func(string) bool { return true }, at(70_000))
	if len(p.upstreams) > 0 {
		t.Error("the expired limit was not dropped")
	}
}

// TestTurnsTakenWhileWarmDoNotCount: they were given out as for an upstream without a
// limit, some of them for later times.
func TestTurnsTakenWhileWarmDoNotCount(t *testing.T) {
	p := New()
	p.SetShare(FullShare)
	p.SetCold(cold("a", 2, 0, 100), at(0))
	for ms := 200; ms < 5000; ms += 10 {
		p.TakeTurn("a", at(ms))
	}
	p.SetCold(cold("a", 2, 5000, 2000), at(5000))
	if turn, _ := p.NextTurn("a", at(5000)); turn.After(at(5500)) {
		t.Errorf("cold again, and the next turn is after %s", turn.Sub(at(5000)))
	}
}
