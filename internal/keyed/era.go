package keyed

import (
	"cmp"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/platform"
)

// Rank is what a value says itself of when it was written.
type Rank struct {
	Incarnation int64 // of its writer; zero: not told
	Count       int64 // rises with each value of a life
}

// compare compares two ranks. It is not ok where one alone tells the life.
func (r Rank) compare(other Rank) (order int, ok bool) {
	if (r.Incarnation == 0) != (other.Incarnation == 0) {
		return 0, false
	}
	return cmp.Or(cmp.Compare(r.Incarnation, other.Incarnation), cmp.Compare(r.Count, other.Count)), true
}

// RankOf returns the rank of a value of a key. It is not ok where the value does not tell.
type RankOf func(key string, value []byte) (rank Rank, ok bool)

// A store that comes back from an older copy begins an era. Its offsets from some place on,
// which nobody tells, are given out again, and what was there is written again in time. So a
// record that is read in the new era is
//
//   - newer, where its value ranks higher than the known one; where it was written after the
//     era was first seen; where its offset is over that of the known one, for up to the place the
//     eras have the same records; or where the former era had another record at its offset;
//   - older, where its value ranks lower;
//   - in doubt, else: the copy's, of before the known one, or written anew at a low offset.
//
// What is in doubt, and what the new era lacks, stands as it was until the writers have had
// time to write it again. Then the store's word counts.

// verdict says what a record is beside the known one of its key.
type verdict int

const (
	older     verdict = iota
	outranked         // older, by what it says itself
	confirmed         // it says the same, and its place is a later one
	newer
	doubtful
)

// doubts is what the present era has left open so far.
type doubts struct {
	since   time.Time // when the era was first seen, by any daemon that told; zero: no earlier era is known
	certain int64     // offset from which all records were written in the era, at the latest
	missing map[string]bool
	older   map[string]platform.KeyedRecord // of the store, beside newer ones of an earlier era
	// outrank has the keys whose known value is not the one that the store has at its place.
	outrank map[string]bool
}

func newDoubts(since time.Time, certain int64) doubts {
	return doubts{
		since: since, certain: certain,
		missing: map[string]bool{}, older: map[string]platform.KeyedRecord{}, outrank: map[string]bool{},
	}
}

// end ends the doubts about a key.
func (d *doubts) end(key string) {
	delete(d.missing, key)
	delete(d.older, key)
	delete(d.outrank, key)
}

// judge compares a record with the known one of its key. past is the copy of the era before,
// for a record of a whole page that begins another one; nil else.
func (c *copied) judge(known platform.KeyedRecord, isKnown bool, r platform.KeyedRecord, past *copied) verdict {
	if !isKnown {
		return newer
	}
	later := r.Era > known.Era || r.Era == known.Era && r.Offset > known.Offset
	if order, ok := c.compare(known, r); ok && order != 0 {
		if order > 0 {
			return newer
		}
		return outranked
	}
	switch {
	case !later, known.Era == platform.NoEra && r.Era < c.era: // what tells no era may be of any
		return older
	case sameValue(known, r):
		return confirmed
	case r.Era == known.Era, r.Offset > known.Offset, c.isCertain(r), past.had(r.Offset, r):
		return newer
	case r.Era == c.era:
		return doubtful
	}
	return older
}

// isCertain reports whether a record was written in the present era for sure.
func (c *copied) isCertain(r platform.KeyedRecord) bool {
	return r.Era == c.era && r.Offset >= c.doubts.certain
}

// compare compares a record with the known one by what they say themselves.
func (c *copied) compare(known, r platform.KeyedRecord) (order int, ok bool) {
	if c.rankOf == nil || known.Value == nil || r.Value == nil {
		return 0, false
	}
	former, ok := c.rankOf(r.Key, known.Value)
	if !ok {
		return 0, false
	}
	latter, ok := c.rankOf(r.Key, r.Value)
	if !ok {
		return 0, false
	}
	return latter.compare(former)
}

// had reports whether another record than this one is known to have had an offset.
func (c *copied) had(offset int64, other platform.KeyedRecord) bool {
	if c == nil {
		return false
	}
	i, found := c.find(offset)
	return found && (c.recent[i].Key != other.Key || !sameValue(c.recent[i], other))
}

// enter takes in all keys of a later era, which was first seen at a time and whose records from
// an offset on were all written in it. It returns the records by which what is known changes.
func (c *copied) enter(page platform.KeyedPage, since time.Time, certain int64) []platform.KeyedRecord {
	past := *c
	c.era, c.next = page.Era, page.NextOffset
	c.recent, c.recentFrom = nil, page.NextOffset
	c.changes++
	c.doubts = newDoubts(since, certain)
	var changed []platform.KeyedRecord
	for _, r := range page.Records {
		before, known := c.records[r.Key]
		switch c.judge(before, known, r, &past) {
		case newer:
			c.put(r)
			changed = append(changed, r)
		case confirmed:
			c.put(r)
		case doubtful:
			c.doubt(r)
		case outranked:
			c.keepPlace(before, r)
		}
	}
	c.miss(listedKeys(page))
	return changed
}

// doubt keeps a record of the store aside that may be older than the known one.
func (c *copied) doubt(r platform.KeyedRecord) {
	delete(c.doubts.missing, r.Key)
	c.doubts.older[r.Key] = r
	c.changes++
}

// keepPlace gives a known value that ranks over the one that a later era has the place of that
// one: the store does not lack its key.
func (c *copied) keepPlace(known, r platform.KeyedRecord) {
	if r.Era > known.Era {
		c.put(platform.KeyedRecord{Era: r.Era, Offset: r.Offset, Key: r.Key, Value: known.Value})
		c.doubts.outrank[r.Key] = true
	}
}

// miss notes the keys that are known from earlier eras alone and that the store lacks.
func (c *copied) miss(listed map[string]bool) {
	for key, r := range c.records {
		_, doubted := c.doubts.older[key]
		if r.Value != nil && r.Era < c.era && !listed[key] && !doubted {
			c.doubts.missing[key] = true
		}
	}
}

// merge takes in what a peer knows from an earlier era, or from an earlier time in this one; of a
// later era, or of none, what ranks higher. It returns the records by which what is known
// changes. A key that has no value here is taken only while what the store has lost may still be
// written again.
func (c *copied) merge(records []platform.KeyedRecord, lost time.Duration) []platform.KeyedRecord {
	open := c.at.Before(c.doubts.since.Add(lost))
	var changed []platform.KeyedRecord
	for _, r := range records {
		before, known := c.records[r.Key]
		order, ranked := c.compare(before, r)
		switch {
		case ranked && order > 0:
			r.Era, r.Offset = before.Era, before.Offset
			c.doubts.outrank[r.Key] = true
		case ranked, c.isUnread(r), r.Era == platform.NoEra:
			continue
		case before.Value == nil && !(open && c.isLost(r)), c.judge(before, known, r, nil) != newer:
			continue
		}
		c.records[r.Key] = r
		c.changes++
		changed = append(changed, r)
		if before.Value == nil {
			c.doubts.missing[r.Key] = true
		}
	}
	return changed
}

// isUnread reports whether a record of a peer is one that a read will bring.
func (c *copied) isUnread(r platform.KeyedRecord) bool {
	return r.Era > c.era || r.Era == c.era && r.Offset >= c.next
}

// isLost reports whether a record of a key that has no value is one that the store may have lost.
func (c *copied) isLost(r platform.KeyedRecord) bool { return r.Value != nil && r.Era < c.era }

// settle ends the doubts whose time is over, by the newest read: what the store lacked for the
// first time is removed, what was in doubt for the second one is the store's. It returns the
// records by which what is known changes.
func (c *copied) settle(lost, doubt time.Duration) []platform.KeyedRecord {
	var changed []platform.KeyedRecord
	if !c.at.Before(c.doubts.since.Add(lost)) {
		for key := range c.doubts.missing {
			r := platform.KeyedRecord{Era: c.era, Offset: c.next - 1, Key: key}
			c.put(r)
			changed = append(changed, r)
		}
		c.alone = false
	}
	if !c.at.Before(c.doubts.since.Add(doubt)) {
		for _, r := range c.doubts.older {
			c.put(r)
			changed = append(changed, r)
		}
	}
	return changed
}
