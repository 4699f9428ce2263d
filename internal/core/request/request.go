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

// ParsePriority returns the priority of a name; ok is false for any other word.
func ParsePriority(s string) (p Priority, ok bool) {
	for i, n := range priorityNames {
		if n == s {
			return Priority(i), true
		}
	}
	return 0, false
}

// Kind tells model generation from a plain service's call.
type Kind uint8

// Kinds of request.
const (
	Generate Kind = iota
	Call
)

// Request is one admitted or yet to be admitted request. It is immutable after
// the front door has built it.
type Request struct {
	ID        string
	Customer  string
	Path      string // settings path of the customer
	Kind      Kind
	Target    string // model or service
	Operation string // of a service, else empty

	PromptTokens int      // estimated before an engine has counted them
	MaxTokens    int      // upper bound of the answer
	Prefix       []uint64 // chained hashes of the prompt's leading blocks
	Fingerprint  uint64   // hash of customer, target and whole body

	Priority   Priority
	Arrived    time.Time
	Deadline   time.Time // the whole answer is wanted by then
	Repeatable bool      // false: at most one dispatch, ever
	Key        string    // idempotency key, empty without one
}

// Remaining returns the time left until the deadline, negative when past.
func (r *Request) Remaining(now time.Time) time.Duration {
	return r.Deadline.Sub(now)
}

// TotalTokens returns the memory in tokens that the request needs at its end.
func (r *Request) TotalTokens() int {
	return r.PromptTokens + r.MaxTokens
}
