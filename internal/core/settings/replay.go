package settings

import (
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// HistoryWindow is the number of latest offsets whose verdicts are kept. It also bounds the
// distance, in offsets, between a change and the state that it was checked against. Replay
// depends on it: it must be the same in all versions of the program.
const HistoryWindow = 1024

// StoredDocument is the text in force at a path.
type StoredDocument struct {
	Path    string `json:"path"`
	Version int64  `json:"version"` // offset of the change that set it
	YAML    string `json:"yaml"`
}

// State is the result of replaying the change log from its start. It depends on
// the records alone: equal prefixes of the log give equal states, on every host and in every
// version of the program. It is not safe for concurrent use.
//
// Invariants: offset grows by one with each record. A change id is decided once. history
// holds the verdicts of the decodable records among the last HistoryWindow offsets, without
// repetitions, oldest first.
type State struct {
	era         int64 // of the log
	offset      int64
	digest      uint64
	documents   map[string]StoredDocument
	history     []Verdict
	byID        map[string]int64 // offset of the verdict in history
	undecodable int64
}

// NewState returns the state before the first record of a log in era 0, that is of a log that
// was never restored from an older copy.
func NewState() *State { return NewStateIn(0) }

// NewStateIn returns the state before the first record of a log in an era. Each restore of the
// log from an older copy of itself starts a new era, in which the same offsets may hold other
// records.
func NewStateIn(era int64) *State {
	return &State{era: era, documents: map[string]StoredDocument{}, byID: map[string]int64{}}
}

// Era returns the era of the log that the state was replayed from.
func (s *State) Era() int64 { return s.era }

// SetEra sets the era to a later one, in which the log has the same records up to Offset.
func (s *State) SetEra(era int64) { s.era = era }

// Offset returns the offset of the last record applied, 0 before the first.
func (s *State) Offset() int64 { return s.offset }

// Digest returns a hash over all records applied and their verdicts.
func (s *State) Digest() uint64 { return s.digest }

// Undecodable returns the number of applied records that could not be decoded as changes.
func (s *State) Undecodable() int64 { return s.undecodable }

// Apply applies the next record and returns its verdict. A record of any other offset gives
// OutOfOrder and leaves the state unchanged.
func (s *State) Apply(offset int64, at time.Time, data []byte) Verdict {
	if offset != s.offset+1 {
		return Verdict{Offset: offset, AtMs: at.UnixMilli(), Outcome: OutOfOrder}
	}
	s.offset = offset
	s.dropExpired()
	v := s.decide(offset, at.UnixMilli(), data)
	s.extendDigest(v, data)
	return v
}

func (s *State) decide(offset, atMs int64, data []byte) Verdict {
	v := Verdict{Offset: offset, AtMs: atMs}
	change, err := DecodeChange(data)
	if err != nil {
		s.undecodable++
		v.Outcome = Undecodable
		return v
	}
	v.ChangeID = change.ID
	v.Author = change.Author
	v.ContentHash = change.ContentHash()
	v.Paths = change.Paths()
	if first, known := s.byID[change.ID]; known {
		v.Outcome = Repeated
		v.PriorOffset = first
		return v
	}
	s.evaluate(change, &v)
	if v.Accepted() {
		s.applyEdits(change, offset)
	}
	s.history = append(s.history, v)
	s.byID[change.ID] = offset
	return v
}

// evaluate sets the outcome of a change whose id was not decided before.
func (s *State) evaluate(c *Change, v *Verdict) {
	v.Outcome = Accepted
	// Within the window the verdicts of all earlier records of the same id are kept, so a
	// change that was appended twice cannot be accepted twice, however late the second one is.
	if c.CheckedOffset >= v.Offset || v.Offset-c.CheckedOffset > HistoryWindow {
		v.Outcome = Stale
		v.Base = c.CheckedOffset
		return
	}
	for _, e := range c.Edits {
		if version := s.documents[e.Path].Version; version != e.Base {
			v.Outcome = Conflict
			v.Path, v.PriorOffset, v.Base = e.Path, version, e.Base
			return
		}
	}
	if path, priorOffset := s.overtaken(c); priorOffset > 0 {
		v.Outcome = Overtaken
		v.Path, v.PriorOffset, v.Base = path, priorOffset, c.CheckedOffset
	}
}

// overtaken returns an edited path and the offset of an accepted change that edited this
// path, an ancestor or a descendant after the change was checked. The documents that the
// change would apply to are then not those that it was checked against. The offset is 0 when
// there is no such change.
func (s *State) overtaken(c *Change) (path string, priorOffset int64) {
	for i := len(s.history) - 1; i >= 0 && s.history[i].Offset > c.CheckedOffset; i-- {
		h := &s.history[i]
		if !h.Accepted() {
			continue
		}
		for _, e := range c.Edits {
			if slices.ContainsFunc(h.Paths, func(p string) bool { return sameOrNested(p, e.Path) }) {
				return e.Path, h.Offset
			}
		}
	}
	return "", 0
}

func sameOrNested(a, b string) bool {
	return Contains(a, b) || Contains(b, a)
}

func (s *State) applyEdits(c *Change, offset int64) {
	for _, e := range c.Edits {
		if e.YAML == nil {
			delete(s.documents, e.Path)
			continue
		}
		s.documents[e.Path] = StoredDocument{Path: e.Path, Version: offset, YAML: *e.YAML}
	}
}

// dropExpired drops the verdicts that are no longer within HistoryWindow.
func (s *State) dropExpired() {
	gone := 0
	for gone < len(s.history) && s.history[gone].Offset <= s.offset-HistoryWindow {
		delete(s.byID, s.history[gone].ChangeID)
		gone++
	}
	s.history = s.history[gone:]
}

// extendDigest replaces the digest by a hash of itself, the record and its verdict.
func (s *State) extendDigest(v Verdict, data []byte) {
	var head [24]byte
	binary.LittleEndian.PutUint64(head[0:], s.digest)
	binary.LittleEndian.PutUint64(head[8:], uint64(v.Offset))
	binary.LittleEndian.PutUint64(head[16:], uint64(v.AtMs))
	d := xxhash.New()
	_, _ = d.Write(head[:])
	_, _ = d.WriteString(string(v.Outcome))
	_, _ = d.Write(data)
	s.digest = d.Sum64()
}

// VersionOf returns the version of the document at a path, 0 when there is none.
func (s *State) VersionOf(path string) int64 { return s.documents[path].Version }

// LastAccepted returns the verdict on the newest accepted change of the document at a path, if
// it is within HistoryWindow.
func (s *State) LastAccepted(path string) (Verdict, bool) {
	for i := len(s.history) - 1; i >= 0; i-- {
		if v := s.history[i]; v.Accepted() && slices.Contains(v.Paths, path) {
			return v, true
		}
	}
	return Verdict{}, false
}

// Documents returns the documents at a path and below, sorted by path.
func (s *State) Documents(prefix string) []StoredDocument {
	var documents []StoredDocument
	for _, path := range slices.Sorted(maps.Keys(s.documents)) {
		if Contains(prefix, path) {
			documents = append(documents, s.documents[path])
		}
	}
	return documents
}

// History returns up to limit verdicts, newest first, on changes that edit the path or its
// subtree.
func (s *State) History(path string, limit int) []Verdict {
	var verdicts []Verdict
	for i := len(s.history) - 1; i >= 0 && len(verdicts) < limit; i-- {
		touches := func(p string) bool { return Contains(path, p) }
		if slices.ContainsFunc(s.history[i].Paths, touches) {
			verdicts = append(verdicts, s.history[i])
		}
	}
	return verdicts
}

// FindVerdict returns the verdict on a change id, if it is within HistoryWindow.
func (s *State) FindVerdict(id string) (Verdict, bool) {
	offset, known := s.byID[id]
	if !known {
		return Verdict{}, false
	}
	i, _ := slices.BinarySearchFunc(s.history, offset, func(v Verdict, o int64) int { return int(v.Offset - o) })
	return s.history[i], true
}
