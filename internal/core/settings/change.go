package settings

import (
	"encoding/json"
	"unicode/utf8"

	"github.com/ansel1/merry/v2"
	"github.com/cespare/xxhash/v2"
)

// Bounds of a change record. Replay depends on them and on the rules of DecodeChange: they
// must be the same in all versions of the program that read the same log.
const (
	changeFormat     = 1
	maxChangeBytes   = 4 << 20
	maxChangeIDBytes = 64
	maxAuthorBytes   = 200
	maxEdits         = 1000
)

// Change is a set of edits that are accepted or refused together.
type Change struct {
	ID            string `json:"id"` // of the change; the same when it is appended again
	Author        string `json:"author"`
	CheckedOffset int64  `json:"seen"` // offset of the state that the change was checked against
	Edits         []Edit `json:"edits"`
}

// Edit sets or deletes the document at one path.
type Edit struct {
	Path string  `json:"path"`
	Base int64   `json:"base"`           // version that the edit is based on, 0 when there is no document
	YAML *string `json:"yaml,omitempty"` // nil deletes
}

// changeRecord is the JSON form of a log record.
type changeRecord struct {
	Format int `json:"format"`
	Change
}

// Encode returns the change as a log record. It returns an error when DecodeChange would
// refuse the change.
func (c *Change) Encode() ([]byte, error) {
	if err := c.validate(); err != nil {
		return nil, err
	}
	data, err := json.Marshal(changeRecord{Format: changeFormat, Change: *c})
	if err != nil {
		return nil, merry.Prepend(err, "encode change")
	}
	if len(data) > maxChangeBytes {
		return nil, merry.Errorf("change has %d bytes, more than %d", len(data), maxChangeBytes)
	}
	return data, nil
}

// DecodeChange decodes a log record. It checks only the structure, not the schema of the
// documents, and ignores unknown fields: the result must not depend on the version of the
// program.
func DecodeChange(data []byte) (*Change, error) {
	if len(data) > maxChangeBytes {
		return nil, merry.Errorf("record has %d bytes, more than %d", len(data), maxChangeBytes)
	}
	var record changeRecord
	if err := json.Unmarshal(data, &record); err != nil {
		return nil, merry.Prepend(err, "decode change")
	}
	if record.Format != changeFormat {
		return nil, merry.Errorf("record has format %d, not %d", record.Format, changeFormat)
	}
	if err := record.validate(); err != nil {
		return nil, err
	}
	return &record.Change, nil
}

func (c *Change) validate() error {
	switch {
	case c.ID == "" || len(c.ID) > maxChangeIDBytes:
		return merry.Errorf("change id must have 1 to %d bytes", maxChangeIDBytes)
	case len(c.Author) > maxAuthorBytes:
		return merry.Errorf("author has more than %d bytes", maxAuthorBytes)
	case !utf8.ValidString(c.ID) || !utf8.ValidString(c.Author):
		return merry.New("change id and author must be UTF-8")
	case c.CheckedOffset < 0:
		return merry.Errorf("seen offset %d is negative", c.CheckedOffset)
	case len(c.Edits) == 0 || len(c.Edits) > maxEdits:
		return merry.Errorf("change must have 1 to %d edits", maxEdits)
	}
	paths := make(map[string]bool, len(c.Edits))
	for _, e := range c.Edits {
		switch {
		case !ValidPath(e.Path):
			return merry.Errorf("invalid settings path %q", e.Path)
		case paths[e.Path]:
			return merry.Errorf("path %s is edited twice", e.Path)
		case e.YAML != nil && !utf8.ValidString(*e.YAML): // JSON encoding would replace invalid bytes
			return merry.Errorf("document %s is not UTF-8", e.Path)
		case e.Base < 0:
			return merry.Errorf("base %d of %s is negative", e.Base, e.Path)
		}
		paths[e.Path] = true
	}
	return nil
}

// Paths returns the paths that the change edits, in its order.
func (c *Change) Paths() []string {
	paths := make([]string, len(c.Edits))
	for i, e := range c.Edits {
		paths[i] = e.Path
	}
	return paths
}

// ContentHash returns a hash of the author and the edits. It distinguishes a repetition of a
// change from another change with the same id.
func (c *Change) ContentHash() uint64 {
	data, err := json.Marshal(Change{Author: c.Author, Edits: c.Edits})
	if err != nil {
		panic("settings: a change always encodes: " + err.Error())
	}
	return xxhash.Sum64(data)
}
