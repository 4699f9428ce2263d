package booking

import (
	"fmt"
	"testing"
	"time"
)

// packShort books n short prompts that decode on one engine, and returns it.
func packShort(t *testing.T, b *Book, n int) Part {
	t.Helper()
	var on Part
	for i := range n {
		id := fmt.Sprint("short", i)
		p := b.Place(newRequest(id, 5000), start)
		b.RecordFirstEvent(id)
		if i > 0 && p.Parts[0].Upstream != on.Upstream {
			t.Fatalf("short prompts are on %s and %s", on.Upstream, p.Parts[0].Upstream)
		}
		on = p.Parts[0]
	}
	return on
}

// fillOther books n decodes of short prompts on an engine other than the given one.
func fillOther(b *Book, than Part, n int) {
	for _, e := range b.packOrder {
		if e.up.ID == than.Upstream {
			continue
		}
		for i := range n {
			id := fmt.Sprint("there", i)
			b.Record(newRequest(id, 5000), Plan{Parts: []Part{{Upstream: e.up.ID}}, Read: 20 * time.Millisecond}, start)
			b.RecordFirstEvent(id)
		}
		return
	}
}

// recordLong enters a long prompt with a part of the length on the engine.
func recordLong(b *Book, on Part, prefill time.Duration) {
	p := Plan{Parts: []Part{on}, Read: prefill, First: prefill}
	b.Record(newRequest("long", 210_000), p, start)
}

// expectNoneDisplaced fails when the long part displaces a decode.
func expectNoneDisplaced(t *testing.T, b *Book) {
	t.Helper()
	if list := b.Displace("long", start); len(list) != 0 {
		t.Errorf("displaced %+v", list)
	}
}

// TestLongPartDisplacesDecodes has a long prompt prefilled on an engine that decodes short
// answers, for too few engines are empty: these answers would pause for longer than they
// tolerate, while engines without prefill would send their next events in time.
func TestLongPartDisplacesDecodes(t *testing.T) {
	b := newBook(8)
	on := packShort(t, b, 3)
	fillOther(b, on, 5)
	recordLong(b, on, 700*time.Millisecond)
	before := b.Len()
	list := b.Displace("long", start)
	if len(list) != 3 || list[0].Host != "h1" {
		t.Errorf("displaced %+v", list)
	}
	if b.Len() != before {
		t.Errorf("%d attempts in the book, %d before", b.Len(), before)
	}
	b.RecordFirstEvent("long")
	if list := b.Displace("long", start); len(list) != 0 {
		t.Errorf("displaced after the prefill of the part: %+v", list)
	}
}

func TestDecodesThatTolerateThePartStay(t *testing.T) {
	b := newBook(8)
	on := packShort(t, b, 3)
	fillOther(b, on, 5)
	recordLong(b, on, 50*time.Millisecond)
	expectNoneDisplaced(t, b)
}

// TestDecodesStayIfNoEngineIsInTime: a move takes a retry from a small budget, so none is
// made to an engine on which the answer would pause as well.
func TestDecodesStayIfNoEngineIsInTime(t *testing.T) {
	b := newBook(2)
	on := packShort(t, b, 3)
	fillOther(b, on, 5)
	recordLong(b, on, 700*time.Millisecond)
	for _, e := range b.packOrder {
		if e.up.ID != on.Upstream {
			p := Plan{Parts: []Part{{Upstream: e.up.ID}}, Read: time.Second, First: time.Second}
			b.Record(newRequest("other", 210_000), p, start)
		}
	}
	expectNoneDisplaced(t, b)
}

// TestDecodesDoNotMoveToEmptierEngines: those are the next to prefill long prompts, and
// most requests may be moved only once.
func TestDecodesDoNotMoveToEmptierEngines(t *testing.T) {
	b := newBook(8)
	on := packShort(t, b, 5)
	fillOther(b, on, 2)
	recordLong(b, on, 700*time.Millisecond)
	expectNoneDisplaced(t, b)
}

// TestDisplacedDecodesCountForEachOther: the other engine has only so many free slots.
func TestDisplacedDecodesCountForEachOther(t *testing.T) {
	const left = 3
	b := newBook(2)
	on := packShort(t, b, 10)
	fillOther(b, on, figures.Slots-left)
	recordLong(b, on, 700*time.Millisecond)
	if list := b.Displace("long", start); len(list) == 0 || len(list) > left {
		t.Errorf("%d displaced to %d places", len(list), left)
	}
}

// TestDisplacedDecodesMakeNoOthersLate has a middle prompt, which tolerates a longer pause, move
// to an engine of short ones: all prefill of one pass there is a pause for all of them.
func TestDisplacedDecodesMakeNoOthersLate(t *testing.T) {
	for _, prefills := range []bool{false, true} {
		b := newBook(2)
		a := newRequest("middle", 24_000)
		a.Gap = 500 * time.Millisecond
		on := b.Place(a, start).Parts[0]
		b.RecordFirstEvent("middle")
		fillOther(b, on, 5)
		if prefills {
			other := b.packOrder[0].up.ID
			if other == on.Upstream {
				other = b.packOrder[1].up.ID
			}
			b.Record(newRequest("reads", 20_000), Plan{Parts: []Part{{Upstream: other}}, Read: figures.PrefillTime(20_000)}, start)
		}
		recordLong(b, on, 700*time.Millisecond)
		if displaced := len(b.Displace("long", start)) > 0; displaced == prefills {
			t.Errorf("another prompt is prefilled there: %v, displaced: %v", prefills, displaced)
		}
	}
}

func TestDisplaceOfAnUnknownAttemptIsEmpty(t *testing.T) {
	if list := newBook(1).Displace("none", start); list != nil {
		t.Errorf("displaced %+v", list)
	}
}
