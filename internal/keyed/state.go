package keyed

import (
	"bytes"
	"cmp"
	"slices"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/platform"
)

const (
	// maxRemoved limits the removed keys whose records are kept.
	maxRemoved = 4096
	// maxRecent limits the records kept in stream order: at least ten seconds' worth at the
	// largest sites. Peers request new ones every few hundred milliseconds.
	maxRecent = 2048
)

// streamState is a local copy of a stream: the newest record of each key. Records of removed
// keys are kept too, so that an older record never replaces a newer one.
//
// Offsets are comparable only within one era of the store; era.go compares records across eras.
type streamState struct {
	rankOf     RankOf
	era        int64 // era of the store to which next belongs
	next       int64 // offset to read on from; allKeys: nothing was read yet
	records    map[string]platform.KeyedRecord
	at         time.Time // of the newest successful read
	version    int       // rises with each change of the records
	unresolved unresolved
	storeOnly  bool // all records come from the store in this era, none from peers

	// recent has the significant records of the era from offset recentFrom on, in stream order.
	// The newest record of a key may have been written late and be older in content than the one
	// before it, so readers need both.
	recent     []platform.KeyedRecord
	recentFrom int64
}

func newStreamState(rankOf RankOf) streamState {
	return streamState{rankOf: rankOf, next: allKeys, records: map[string]platform.KeyedRecord{}}
}

// hasRead reports whether any read has succeeded.
func (s *streamState) hasRead() bool { return s.next >= 0 }

// put stores a record as the newest of its key, which is then resolved.
func (s *streamState) put(r platform.KeyedRecord) {
	s.records[r.Key] = r
	s.version++
	s.unresolved.resolve(r.Key)
}

// add applies a page of the current era and returns its records that are newer than the known
// ones. isSignificant reports whether peers need a record, by the values of its key before and
// after; nil: they need all.
func (s *streamState) add(page platform.KeyedPage, isSignificant func(before, after []byte) bool) []platform.KeyedRecord {
	fresh := make([]platform.KeyedRecord, 0, len(page.Records))
	for _, r := range page.Records {
		before, known := s.records[r.Key]
		switch s.classify(before, known, r, nil) {
		case older:
			continue
		case outranked:
			s.adoptOffset(before, r)
			continue
		case doubtful:
			s.setAside(r)
			continue
		}
		significant := isSignificant == nil || s.alwaysSignificant(before, r)
		s.put(r)
		fresh = append(fresh, r)
		if significant || isSignificant(before.Value, r.Value) {
			s.recent = append(s.recent, r)
		}
	}
	if excess := len(s.recent) - maxRecent; excess > 0 {
		s.recentFrom = s.recent[excess-1].Offset + 1
		s.recent = slices.Delete(s.recent, 0, excess)
	}
	s.next = max(s.next, page.NextOffset)
	s.prune()
	return fresh
}

// alwaysSignificant reports whether peers need a record whatever its value: its key was added or
// removed, or the store has the key again in its current era.
func (s *streamState) alwaysSignificant(before, r platform.KeyedRecord) bool {
	return before.Value == nil || r.Value == nil || before.Era != r.Era || s.unresolved.outranking[r.Key]
}

// replace applies a page of the current era with all keys. A known key that the page lacks was
// removed if this era ever had it; one known only from earlier eras is left to resolve.
func (s *streamState) replace(page platform.KeyedPage) {
	listed := listedKeys(page)
	for key, r := range s.records {
		_, doubted := s.unresolved.doubtful[key]
		if !listed[key] && (r.Value != nil && r.Era == s.era || doubted) {
			s.put(platform.KeyedRecord{Era: s.era, Offset: page.NextOffset - 1, Key: key})
		}
	}
	s.next = page.NextOffset
	s.add(page, nil)
	s.markMissing(listed)
	s.recent, s.recentFrom = nil, page.NextOffset
}

// listedKeys returns the keys that have a value in the page, of the page's era.
func listedKeys(page platform.KeyedPage) map[string]bool {
	listed := make(map[string]bool, len(page.Records))
	for _, r := range page.Records {
		if r.Value != nil && r.Era == page.Era {
			listed[r.Key] = true
		}
	}
	return listed
}

// prune drops the records of the oldest removed keys when there are more than maxRemoved.
func (s *streamState) prune() {
	removed := 0
	for _, r := range s.records {
		if r.Value == nil {
			removed++
		}
	}
	if removed <= maxRemoved {
		return
	}
	for key, r := range s.records {
		if r.Value == nil && (r.Era < s.era || r.Offset < s.next-maxRemoved) {
			delete(s.records, key)
		}
	}
}

// endOffset returns the offset after the newest known record of the current era.
func (s *streamState) endOffset() int64 {
	end := int64(0)
	for _, r := range s.records {
		if r.Era == s.era {
			end = max(end, r.Offset+1)
		}
	}
	return end
}

// currentRecords returns the newest record of each key that is not removed.
func (s *streamState) currentRecords() []platform.KeyedRecord {
	list := make([]platform.KeyedRecord, 0, len(s.records))
	for _, r := range s.records {
		if r.Value != nil {
			list = append(list, r)
		}
	}
	return list
}

// recordsSince returns the known records from an offset of the current era on. If recent reaches
// back that far, they are all significant ones in stream order. Else they are the newest of each
// key, including those of earlier eras, and the doubtful ones, sorted by era.
func (s *streamState) recordsSince(from int64) []platform.KeyedRecord {
	if from >= s.recentFrom {
		i, _ := s.findRecent(from)
		return s.recent[i:]
	}
	var list []platform.KeyedRecord
	for _, r := range s.records {
		if r.Offset >= from || r.Era < s.era {
			list = append(list, r)
		}
	}
	for _, r := range s.unresolved.doubtful {
		list = append(list, r)
	}
	slices.SortFunc(list, func(a, b platform.KeyedRecord) int { return cmp.Compare(a.Era, b.Era) })
	return list
}

// findRecent returns the index of an offset in the recent records.
func (s *streamState) findRecent(offset int64) (i int, found bool) {
	return slices.BinarySearchFunc(s.recent, offset, func(r platform.KeyedRecord, offset int64) int {
		return cmp.Compare(r.Offset, offset)
	})
}

// sameValue reports whether two records have the same value, or are both removals.
func sameValue(a, b platform.KeyedRecord) bool {
	return (a.Value == nil) == (b.Value == nil) && bytes.Equal(a.Value, b.Value)
}
