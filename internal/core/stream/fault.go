package stream

import "fmt"

// Fault is a kind of contradiction between the chunks of one answer.
type Fault uint8

// Faults of an answer.
const (
	FaultNone    Fault = iota
	FaultIndex         // a negative index
	FaultTotal         // two totals, or more tokens than the total
	FaultText          // two texts for one index
	FaultTooLong       // more tokens than Options.MaxTokens
	FaultMarker        // a final marker with text
)

var faultNames = [...]string{"none", "negative index", "total disagrees", "text disagrees", "more tokens than requested", "final marker with text"}

// String returns a short description, "unknown" for an undefined fault.
func (f Fault) String() string {
	if int(f) >= len(faultNames) {
		return "unknown"
	}
	return faultNames[f]
}

// FaultError describes the chunk that contradicted the answer.
type FaultError struct {
	Fault      Fault
	Attempt    int
	Index      int // index of the chunk
	Next       int // NextIndex when the chunk came
	Total      int // total known before the chunk, -1 when none
	ChunkTotal int // Total of the chunk
}

// Error implements error.
func (e *FaultError) Error() string {
	return fmt.Sprintf("stream: %s: attempt %d, index %d, next %d, total %d, chunk's total %d",
		e.Fault, e.Attempt, e.Index, e.Next, e.Total, e.ChunkTotal)
}
