package booking

import (
	"fmt"
	"testing"
	"time"
)

// packShort books short prompts until their engine writes for n of them, and returns it.
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

// fillOther has another engine than one write for n short prompts.
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

// recordLong enters a long prompt of which the engine reads a part of the length.
func recordLong(b *Book, on Part, read time.Duration) {
	p := Plan{Parts: []Part{on}, Read: read, First: read}
	b.Record(newRequest("long", 210_000), p, start)
}

// expectNoneDisplaced fails when the long part displaces a writer.
func expectNoneDisplaced(t *testing.T, b *Book) {
	t.Helper()
	if list := b.Displace("long", start); len(list) != 0 {
		t.Errorf("displaced %+v", list)
	}
}

// TestLongPartDisplacesDecodes is the pattern of a long prompt that is read beside the
// writers of short answers, for no engines are clear for all of it: these would pause for
// longer than they bear, while engines that read nothing would send their next events in time.
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
		t.Errorf("displaced after the part was read: %+v", list)
	}
}

func TestDecodesThatTolerateThePartStay(t *testing.T) {
	b := newBook(8)
	on := packShort(t, b, 3)
	fillOther(b, on, 5)
	recordLong(b, on, 50*time.Millisecond)
	expectNoneDisplaced(t, b)
}

// TestDecodesStayIfNoEngineIsInTime: a move costs a repeat of a small budget, so none is
// made to an engine on which the answer pauses as well.
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

// TestDecodesDoNotMoveToEmptierEngines: these are the next that long prompts are read on,
// and most requests may be moved only once.
func TestDecodesDoNotMoveToEmptierEngines(t *testing.T) {
	b := newBook(8)
	on := packShort(t, b, 5)
	fillOther(b, on, 2)
	recordLong(b, on, 700*time.Millisecond)
	expectNoneDisplaced(t, b)
}

// TestDisplacedDecodesCountForEachOther: the other engine takes only so many more in time.
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

// TestDisplacedDecodesMakeNoOthersLate is the pattern of a middle prompt, which bears a longer
// pause, that leaves for an engine of short ones: what is read there in one pass is a pause for
// all of them.
func TestDisplacedDecodesMakeNoOthersLate(t *testing.T) {
	for _, reads := range []bool{false, true} {
		b := newBook(2)
		a := newRequest("middle", 24_000)
		a.Gap = 500 * time.Millisecond
		on := b.Place(a, start).Parts[0]
		b.RecordFirstEvent("middle")
		fillOther(b, on, 5)
		if reads {
			other := b.packOrder[0].up.ID
			if other == on.Upstream {
				other = b.packOrder[1].up.ID
			}
			b.Record(newRequest("reads", 20_000), Plan{Parts: []Part{{Upstream: other}}, Read: figures.PrefillTime(20_000)}, start)
		}
		recordLong(b, on, 700*time.Millisecond)
		if displaced := len(b.Displace("long", start)) > 0; displaced == reads {
			t.Errorf("another prompt is read there: %v, displaced: %v", reads, displaced)
		}
	}
}

func TestDisplaceOfAnUnknownAttemptIsEmpty(t *testing.T) {
	if list := newBook(1).Displace("none", start); list != nil {
		t.Errorf("displaced %+v", list)
	}
}
