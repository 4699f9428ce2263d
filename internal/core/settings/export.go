package settings

import (
	"encoding/json"
	"slices"

	"github.com/ansel1/merry/v2"
)

const exportFormat = 1

// stateRecord is the JSON form of a State, as sent to peers and written to the snapshot stream.
type stateRecord struct {
	Format      int              `json:"format"`
	Era         int64            `json:"era,omitempty"`
	Offset      int64            `json:"offset"`
	Digest      uint64           `json:"digest"`
	Undecodable int64            `json:"undecodable"`
	Documents   []StoredDocument `json:"documents,omitempty"` // by path
	History     []Verdict        `json:"history,omitempty"`   // by offset
}

// Export encodes the state. Equal states give equal bytes.
func (s *State) Export() ([]byte, error) {
	data, err := json.Marshal(stateRecord{
		Format:      exportFormat,
		Era:         s.era,
		Offset:      s.offset,
		Digest:      s.digest,
		Undecodable: s.undecodable,
		Documents:   s.Documents(Root),
		History:     s.history,
	})
	return data, merry.Prepend(err, "export settings")
}

// ImportState decodes what Export has encoded. It returns an error when the data violates an
// invariant of State.
func ImportState(data []byte) (*State, error) {
	var e stateRecord
	if err := json.Unmarshal(data, &e); err != nil {
		return nil, merry.Prepend(err, "import settings")
	}
	if e.Format != exportFormat {
		return nil, merry.Errorf("settings snapshot has format %d, not %d", e.Format, exportFormat)
	}
	if e.Offset < 0 || e.Undecodable < 0 || e.Era < 0 {
		return nil, merry.Errorf("settings snapshot has offset %d, undecodable count %d and era %d; none may be negative", e.Offset, e.Undecodable, e.Era)
	}
	s := NewStateIn(e.Era)
	s.offset, s.digest, s.undecodable = e.Offset, e.Digest, e.Undecodable
	if err := s.importDocuments(e.Documents); err != nil {
		return nil, err
	}
	if err := s.importHistory(e.History); err != nil {
		return nil, err
	}
	return s, nil
}

func (s *State) importDocuments(documents []StoredDocument) error {
	for _, d := range documents {
		_, repeated := s.documents[d.Path]
		if !ValidPath(d.Path) || repeated || d.Version < 1 || d.Version > s.offset {
			return merry.Errorf("settings snapshot has an invalid or repeated document %q of version %d", d.Path, d.Version)
		}
		s.documents[d.Path] = d
	}
	return nil
}

func (s *State) importHistory(history []Verdict) error {
	last := max(s.offset-HistoryWindow, 0)
	for _, v := range history {
		_, repeated := s.byID[v.ChangeID]
		if v.Offset <= last || v.Offset > s.offset || repeated {
			return merry.Errorf("settings snapshot has an invalid or repeated verdict at offset %d", v.Offset)
		}
		last = v.Offset
		s.byID[v.ChangeID] = v.Offset
	}
	s.history = slices.Clone(history)
	return nil
}
