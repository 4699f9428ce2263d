package settings

import (
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// HistoryWindow is the number of offsets for which verdicts are remembered, and
// the most by which a change may lag behind the state it was checked against.
// Replay depends on it: it must stay the same in every version.
const HistoryWindow = 1024

// StoredDocument is the text in force at a path.
type StoredDocument struct {
	Path    string `json:"path"`
	Version int64  `json:"version"` // offset of the change that set it
	YAML    string `json:"yaml"`
}

// State is the result of replaying the change log from its start. It depends on
// nothing but the records: equal prefixes give equal states, on every host and in
// every version of the program. It is not safe for concurrent use.
//
// Invariants: offset only grows, by one a record. A change id is decided once.
// history holds the verdict of each decodable record, repeats left out, of the
// last HistoryWindow offsets, oldest first.
type State struct {
	era         int64 // of the log
	offset      int64
	digest      uint64
	documents   map[string]StoredDocument
	history     []Verdict
	byID        map[string]int64 // offset of the verdict in history
	undecodable int64
}

// NewState returns the state before the first record of a log that has never lost any.
func NewState() *State { return NewStateIn(0) }

// NewStateIn returns the state before the first record of a log in an era: each time that the
// log has come back from an older copy of itself, its offsets stand for other records.
func NewStateIn(era int64) *State {
	return &State{era: era, documents: map[string]StoredDocument{}, byID: map[string]int64{}}
}

// Era returns the era of the log that the state is of.
func (s *State) Era() int64 { return s.era }

// SetEra makes the state one of a later era, in which the log has the same records up to it.
func (s *State) SetEra(era int64) { s.era = era }

// Offset returns the offset of the last record applied, 0 before the first.
func (s *State) Offset() int64 { return s.offset }

// Digest returns a hash over all records applied and their verdicts.
func (s *State) Digest() uint64 { return s.digest }

// Undecodable returns the number of records that were not changes.
func (s *State) Undecodable() int64 { return s.undecodable }

// Apply steps the state by the next record. A record of any other offset gives
// OutOfOrder and changes nothing.
func (s *State) Apply(offset int64, at time.Time, data []byte) Verdict {
	if offset != s.offset+1 {
		return Verdict{Offset: offset, AtMs: at.UnixMilli(), Outcome: OutOfOrder}
	}
	s.offset = offset
	s.forget()
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
	s.judge(change, &v)
	if v.Accepted() {
		s.put(change, offset)
	}
	s.history = append(s.history, v)
	s.byID[change.ID] = offset
	return v
}

// judge decides a change that was not decided before.
func (s *State) judge(c *Change, v *Verdict) {
	v.Outcome = Accepted
	// Within the window every earlier record of the same id is remembered. So a
	// doubled append can never be accepted twice, however late it comes.
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
	if path, rival := s.overtaken(c); rival > 0 {
		v.Outcome = Overtaken
		v.Path, v.PriorOffset, v.Base = path, rival, c.CheckedOffset
	}
}

// overtaken returns an edited path and the offset of an accepted change that,
// after the change's check, touched that path, an ancestor or a descendant. The
// tree that the change was checked in is then no longer the one it would land in.
func (s *State) overtaken(c *Change) (path string, rival int64) {
	for i := len(s.history) - 1; i >= 0 && s.history[i].Offset > c.CheckedOffset; i-- {
		h := &s.history[i]
		if !h.Accepted() {
			continue
		}
		for _, e := range c.Edits {
			if slices.ContainsFunc(h.Paths, func(p string) bool { return related(p, e.Path) }) {
				return e.Path, h.Offset
			}
		}
	}
	return "", 0
}

func related(a, b string) bool {
	return Contains(a, b) || Contains(b, a)
}

func (s *State) put(c *Change, offset int64) {
	for _, e := range c.Edits {
		if e.YAML == nil {
			delete(s.documents, e.Path)
			continue
		}
		s.documents[e.Path] = StoredDocument{Path: e.Path, Version: offset, YAML: *e.YAML}
	}
}

// forget drops the verdicts that have left the window.
func (s *State) forget() {
	gone := 0
	for gone < len(s.history) && s.history[gone].Offset <= s.offset-HistoryWindow {
		delete(s.byID, s.history[gone].ChangeID)
		gone++
	}
	s.history = s.history[gone:]
}

// extendDigest chains the record and its verdict to the digest so far.
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

// VersionOf returns the version of the document at a path, 0 where none stands.
func (s *State) VersionOf(path string) int64 { return s.documents[path].Version }

// LastAccepted returns the verdict on the newest accepted change of the document at a path, if it
// was decided within the window.
func (s *State) LastAccepted(path string) (Verdict, bool) {
	for i := len(s.history) - 1; i >= 0; i-- {
		if v := s.history[i]; v.Accepted() && slices.Contains(v.Paths, path) {
			return v, true
		}
	}
	return Verdict{}, false
}

// Documents returns the documents at a path and below, by path.
func (s *State) Documents(prefix string) []StoredDocument {
	var documents []StoredDocument
	for _, path := range slices.Sorted(maps.Keys(s.documents)) {
		if Contains(prefix, path) {
			documents = append(documents, s.documents[path])
		}
	}
	return documents
}

// History returns up to limit verdicts, newest first, of changes that touch the
// path or its subtree.
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

// FindVerdict returns the verdict on a change id, if it was decided within the window.
func (s *State) FindVerdict(id string) (Verdict, bool) {
	offset, known := s.byID[id]
	if !known {
		return Verdict{}, false
	}
	i, _ := slices.BinarySearchFunc(s.history, offset, func(v Verdict, o int64) int { return int(v.Offset - o) })
	return s.history[i], true
}
