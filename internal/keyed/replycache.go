package keyed

import (
	"bytes"
	"compress/gzip"
	"encoding/gob"
	"io"

	"github.com/ansel1/merry/v2"

	"github.com/buckthorndock/buckthorndock/internal/platform"
)

// replyCache keeps the last packed answer, because after a change all peers request the same one.
// The records are compressed, so that large settings pass slow links in time.
type replyCache struct {
	from, next int64
	version    int // streamState.version
	data       []byte
}

// get returns the packed records from an offset on, or nil if there are none. The caller holds
// the follower's lock.
func (p *replyCache) get(c *streamState, from int64) ([]byte, error) {
	if p.data != nil && p.from == from && p.next == c.next && p.version == c.version {
		return p.data, nil
	}
	records := c.recordsSince(from)
	if len(records) == 0 {
		return nil, nil
	}
	var b bytes.Buffer
	w, err := gzip.NewWriterLevel(&b, gzip.BestSpeed)
	if err != nil {
		return nil, err
	}
	if err := gob.NewEncoder(w).Encode(records); err != nil {
		return nil, merry.Prepend(err, "pack records")
	}
	if err := w.Close(); err != nil {
		return nil, merry.Prepend(err, "pack records")
	}
	*p = replyCache{from: from, next: c.next, version: c.version, data: b.Bytes()}
	return p.data, nil
}

// maxUnpacked limits the unpacked size of a peer's answer, in bytes.
const maxUnpacked = 64 << 20

// unpack decodes the records of a peer's answer.
func unpack(data []byte) ([]platform.KeyedRecord, error) {
	if len(data) == 0 {
		return nil, nil
	}
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, merry.Prepend(err, "unpack records")
	}
	var records []platform.KeyedRecord
	err = gob.NewDecoder(io.LimitReader(r, maxUnpacked)).Decode(&records)
	return records, merry.Prepend(err, "unpack records")
}
