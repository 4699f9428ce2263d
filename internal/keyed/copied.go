package keyed

import (
	"bytes"
	"cmp"
	"slices"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/platform"
)

const (
	// mostRemoved bounds the removed keys that are remembered.
	mostRemoved = 4096
	// mostRecent bounds the records that are kept in their order: those of ten seconds
	// and more at the largest sites, of which peers ask every few hundred ms.
	mostRecent = 2048
)

// copied is what is known of a stream: the newest record of each key, those of
// removed keys among them, so that an older record never takes a newer one's place.
//
// Offsets are compared within an era of the store only; era.go has what holds across eras.
type copied struct {
	rankOf  RankOf
	era     int64 // of the store, of which next is an offset
	next    int64 // to read from; allKeys: nothing was read yet
	records map[string]platform.KeyedRecord
	at      time.Time // of the newest successful read
	changes int       // counts what changed the records
	doubts  doubts
	alone   bool // nothing is known but what the store said in this era

	// recent has the records of the era from an offset on that are news, in their order. The
	// newest of a key may be one that was written late and says less than the one before it, so
	// a reader needs both.
	recent     []platform.KeyedRecord
	recentFrom int64
}

func newCopied(rankOf RankOf) copied {
	return copied{rankOf: rankOf, next: allKeys, records: map[string]platform.KeyedRecord{}}
}

// knows reports whether anything was ever read.
func (c *copied) knows() bool { return c.next >= 0 }

// put takes a record in, and ends the doubts about its key.
func (c *copied) put(r platform.KeyedRecord) {
	c.records[r.Key] = r
	c.changes++
	c.doubts.end(r.Key)
}

// add takes a page of the present era in and returns its records that are newer than what is
// known. news tells which of them others need to know, by the values of a key before and after;
// nil: all.
func (c *copied) add(page platform.KeyedPage, news func(before, after []byte) bool) []platform.KeyedRecord {
	fresh := make([]platform.KeyedRecord, 0, len(page.Records))
	for _, r := range page.Records {
		before, known := c.records[r.Key]
		switch c.judge(before, known, r, nil) {
		case older:
			continue
		case outranked:
			c.keepPlace(before, r)
			continue
		case doubtful:
			c.doubt(r)
			continue
		}
		tell := news == nil || c.isNews(before, r)
		c.put(r)
		fresh = append(fresh, r)
		if tell || news(before.Value, r.Value) {
			c.recent = append(c.recent, r)
		}
	}
	if over := len(c.recent) - mostRecent; over > 0 {
		c.recentFrom = c.recent[over-1].Offset + 1
		c.recent = slices.Delete(c.recent, 0, over)
	}
	c.next = max(c.next, page.NextOffset)
	c.prune()
	return fresh
}

// isNews reports whether others need to know of a record whatever it says: of a key that came or
// went, or that the store has again in its present era.
func (c *copied) isNews(before, r platform.KeyedRecord) bool {
	return before.Value == nil || r.Value == nil || before.Era != r.Era || c.doubts.outrank[r.Key]
}

// replace takes a page of the present era with all keys in; a key that it lacks was removed, if
// the era ever had it. What only an earlier era had is left to settle.
func (c *copied) replace(page platform.KeyedPage) {
	listed := listedKeys(page)
	for key, r := range c.records {
		_, doubted := c.doubts.older[key]
		if !listed[key] && (r.Value != nil && r.Era == c.era || doubted) {
			c.put(platform.KeyedRecord{Era: c.era, Offset: page.NextOffset - 1, Key: key})
		}
	}
	c.next = page.NextOffset
	c.add(page, nil)
	c.miss(listed)
	c.recent, c.recentFrom = nil, page.NextOffset
}

// listedKeys returns the keys of which the store had values in a page's era.
func listedKeys(page platform.KeyedPage) map[string]bool {
	listed := make(map[string]bool, len(page.Records))
	for _, r := range page.Records {
		if r.Value != nil && r.Era == page.Era {
			listed[r.Key] = true
		}
	}
	return listed
}

// prune forgets the oldest removed keys when there are too many.
func (c *copied) prune() {
	removed := 0
	for _, r := range c.records {
		if r.Value == nil {
			removed++
		}
	}
	if removed <= mostRemoved {
		return
	}
	for key, r := range c.records {
		if r.Value == nil && (r.Era < c.era || r.Offset < c.next-mostRemoved) {
			delete(c.records, key)
		}
	}
}

// newest returns the offset after the newest known record of the era.
func (c *copied) newest() int64 {
	most := int64(0)
	for _, r := range c.records {
		if r.Era == c.era {
			most = max(most, r.Offset+1)
		}
	}
	return most
}

// present returns the newest records of the keys that are not removed.
func (c *copied) present() []platform.KeyedRecord {
	list := make([]platform.KeyedRecord, 0, len(c.records))
	for _, r := range c.records {
		if r.Value != nil {
			list = append(list, r)
		}
	}
	return list
}

// since returns the known records from an offset of the era on: all in their order where they
// are kept, else the newest of each key, those of earlier eras among them, and what is in doubt
// beside these, eras in their order.
func (c *copied) since(from int64) []platform.KeyedRecord {
	if from >= c.recentFrom {
		i, _ := c.find(from)
		return c.recent[i:]
	}
	var list []platform.KeyedRecord
	for _, r := range c.records {
		if r.Offset >= from || r.Era < c.era {
			list = append(list, r)
		}
	}
	for _, r := range c.doubts.older {
		list = append(list, r)
	}
	slices.SortFunc(list, func(a, b platform.KeyedRecord) int { return cmp.Compare(a.Era, b.Era) })
	return list
}

// find returns the place of an offset among the recent records.
func (c *copied) find(offset int64) (i int, found bool) {
	return slices.BinarySearchFunc(c.recent, offset, func(r platform.KeyedRecord, offset int64) int {
		return cmp.Compare(r.Offset, offset)
	})
}

// sameValue reports whether two records of a key say the same.
func sameValue(a, b platform.KeyedRecord) bool {
	return (a.Value == nil) == (b.Value == nil) && bytes.Equal(a.Value, b.Value)
}
