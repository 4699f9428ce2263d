package keyed

import (
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
type copied struct {
	next    int64 // to read from; -1: all keys are to be read
	records map[string]platform.KeyedRecord
	at      time.Time // of the newest successful read

	// recent has the records from an offset on that are news, in their order. The newest of a
	// key may be one that was written late and says less than the one before it, so a reader
	// needs both.
	recent     []platform.KeyedRecord
	recentFrom int64
}

// add takes a page in and returns its records that are newer than what is known. news tells
// which of them others need to know, by the values of a key before and after; nil: all.
func (c *copied) add(page platform.KeyedPage, news func(before, after []byte) bool) []platform.KeyedRecord {
	fresh := make([]platform.KeyedRecord, 0, len(page.Records))
	for _, r := range page.Records {
		before, known := c.records[r.Key]
		if known && r.Offset <= before.Offset {
			continue
		}
		c.records[r.Key] = r
		fresh = append(fresh, r)
		if news == nil || before.Value == nil || r.Value == nil || news(before.Value, r.Value) {
			c.recent = append(c.recent, r)
		}
	}
	if over := len(c.recent) - mostRecent; over > 0 {
		c.recentFrom = c.recent[over-1].Offset + 1
		c.recent = slices.Delete(c.recent, 0, over)
	}
	c.next = max(c.next, page.Next)
	c.prune()
	return fresh
}

// replace takes a page with all keys in; a key that it lacks was removed.
func (c *copied) replace(page platform.KeyedPage) {
	listed := make(map[string]bool, len(page.Records))
	for _, r := range page.Records {
		listed[r.Key] = true
	}
	for key, r := range c.records {
		if !listed[key] && r.Value != nil {
			c.records[key] = platform.KeyedRecord{Offset: page.Next - 1, Key: key}
		}
	}
	c.next = page.Next
	c.add(page, nil)
	c.recent, c.recentFrom = nil, page.Next
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
		if r.Value == nil && r.Offset < c.next-mostRemoved {
			delete(c.records, key)
		}
	}
}

// newest returns the offset after the newest known record.
func (c *copied) newest() int64 {
	most := int64(0)
	for _, r := range c.records {
		most = max(most, r.Offset+1)
	}
	return most
}

// since returns the known records from an offset on: all in their order where they are
// kept, else the newest of each key.
func (c *copied) since(from int64) []platform.KeyedRecord {
	if from >= c.recentFrom {
		i, _ := slices.BinarySearchFunc(c.recent, from, func(r platform.KeyedRecord, from int64) int {
			return cmp.Compare(r.Offset, from)
		})
		return c.recent[i:]
	}
	var list []platform.KeyedRecord
	for _, r := range c.records {
		if r.Offset >= from {
			list = append(list, r)
		}
	}
	return list
}
