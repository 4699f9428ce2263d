package settings

import (
	"fmt"
	"time"
)

// Outcome is what replay made of a record.
type Outcome string

// Outcomes of a record.
const (
	// Accepted: all edits of the change are in force.
	Accepted Outcome = "accepted"
	// Conflict: a base is not the version of its path.
	Conflict Outcome = "conflict"
	// Overtaken: an ancestor or descendant of an edited path changed after the
	// state that the change was checked against.
	Overtaken Outcome = "overtaken"
	// Stale: the change was checked against a state out of the window.
	Stale Outcome = "stale"
	// Repeated: a change of this id was decided before; that verdict holds.
	Repeated Outcome = "repeated"
	// Undecodable: the record is not a change.
	Undecodable Outcome = "undecodable"
	// OutOfOrder: the record is not the next one; the state did not change.
	OutOfOrder Outcome = "out_of_order"
)

// Verdict is what replay made of one record. It holds no prose, so that states of
// different program versions stay equal; Reason renders it.
type Verdict struct {
	Offset      int64    `json:"offset"`
	AtMs        int64    `json:"at_ms"` // Unix time by the log's clock
	ChangeID    string   `json:"id"`
	Author      string   `json:"author"`
	ContentHash uint64   `json:"content"` // Change.Content
	Paths       []string `json:"paths"`
	Outcome     Outcome  `json:"outcome"`
	Path        string   `json:"path,omitempty"`  // of the edit that lost
	PriorOffset int64    `json:"rival,omitempty"` // version or offset that it lost to
	Base        int64    `json:"base,omitempty"`  // base or seen offset of the loser
}

// At returns when the log took the record, by the log's clock.
func (v *Verdict) At() time.Time { return time.UnixMilli(v.AtMs) }

// Accepted reports whether the change is in force.
func (v *Verdict) Accepted() bool { return v.Outcome == Accepted }

// Reason says in one line why the record was not accepted; empty when it was.
func (v *Verdict) Reason() string {
	switch v.Outcome {
	case Accepted:
		return ""
	case Conflict:
		return fmt.Sprintf("%s has version %d, the edit starts from %d", v.Path, v.PriorOffset, v.Base)
	case Overtaken:
		return fmt.Sprintf("change at offset %d, near %s, came first", v.PriorOffset, v.Path)
	case Stale:
		return fmt.Sprintf("checked against offset %d, too far from offset %d", v.Base, v.Offset)
	case Repeated:
		return fmt.Sprintf("repeats the change at offset %d", v.PriorOffset)
	case Undecodable:
		return "not a change record"
	}
	return string(v.Outcome)
}
