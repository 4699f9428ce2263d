package notice

import (
	"slices"
	"testing"
	"time"
)

var start = time.Unix(1_800_000_000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func limit(perSecond float64) Notice { return Notice{Limited: true, Limit: perSecond} }

func TestLimitStandsUntilALaterAnswerNamesNone(t *testing.T) {
	tr := New()
	if tr.Record("a", Notice{Ran: true}, at(0), at(1)).Limit {
		t.Error("no limit is news")
	}
	if !tr.Record("a", limit(2), at(0), at(10)).Limit {
		t.Error("a limit is none")
	}
	if tr.Record("a", limit(2), at(11), at(20)).Limit {
		t.Error("the same limit is news")
	}
	if l, ok := tr.Limit("a"); !ok || l.PerSecond != 2 || !l.At.Equal(at(20)) {
		t.Errorf("got %+v", l)
	}
	if !tr.Record("a", Notice{Ran: true}, at(21), at(30)).Limit {
		t.Error("the end of a limit is none")
	}
	if _, ok := tr.Limit("a"); ok {
		t.Error("the limit stands")
	}
}

// TestAnswerToAnEarlierRequestDoesNotEndALimit has an answer that was written before the limit
// come after it, on another connection.
func TestAnswerToAnEarlierRequestDoesNotEndALimit(t *testing.T) {
	tr := New()
	tr.Record("a", limit(2), at(0), at(10))
	if tr.Record("a", Notice{Ran: true}, at(9), at(12)).Limit {
		t.Error("it changed the limit")
	}
	if _, ok := tr.Limit("a"); !ok {
		t.Error("the limit is gone")
	}
}

// TestAnswerToARequestThatDidNotRunDoesNotEndALimit: the answers to orders, and refusals, are not those
// of a request that ran.
func TestAnswerToARequestThatDidNotRunDoesNotEndALimit(t *testing.T) {
	tr := New()
	tr.Record("a", limit(2), at(0), at(10))
	if tr.Record("a", Notice{}, at(20), at(30)).Limit {
		t.Error("it changed the limit")
	}
	if _, ok := tr.Limit("a"); !ok {
		t.Error("the limit is gone")
	}
}

// TestNoticesOutliveAShortAbsenceOfTheirUpstream: entries lapse while the store is away.
func TestNoticesOutliveAShortAbsenceOfTheirUpstream(t *testing.T) {
	tr := New()
	tr.Record("a", Notice{Leaving: true, Limited: true, Limit: 2}, at(0), at(1))
	none := func(string) bool { return false }
	tr.RetainListed(none, at(0))
	tr.RetainListed(none, at(50_000))
	tr.RetainListed(func(string) bool { return true }, at(55_000))
	tr.RetainListed(none, at(60_000))
	if _, ok := tr.Bar("a", at(60_000)); !ok {
		t.Error("forgotten too early")
	}
	tr.RetainListed(none, at(121_000))
	_, limited := tr.Limit("a")
	if _, ok := tr.Bar("a", at(121_000)); ok || limited {
		t.Error("kept for good")
	}
}

func TestLeavingUpstreamStaysBarred(t *testing.T) {
	tr := New()
	if c := tr.Record("a", Notice{Leaving: true}, at(0), at(1)); !c.Leaving {
		t.Error("it is no news")
	}
	if c := tr.Record("a", Notice{}, at(2), at(3)); c != (Change{}) {
		t.Errorf("an answer without the word changes %+v", c)
	}
	if b, ok := tr.Bar("a", at(1_000_000)); !ok || !b.Leaving || !b.At.Equal(at(1)) {
		t.Errorf("got %+v, %v", b, ok)
	}
	if _, ok := tr.Bar("b", at(2)); ok {
		t.Error("another one is barred")
	}
}

func TestBackOffEndsAtItsTimeAndOnlyGrows(t *testing.T) {
	tr := New()
	tr.Record("a", Notice{BackOff: 2 * time.Second}, at(0), at(0))
	if c := tr.Record("a", Notice{BackOff: time.Second}, at(0), at(500)); c.BackOff {
		t.Error("a shorter one changes it")
	}
	if _, ok := tr.Bar("a", at(1999)); !ok || !slices.Equal(tr.Barred(at(1999)), []string{"a"}) {
		t.Error("it is over too early")
	}
	if _, ok := tr.Bar("a", at(2000)); ok || len(tr.Barred(at(2000))) > 0 {
		t.Error("it is not over")
	}
}

// TestNextIncarnationInheritsNoticesFromBeforeItWasListed guards against requests to a server in its
// back-off, or above its limit, that has started again under its id: its first answers are
// heard under the ID of its former life.
func TestNextIncarnationInheritsNoticesFromBeforeItWasListed(t *testing.T) {
	tr := New()
	tr.Record("a@1", Notice{Leaving: true}, at(0), at(500)) // by the former life
	tr.Record("a@1", Notice{BackOff: 5 * time.Second, Limited: true, Limit: 2}, at(1500), at(1500))
	tr.Inherit("a@2", "a@1", at(1000))
	if b, ok := tr.Bar("a@2", at(2000)); !ok || b.Leaving || !b.Until.Equal(at(6500)) {
		t.Errorf("got %+v, %v", b, ok)
	}
	if l, ok := tr.Limit("a@2"); !ok || l.Upstream != "a@2" || l.PerSecond != 2 {
		t.Errorf("got %+v, %v", l, ok)
	}
	tr.Inherit("a@3", "a@2", at(3000))
	if _, ok := tr.Bar("a@3", at(3000)); ok {
		t.Error("a life is barred for what its former one said")
	}
}
