package fleet

import (
	"slices"
	"testing"
	"time"
)

func beginRecord(domain string) EvacuationRecord {
	return EvacuationRecord{Domain: domain, Begin: true}
}
func endRecord(domain string) EvacuationRecord { return EvacuationRecord{Domain: domain} }

// TestEvacuationLastsUntilItsEndIsRead guards against daemons that end an evacuation because
// they cannot read its record, or that miss its end.
func TestEvacuationLastsUntilItsEndIsRead(t *testing.T) {
	steps := []struct {
		name         string
		records      []EvacuationRecord
		whole        bool
		unreadable   []string
		begun, ended []string
	}{
		{name: "one begins", records: []EvacuationRecord{beginRecord("a")}, begun: []string{"a"}},
		{name: "the record is read again", records: []EvacuationRecord{beginRecord("a")}},
		{name: "nothing new"},
		{name: "two at once, in any order", records: []EvacuationRecord{beginRecord("c"), beginRecord("b")}, begun: []string{"b", "c"}},
		{name: "ended", records: []EvacuationRecord{endRecord("b")}, ended: []string{"b"}},
		{name: "ended twice", records: []EvacuationRecord{endRecord("b")}},
		{name: "begun again in the same domain", records: []EvacuationRecord{beginRecord("b")}, begun: []string{"b"}},
		{name: "ended and begun again in one read", records: []EvacuationRecord{endRecord("b"), beginRecord("b")}},
		{name: "whole read with the same records", records: []EvacuationRecord{beginRecord("a"), beginRecord("b"), beginRecord("c")}, whole: true},
		{name: "an unreadable record changes nothing", unreadable: []string{"c"}},
		{name: "nor in a whole read", records: []EvacuationRecord{beginRecord("a")}, whole: true, unreadable: []string{"c"}, ended: []string{"b"}},
		{name: "the records are gone", whole: true, ended: []string{"a", "c"}},
	}
	var e Evacuations
	for _, s := range steps {
		begun, ended := e.Apply(s.records, s.whole, s.unreadable)
		if !slices.Equal(begun, s.begun) || !slices.Equal(ended, s.ended) {
			t.Errorf("%s: begun %v, ended %v", s.name, begun, ended)
		}
	}
}

// TestUpstreamsOfAnEvacuatedDomainTakeNoWork includes upstreams listed during the evacuation.
func TestUpstreamsOfAnEvacuatedDomainTakeNoWork(t *testing.T) {
	l := newList()
	l.Apply([]Change{newEntryIn("a", "a1", 1, 0), newEntryIn("b", "b1", 1, 0)}, start)
	l.SetEvacuated("a", true, coldThreeSeconds, start)
	l.Apply([]Change{newEntryIn("a", "a2", 1, 0)}, start)
	if live := l.Snapshot().Live("s"); len(live) != 1 || live[0].ID != "b1" {
		t.Errorf("live: %v", live)
	}
	l.SetEvacuated("a", false, coldThreeSeconds, start)
	if live := l.Snapshot().Live("s"); len(live) != 3 {
		t.Errorf("live after the evacuation: %v", live)
	}
}

// TestUpstreamsAreColdAfterAnEvacuation guards against a burst of requests to servers that
// became cold during an evacuation, after their last entry was written.
func TestUpstreamsAreColdAfterAnEvacuation(t *testing.T) {
	l := newList()
	l.Apply([]Change{newEntryIn("a", "a1", 7, 0), newEntryIn("b", "b1", 7, 0)}, start)
	l.SetEvacuated("a", true, coldThreeSeconds, start)
	l.SetEvacuated("a", false, coldThreeSeconds, start)
	l.Apply([]Change{newEntryIn("a", "a1", 8, 0)}, start) // sent before the end of the evacuation
	if got := l.coldUntil("a1"); !got.Equal(start.Add(3 * time.Second)) {
		t.Errorf("cold until %s", got.Sub(start))
	}
	if !l.coldUntil("b1").IsZero() {
		t.Error("another domain is cold")
	}
	l.Apply([]Change{newEntryIn("a", "a1", 9, 0)}, start)
	if !l.coldUntil("a1").IsZero() {
		t.Error("the second heartbeat after the evacuation, which reports a warm upstream, has no effect")
	}
	l.SetEvacuated("a", false, coldThreeSeconds, start) // a second time
	if !l.coldUntil("a1").IsZero() {
		t.Error("a repeated end of the evacuation makes the upstream cold")
	}
}
