package fleet

import (
	"slices"
	"testing"
	"time"
)

func begin(domain string) EvacuationRecord    { return EvacuationRecord{Domain: domain, Begin: true} }
func takeBack(domain string) EvacuationRecord { return EvacuationRecord{Domain: domain} }

// TestEvacuationStandsUntilItIsTakenBack guards against daemons that end an evacuation because
// of what they cannot read, or miss its end.
func TestEvacuationStandsUntilItIsTakenBack(t *testing.T) {
	steps := []struct {
		name         string
		wishes       []EvacuationRecord
		whole        bool
		unreadable   []string
		begun, ended []string
	}{
		{name: "one begins", wishes: []EvacuationRecord{begin("a")}, begun: []string{"a"}},
		{name: "it is heard again", wishes: []EvacuationRecord{begin("a")}},
		{name: "nothing new"},
		{name: "two at once, in any order", wishes: []EvacuationRecord{begin("c"), begin("b")}, begun: []string{"b", "c"}},
		{name: "taken back", wishes: []EvacuationRecord{takeBack("b")}, ended: []string{"b"}},
		{name: "taken back twice", wishes: []EvacuationRecord{takeBack("b")}},
		{name: "another one of the same domain", wishes: []EvacuationRecord{begin("b")}, begun: []string{"b"}},
		{name: "taken back and wished again unseen", wishes: []EvacuationRecord{takeBack("b"), begin("b")}},
		{name: "the history is forgotten, the records stand", wishes: []EvacuationRecord{begin("a"), begin("b"), begin("c")}, whole: true},
		{name: "a record that cannot be read tells nothing", unreadable: []string{"c"}},
		{name: "and ends nothing either", wishes: []EvacuationRecord{begin("a")}, whole: true, unreadable: []string{"c"}, ended: []string{"b"}},
		{name: "the records are gone", whole: true, ended: []string{"a", "c"}},
	}
	var e Evacuations
	for _, s := range steps {
		begun, ended := e.Apply(s.wishes, s.whole, s.unreadable)
		if !slices.Equal(begun, s.begun) || !slices.Equal(ended, s.ended) {
			t.Errorf("%s: begun %v, ended %v", s.name, begun, ended)
		}
	}
}

// TestUpstreamsOfAnEvacuatedDomainTakeNoWork: those that are listed later too.
func TestUpstreamsOfAnEvacuatedDomainTakeNoWork(t *testing.T) {
	l := newList()
	l.Apply([]Change{upIn("a", "a1", 1, 0), upIn("b", "b1", 1, 0)}, start)
	l.SetEvacuated("a", true, lasts, start)
	l.Apply([]Change{upIn("a", "a2", 1, 0)}, start)
	if live := l.Snapshot().Live("s"); len(live) != 1 || live[0].ID != "b1" {
		t.Errorf("live: %v", live)
	}
	l.SetEvacuated("a", false, lasts, start)
	if live := l.Snapshot().Live("s"); len(live) != 3 {
		t.Errorf("live after it: %v", live)
	}
}

// TestDomainBackFromEvacuationCountsAsColdUntilItSaysOtherwise guards against a burst at
// servers that have become cold shortly before: what they said last is older.
func TestDomainBackFromEvacuationCountsAsColdUntilItSaysOtherwise(t *testing.T) {
	l := newList()
	l.Apply([]Change{upIn("a", "a1", 7, 0), upIn("b", "b1", 7, 0)}, start)
	l.SetEvacuated("a", true, lasts, start)
	l.SetEvacuated("a", false, lasts, start)
	l.Apply([]Change{upIn("a", "a1", 8, 0)}, start) // was on its way
	if got := l.coldUntil("a1"); !got.Equal(start.Add(3 * time.Second)) {
		t.Errorf("cold until %s", got.Sub(start))
	}
	if !l.coldUntil("b1").IsZero() {
		t.Error("another domain is cold")
	}
	l.Apply([]Change{upIn("a", "a1", 9, 0)}, start)
	if !l.coldUntil("a1").IsZero() {
		t.Error("its word that it is warm is not believed")
	}
	l.SetEvacuated("a", false, lasts, start) // heard twice
	if !l.coldUntil("a1").IsZero() {
		t.Error("the end of no evacuation makes it cold")
	}
}
