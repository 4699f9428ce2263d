package owner

import (
	"bytes"
	"encoding/gob"

	"github.com/ansel1/merry/v2"
)

// A digest is sent as two gob values, one with all strings and one with all
// numbers: gob would describe a struct type in each message, which takes more bytes
// than the engines of one owner.

// maxDigestBytes bounds the data that DecodeDigest accepts.
const maxDigestBytes = 1 << 20

// textsPerEngine is the number of strings sent for one engine.
const textsPerEngine = 3

var errDigestTruncated = merry.New("digest is truncated")

// numberColumns returns the number columns that each engine has, in their order on
// the wire.
func (e *EngineDigest) numberColumns() []*int64 {
	return []*int64{
		&e.Seq, &e.AgeMs, &e.StepUs, &e.Prefill, &e.Decode, &e.Queued, &e.QueuedTokens, &e.Running,
		&e.Total, &e.Used, &e.Block, &e.ReservedMs, &e.ReservedTokens, &e.FirstCacheSeq,
	}
}

// Encode returns the digest in the form in which it is published.
func (d Digest) Encode() ([]byte, error) {
	var texts []string
	var nums []int64
	for i := range d.Engines {
		e := &d.Engines[i]
		texts = append(texts, e.Name, e.Models, e.Role)
		nums = e.appendNumbers(nums)
	}
	var b bytes.Buffer
	enc := gob.NewEncoder(&b)
	if err := enc.Encode(texts); err != nil {
		return nil, merry.Prepend(err, "encode digest")
	}
	if err := enc.Encode(nums); err != nil {
		return nil, merry.Prepend(err, "encode digest")
	}
	return b.Bytes(), nil
}

// appendNumbers appends the engine's numbers as they are sent: the fixed columns,
// the extra ones and the cache events.
func (e *EngineDigest) appendNumbers(nums []int64) []int64 {
	for _, n := range e.numberColumns() {
		nums = append(nums, *n)
	}
	leaving := int64(0)
	if e.Leaving {
		leaving = 1
	}
	nums = append(nums, int64(e.IncarnationHash), leaving, int64(len(e.Cache)))
	for _, c := range e.Cache {
		nums = append(nums, int64(c))
	}
	return nums
}

// DecodeDigest decodes a published digest. Data that is too long, truncated or not
// valid gob is an error.
func DecodeDigest(data []byte) (Digest, error) {
	if len(data) > maxDigestBytes {
		return Digest{}, merry.Errorf("digest of %d bytes is too long", len(data))
	}
	var texts []string
	var nums []int64
	dec := gob.NewDecoder(bytes.NewReader(data))
	if err := dec.Decode(&texts); err != nil {
		return Digest{}, merry.Prepend(err, "decode digest")
	}
	if err := dec.Decode(&nums); err != nil {
		return Digest{}, merry.Prepend(err, "decode digest")
	}
	return buildDigest(texts, nums)
}

// buildDigest distributes the decoded strings and numbers to engines.
func buildDigest(texts []string, nums []int64) (Digest, error) {
	var d Digest
	for len(texts) > 0 {
		if len(texts) < textsPerEngine {
			return Digest{}, errDigestTruncated
		}
		e := EngineDigest{Name: texts[0], Models: texts[1], Role: texts[2]}
		texts = texts[textsPerEngine:]
		rest, ok := e.parseNumbers(nums)
		if !ok {
			return Digest{}, errDigestTruncated
		}
		nums = rest
		d.Engines = append(d.Engines, e)
	}
	return d, nil
}

// extraNumbers is the number of columns after the fixed ones: incarnation hash,
// leaving, and length of the cache events.
const extraNumbers = 3

// parseNumbers reads one engine's numbers and returns the rest; ok is false when
// there are too few.
func (e *EngineDigest) parseNumbers(nums []int64) (rest []int64, ok bool) {
	fixed := e.numberColumns()
	if len(nums) < len(fixed)+extraNumbers {
		return nil, false
	}
	for i, n := range fixed {
		*n = nums[i]
	}
	nums = nums[len(fixed):]
	e.IncarnationHash = uint32(nums[0])
	e.Leaving = nums[1] != 0
	size := nums[2]
	nums = nums[extraNumbers:]
	if size < 0 || size > int64(len(nums)) {
		return nil, false
	}
	for _, c := range nums[:size] {
		e.Cache = append(e.Cache, uint64(c))
	}
	return nums[size:], true
}
