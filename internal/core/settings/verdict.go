package settings

import (
	"fmt"
	"time"
)

// Outcome is the result of replaying a record.
type Outcome string

// Outcomes of a record.
const (
	// Accepted: all edits of the change are in force.
	Accepted Outcome = "accepted"
	// Conflict: the base of an edit is not the current version at its path.
	Conflict Outcome = "conflict"
	// Overtaken: a change at, above or below an edited path was accepted after the state that
	// the change was checked against.
	Overtaken Outcome = "overtaken"
	// Stale: the state that the change was checked against is more than HistoryWindow offsets
	// back, or does not precede the record.
	Stale Outcome = "stale"
	// Repeated: a change of this id was decided before, and that verdict remains in effect.
	Repeated Outcome = "repeated"
	// Undecodable: the record could not be decoded as a change.
	Undecodable Outcome = "undecodable"
	// OutOfOrder: the record is not the next one, and was not applied.
	OutOfOrder Outcome = "out_of_order"
)

// Verdict is the result of replaying one record. Its text is made by Reason and not stored, so
// that the states of different program versions stay equal.
type Verdict struct {
	Offset      int64    `json:"offset"`
	AtMs        int64    `json:"at_ms"` // Unix time by the log's clock
	ChangeID    string   `json:"id"`
	Author      string   `json:"author"`
	ContentHash uint64   `json:"content"` // Change.ContentHash
	Paths       []string `json:"paths"`
	Outcome     Outcome  `json:"outcome"`
	Path        string   `json:"path,omitempty"`  // of the edit that was refused
	PriorOffset int64    `json:"rival,omitempty"` // offset of the earlier change that caused this outcome, which is also the version that it set
	Base        int64    `json:"base,omitempty"`  // Base of the refused edit, or CheckedOffset of the refused change
}

// At returns when the record was appended, by the log's clock.
func (v *Verdict) At() time.Time { return time.UnixMilli(v.AtMs) }

// Accepted reports whether the change is in force.
func (v *Verdict) Accepted() bool { return v.Outcome == Accepted }

// Reason returns one line that says why the record was not accepted, empty when it was.
func (v *Verdict) Reason() string {
	switch v.Outcome {
	case Accepted:
		return ""
	case Conflict:
		return fmt.Sprintf("%s has version %d, the edit is based on %d", v.Path, v.PriorOffset, v.Base)
	case Overtaken:
		return fmt.Sprintf("the change at offset %d, at, above or below %s, came first", v.PriorOffset, v.Path)
	case Stale:
		return fmt.Sprintf("checked against offset %d, too far from offset %d", v.Base, v.Offset)
	case Repeated:
		return fmt.Sprintf("repeats the change at offset %d", v.PriorOffset)
	case Undecodable:
		return "not a change record"
	}
	return string(v.Outcome)
}
