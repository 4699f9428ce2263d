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
		t.Error("an answer without a limit is reported as a change")
	}
	if !tr.Record("a", limit(2), at(0), at(10)).Limit {
		t.Error("a new limit is not reported as a change")
	}
	if tr.Record("a", limit(2), at(11), at(20)).Limit {
		t.Error("the same limit is reported as a change")
	}
	if l, ok := tr.Limit("a"); !ok || l.PerSecond != 2 || !l.At.Equal(at(20)) {
		t.Errorf("got %+v", l)
	}
	if !tr.Record("a", Notice{Ran: true}, at(21), at(30)).Limit {
		t.Error("the end of a limit is not reported as a change")
	}
	if _, ok := tr.Limit("a"); ok {
		t.Error("the limit still stands")
	}
}

// TestAnswerToAnEarlierRequestDoesNotEndALimit has an answer that was sent before the limit
// arrive after it, on another connection.
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
// of an executed request.
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

// TestNoticesOutliveAShortAbsenceOfTheirUpstream: entries expire while the store is not
// reachable.
func TestNoticesOutliveAShortAbsenceOfTheirUpstream(t *testing.T) {
	tr := New()
	tr.Record("a", Notice{Leaving: true, Limited: true, Limit: 2}, at(0), at(1))
	none := func(string) bool { return false }
	tr.RetainListed(none, at(0))
	tr.RetainListed(none, at(50_000))
	tr.RetainListed(func(string) bool { return true }, at(55_000))
	tr.RetainListed(none, at(60_000))
	if _, ok := tr.Bar("a", at(60_000)); !ok {
		t.Error("dropped too early")
	}
	tr.RetainListed(none, at(121_000))
	_, limited := tr.Limit("a")
	if _, ok := tr.Bar("a", at(121_000)); ok || limited {
		t.Error("not dropped")
	}
}

func TestLeavingUpstreamStaysBarred(t *testing.T) {
	tr := New()
	if c := tr.Record("a", Notice{Leaving: true}, at(0), at(1)); !c.Leaving {
		t.Error("leaving is not reported as a change")
	}
	if c := tr.Record("a", Notice{}, at(2), at(3)); c != (Change{}) {
		t.Errorf("an answer without a notice changes %+v", c)
	}
	if b, ok := tr.Bar("a", at(1_000_000)); !ok || !b.Leaving || !b.At.Equal(at(1)) {
		t.Errorf("got %+v, %v", b, ok)
	}
	if _, ok := tr.Bar("b", at(2)); ok {
		t.Error("another upstream is barred")
	}
}

func TestBackOffEndsAtItsTimeAndOnlyGrows(t *testing.T) {
	tr := New()
	tr.Record("a", Notice{BackOff: 2 * time.Second}, at(0), at(0))
	if c := tr.Record("a", Notice{BackOff: time.Second}, at(0), at(500)); c.BackOff {
		t.Error("a shorter back-off is reported as a change")
	}
	if _, ok := tr.Bar("a", at(1999)); !ok || !slices.Equal(tr.Barred(at(1999)), []string{"a"}) {
		t.Error("the back-off ended too early")
	}
	if _, ok := tr.Bar("a", at(2000)); ok || len(tr.Barred(at(2000))) > 0 {
		t.Error("the back-off has not ended")
	}
}

// TestNextIncarnationInheritsNoticesFromBeforeItWasListed guards against requests to a restarted server
// during its back-off or above its limit: its first answers are recorded under the ID of its
// former incarnation.
func TestNextIncarnationInheritsNoticesFromBeforeItWasListed(t *testing.T) {
	tr := New()
	tr.Record("a@1", Notice{Leaving: true}, at(0), at(500)) // by the former incarnation
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
		t.Error("an incarnation is barred for a notice of the former one")
	}
}
