package request

import (
	"fmt"
	"time"
)

// Priority orders requests; a lower value is served first. The numbers are those
// of the engine API.
type Priority uint8

// Priorities, from first served to last.
const (
	Urgent Priority = iota
	Normal
	Bulk
)

// NumPriorities is the number of priorities.
const NumPriorities = 3

var priorityNames = [NumPriorities]string{"urgent", "normal", "bulk"}

// String returns the name used in settings, headers and logs.
func (p Priority) String() string {
	if int(p) >= len(priorityNames) {
		return fmt.Sprintf("priority(%d)", uint8(p))
	}
	return priorityNames[p]
}

// ParsePriority returns the priority with the given name; ok is false for an unknown name.
func ParsePriority(s string) (p Priority, ok bool) {
	for i, n := range priorityNames {
		if n == s {
			return Priority(i), true
		}
	}
	return 0, false
}

// Kind distinguishes model generation from a call to a plain service.
type Kind uint8

// Kinds of request.
const (
	Generate Kind = iota
	Call
)

// Request is one request, admitted or not. It is immutable once the daemon that
// received it has built it.
type Request struct {
	ID        string
	Customer  string
	Path      string // settings path of the customer
	Kind      Kind
	Target    string // model or service
	Operation string // of a service; empty for a model

	PromptTokens int      // estimated before an engine has counted them
	MaxTokens    int      // upper bound of the answer
	Prefix       []uint64 // chained hashes of the prompt's leading blocks
	Fingerprint  uint64   // hash of customer, target and whole body
	PromptParts  []uint64 // hashes of the passages of the prompt that other requests may share

	Priority   Priority
	Arrived    time.Time
	Deadline   time.Time // for the complete answer
	Repeatable bool      // false: must be sent to an upstream at most once
	Key        string    // idempotency key; empty: none
}

// Remaining returns the time left until the deadline; it is negative after it.
func (r *Request) Remaining(now time.Time) time.Duration {
	return r.Deadline.Sub(now)
}

// TotalTokens returns the memory in tokens that the request needs with a complete answer
// of MaxTokens.
func (r *Request) TotalTokens() int {
	return r.PromptTokens + r.MaxTokens
}
