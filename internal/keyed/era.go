package keyed

import (
	"cmp"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/platform"
)

// Rank orders the values of a key by when they were written. It is read from the value itself.
type Rank struct {
	Incarnation int64 // of the writer; zero: the value does not have it
	Count       int64 // rises with each value of an incarnation
}

// compare compares two ranks. ok is false if only one of them has an incarnation.
func (r Rank) compare(other Rank) (order int, ok bool) {
	if (r.Incarnation == 0) != (other.Incarnation == 0) {
		return 0, false
	}
	return cmp.Or(cmp.Compare(r.Incarnation, other.Incarnation), cmp.Compare(r.Count, other.Count)), true
}

// RankOf returns the rank of a value of a key. ok is false if the value has none.
type RankOf func(key string, value []byte) (rank Rank, ok bool)

// A store that is restored from an older copy of itself begins a new era. It assigns the offsets
// after the end of that copy again, but does not report where the copy ended; writers write the
// lost records again in time. So a record that is read in the new era is
//
//   - newer, if its value ranks higher than the known one; if it was written after the era was
//     first seen; if its offset is higher than that of the known one, because up to the end of
//     the copy the eras have the same records; or if the former era had another record at its
//     offset;
//   - older, if its value ranks lower;
//   - doubtful otherwise: it may be a record of the copy that is older than the known one, or one
//     written in the new era at a low offset.
//
// The known records of doubtful keys, and of keys that the new era lacks, stay in force until the
// writers have had time to write them again. Then the state of the store replaces them.

// verdict is how a record compares with the known one of its key.
type verdict int

const (
	older     verdict = iota
	outranked         // older, by the ranks of the values
	confirmed         // the same value at a later offset
	newer
	doubtful
)

// unresolved holds the keys whose newest record is not certain yet in the current era.
type unresolved struct {
	eraSeen     time.Time                       // when any daemon first saw the era; zero: no earlier era is known
	certainFrom int64                           // records from this offset on were certainly written in the era
	missing     map[string]bool                 // keys known from earlier eras that the store lacks
	doubtful    map[string]platform.KeyedRecord // records of the store that may be older than the known ones
	// outranking has the keys whose known value ranks higher than the one that the store has at its
	// offset.
	outranking map[string]bool
}

func newUnresolved(since time.Time, certain int64) unresolved {
	return unresolved{
		eraSeen: since, certainFrom: certain,
		missing: map[string]bool{}, doubtful: map[string]platform.KeyedRecord{}, outranking: map[string]bool{},
	}
}

// resolve removes a key: its newest record is certain.
func (d *unresolved) resolve(key string) {
	delete(d.missing, key)
	delete(d.doubtful, key)
	delete(d.outranking, key)
}

// classify compares a record with the known one of its key. past is the state of the former era
// if the record is of the page with all keys with which a new era begins, else nil.
func (s *streamState) classify(known platform.KeyedRecord, isKnown bool, r platform.KeyedRecord, past *streamState) verdict {
	if !isKnown {
		return newer
	}
	later := r.Era > known.Era || r.Era == known.Era && r.Offset > known.Offset
	if order, ok := s.compareRanks(known, r); ok && order != 0 {
		if order > 0 {
			return newer
		}
		return outranked
	}
	switch {
	case !later, known.Era == platform.NoEra && r.Era < s.era: // a record without an era may be of any
		return older
	case sameValue(known, r):
		return confirmed
	case r.Era == known.Era, r.Offset > known.Offset, s.isCertain(r), past.hadOtherAt(r.Offset, r):
		return newer
	case r.Era == s.era:
		return doubtful
	}
	return older
}

// isCertain reports whether a record was certainly written in the current era.
func (s *streamState) isCertain(r platform.KeyedRecord) bool {
	return r.Era == s.era && r.Offset >= s.unresolved.certainFrom
}

// compareRanks compares a record with the known one by the ranks of their values. order is above
// zero if the record ranks higher; ok is false if the ranks cannot be compared.
func (s *streamState) compareRanks(known, r platform.KeyedRecord) (order int, ok bool) {
	if s.rankOf == nil || known.Value == nil || r.Value == nil {
		return 0, false
	}
	former, ok := s.rankOf(r.Key, known.Value)
	if !ok {
		return 0, false
	}
	latter, ok := s.rankOf(r.Key, r.Value)
	if !ok {
		return 0, false
	}
	return latter.compare(former)
}

// hadOtherAt reports whether the state is known to have had another record at the offset. A nil
// state knows none.
func (s *streamState) hadOtherAt(offset int64, other platform.KeyedRecord) bool {
	if s == nil {
		return false
	}
	i, found := s.findRecent(offset)
	return found && (s.recent[i].Key != other.Key || !sameValue(s.recent[i], other))
}

// enterEra applies a page with all keys of a later era. since is when the era was first seen; all
// records from offset certain on were written in it. It returns the records that changed.
func (s *streamState) enterEra(page platform.KeyedPage, since time.Time, certain int64) []platform.KeyedRecord {
	past := *s
	s.era, s.next = page.Era, page.NextOffset
	s.recent, s.recentFrom = nil, page.NextOffset
	s.version++
	s.unresolved = newUnresolved(since, certain)
	var changed []platform.KeyedRecord
	for _, r := range page.Records {
		before, known := s.records[r.Key]
		switch s.classify(before, known, r, &past) {
		case newer:
			s.put(r)
			changed = append(changed, r)
		case confirmed:
			s.put(r)
		case doubtful:
			s.setAside(r)
		case outranked:
			s.adoptOffset(before, r)
		}
	}
	s.markMissing(listedKeys(page))
	return changed
}

// setAside keeps a record of the store that may be older than the known one as doubtful.
func (s *streamState) setAside(r platform.KeyedRecord) {
	delete(s.unresolved.missing, r.Key)
	s.unresolved.doubtful[r.Key] = r
	s.version++
}

// adoptOffset gives a known value the era and offset of the outranked record r, if that is of a
// later era: the store has the key, so it must not count as missing.
func (s *streamState) adoptOffset(known, r platform.KeyedRecord) {
	if r.Era > known.Era {
		s.put(platform.KeyedRecord{Era: r.Era, Offset: r.Offset, Key: r.Key, Value: known.Value})
		s.unresolved.outranking[r.Key] = true
	}
}

// markMissing records the keys that are known only from earlier eras and that the store lacks.
func (s *streamState) markMissing(listed map[string]bool) {
	for key, r := range s.records {
		_, doubted := s.unresolved.doubtful[key]
		if r.Value != nil && r.Era < s.era && !listed[key] && !doubted {
			s.unresolved.missing[key] = true
		}
	}
}

// mergePeerRecords merges a peer's records of an earlier era, or of an earlier time in the current
// one. It takes a record of a later era, or without an era, only if it ranks higher than the known
// one. It takes a record of a key without a value here only while writers may still write again
// what the store has lost, for which they need up to rewriteTime. It returns the records that
// changed.
func (s *streamState) mergePeerRecords(records []platform.KeyedRecord, rewriteTime time.Duration) []platform.KeyedRecord {
	rewriting := s.at.Before(s.unresolved.eraSeen.Add(rewriteTime))
	var changed []platform.KeyedRecord
	for _, r := range records {
		before, known := s.records[r.Key]
		order, ranked := s.compareRanks(before, r)
		switch {
		case ranked && order > 0:
			r.Era, r.Offset = before.Era, before.Offset
			s.unresolved.outranking[r.Key] = true
		case ranked, s.isUnread(r), r.Era == platform.NoEra:
			continue
		case before.Value == nil && !(rewriting && s.mayBeLost(r)), s.classify(before, known, r, nil) != newer:
			continue
		}
		s.records[r.Key] = r
		s.version++
		changed = append(changed, r)
		if before.Value == nil {
			s.unresolved.missing[r.Key] = true
		}
	}
	return changed
}

// isUnread reports whether a record of a peer will come with a later read.
func (s *streamState) isUnread(r platform.KeyedRecord) bool {
	return r.Era > s.era || r.Era == s.era && r.Offset >= s.next
}

// mayBeLost reports whether the store may have lost the record: it has a value and is of an
// earlier era. The caller has checked that its key has no value here.
func (s *streamState) mayBeLost(r platform.KeyedRecord) bool { return r.Value != nil && r.Era < s.era }

// resolve settles the keys that have been unresolved for long enough at the newest read: keys that
// the store lacks are removed after rewriteTime, and doubtful records replace the known ones after
// doubtTime.
// It returns the records that changed.
func (s *streamState) resolve(rewriteTime, doubtTime time.Duration) []platform.KeyedRecord {
	var changed []platform.KeyedRecord
	if !s.at.Before(s.unresolved.eraSeen.Add(rewriteTime)) {
		for key := range s.unresolved.missing {
			r := platform.KeyedRecord{Era: s.era, Offset: s.next - 1, Key: key}
			s.put(r)
			changed = append(changed, r)
		}
		s.storeOnly = false
	}
	if !s.at.Before(s.unresolved.eraSeen.Add(doubtTime)) {
		for _, r := range s.unresolved.doubtful {
			s.put(r)
			changed = append(changed, r)
		}
	}
	return changed
}
