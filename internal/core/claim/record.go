package claim

import (
	"encoding/base64"
	"encoding/json"
	"time"
	"unicode/utf8"

	"github.com/ansel1/merry/v2"
	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
)

// Partitions is the number of claim streams. It is a constant: a change would map
// keys to other partitions, where their earlier claims are not found. The number
// keeps a combiner's bytes within its budget, see docs/design/005-claims.md.
const Partitions = 32

// Bounds of a record's fields, in bytes.
const (
	MaxKeyBytes  = 256 // idempotency key
	MaxNameBytes = 256 // customer or host
	maxRecord    = 8 << 10
)

const idBytes = 16

// ID identifies one claim. A repeated append has the same ID.
type ID [idBytes]byte

// String returns the ID in unpadded base64.
func (id ID) String() string {
	return base64.RawURLEncoding.EncodeToString(id[:])
}

// MarshalText implements encoding.TextMarshaler.
func (id ID) MarshalText() ([]byte, error) {
	return []byte(id.String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (id *ID) UnmarshalText(text []byte) error {
	b, err := base64.RawURLEncoding.DecodeString(string(text))
	if err != nil {
		return err
	}
	if len(b) != idBytes {
		return merry.Errorf("claim id has %d bytes, want %d", len(b), idBytes)
	}
	copy(id[:], b)
	return nil
}

// Claim requests the exclusive right to dispatch the request with a key.
type Claim struct {
	Customer    string `json:"u"`
	Key         string `json:"k"`
	ID          ID     `json:"i"`
	Host        string `json:"h"`           // host that will dispatch
	Incarnation uint64 `json:"n"`           // of that host's process
	Fingerprint uint64 `json:"f"`           // of the request's body
	NotAfterMs  int64  `json:"t"`           // Unix time in ms; a claim recorded more than MaxSkew later never holds
	LifeMs      int64  `json:"l"`           // key life configured on the host
	Supersedes  int64  `json:"s,omitempty"` // offset of a released holder, 0 for none
}

// Release states that the holder has not dispatched and never will. Only the
// holder writes it.
type Release struct {
	Offset      int64  `json:"o"` // of the claim
	ID          ID     `json:"i"` // of the claim; earlier versions write none
	Host        string `json:"h"`
	Incarnation uint64 `json:"n"`
}

// Mark records the log's time, so that even an idle stream has a record from which
// a replay can tell how far back it reaches and since when the log is in its era.
type Mark struct {
	Host    string `json:"h"`
	Era     int64  `json:"e,omitempty"` // of the log, as the host has read it
	SinceMs int64  `json:"s,omitempty"` // log time in Unix ms since which the log is known to be in the era; zero: the record's own time
}

// Record is one entry of a claim stream: exactly one field is set.
type Record struct {
	Claim   *Claim   `json:"c,omitempty"`
	Release *Release `json:"r,omitempty"`
	Mark    *Mark    `json:"m,omitempty"`
}

// Encode returns a record's bytes, which Decode accepts, or an error if the record
// is invalid.
func Encode(r Record) ([]byte, error) {
	if err := r.check(); err != nil {
		return nil, err
	}
	return json.Marshal(r)
}

// Decode decodes and checks a record. All replays ignore the records that it
// refuses, so its rules may change only with a new stream name.
func Decode(data []byte) (Record, error) {
	var r Record
	if len(data) > maxRecord {
		return r, merry.Errorf("record has %d bytes, at most %d", len(data), maxRecord)
	}
	if err := json.Unmarshal(data, &r); err != nil {
		return Record{}, merry.Prepend(err, "decode claim record")
	}
	if err := r.check(); err != nil {
		return Record{}, err
	}
	return r, nil
}

func (r Record) check() error {
	set := 0
	if r.Claim != nil {
		set++
	}
	if r.Release != nil {
		set++
	}
	if r.Mark != nil {
		set++
	}
	if set != 1 {
		return merry.Errorf("record has %d kinds, want 1", set)
	}
	switch {
	case r.Claim != nil:
		return r.Claim.check()
	case r.Release != nil:
		return r.Release.check()
	}
	return nil
}

func (c *Claim) check() error {
	switch {
	case c.Customer == "" || len(c.Customer) > MaxNameBytes:
		return merry.Errorf("claim: customer has %d bytes, want 1 to %d", len(c.Customer), MaxNameBytes)
	case c.Key == "" || len(c.Key) > MaxKeyBytes:
		return merry.Errorf("claim: key has %d bytes, want 1 to %d", len(c.Key), MaxKeyBytes)
	case c.Host == "" || len(c.Host) > MaxNameBytes:
		return merry.Errorf("claim: host has %d bytes, want 1 to %d", len(c.Host), MaxNameBytes)
	case !utf8.ValidString(c.Customer + c.Key + c.Host):
		return merry.New("claim: customer, key or host is not UTF-8") // JSON encoding would alter it
	case c.ID == ID{}:
		return merry.New("claim: no id")
	case c.LifeMs <= 0:
		return merry.New("claim: key life is not positive")
	case c.Supersedes < 0:
		return merry.New("claim: superseded offset is negative")
	}
	return nil
}

func (r *Release) check() error {
	switch {
	case r.Offset <= 0:
		return merry.New("release: offset is not positive")
	case r.Host == "":
		return merry.New("release: no host")
	}
	return nil
}

// Partition returns the stream number, from 0, of a customer's key.
func Partition(customer, key string) int {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(customer)
	// The separator keeps ("ab", "c") and ("a", "bc") apart.
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(key)
	return int(d.Sum64() % Partitions)
}

// KeyTime returns the timestamp of a UUIDv7 key; ok is false for opaque keys.
func KeyTime(key string) (t time.Time, ok bool) {
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 || id.Variant() != uuid.RFC4122 {
		return time.Time{}, false
	}
	ms := int64(0)
	for _, b := range id[:6] {
		ms = ms<<8 | int64(b)
	}
	return time.UnixMilli(ms), true
}
