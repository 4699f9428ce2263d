package order

import (
	"encoding/json"
	"time"

	"github.com/ansel1/merry/v2"
)

// RecordKind is the kind of a record of the stream.
type RecordKind string

// Kinds of records.
const (
	ClaimRecord RecordKind = "claim" // takes a free lease
	RenewRecord RecordKind = "renew" // extends the writer's lease
	DropRecord  RecordKind = "drop"  // gives up the writer's lease
)

// maxRecordBytes is the maximum size of a record that Decode accepts.
const maxRecordBytes = 4096

// Holder is an entry host and its incarnation.
type Holder struct {
	Host        string `json:"host"`
	Incarnation string `json:"incarnation"`
}

// Record is one record of a domain's order stream.
type Record struct {
	Kind   RecordKind `json:"kind"`
	ID     string     `json:"id"` // unique; a record that was appended twice counts once
	Pool   string     `json:"pool"`
	Holder Holder     `json:"holder"`
	Fence  int64      `json:"fence,omitempty"` // of the lease to renew or drop; in a claim, the highest that its writer knows
}

// Stream returns the name of a failure domain's order stream.
func Stream(domain string) string {
	return "orders-" + domain
}

// Encode returns the record as stored in the log.
func (r Record) Encode() ([]byte, error) {
	b, err := json.Marshal(r)
	return b, merry.Prepend(err, "encode order record")
}

// Decode decodes and checks a record.
func Decode(b []byte) (Record, error) {
	var r Record
	if len(b) > maxRecordBytes {
		return r, merry.Errorf("order record of %d bytes is too long", len(b))
	}
	if err := json.Unmarshal(b, &r); err != nil {
		return r, merry.Prepend(err, "decode order record")
	}
	if r.ID == "" || r.Pool == "" || r.Holder.Host == "" {
		return r, merry.New("order record lacks its id, pool or host")
	}
	switch r.Kind {
	case ClaimRecord, RenewRecord, DropRecord:
		return r, nil
	default:
		return r, merry.Errorf("order record of unknown kind %q", r.Kind)
	}
}

// Entry is a record as read from the log.
type Entry struct {
	Offset int64
	At     time.Time // by the log's clock
	Data   []byte
}
