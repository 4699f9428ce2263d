package answerhead

import (
	"errors"
	"fmt"
)

// Fault is what is wrong with an answer, as metrics and logs name it.
type Fault string

// Faults of a head, and of what else frames a body.
const (
	FaultStatusLine Fault = "status_line"
	FaultStatus     Fault = "status"
	FaultFieldName  Fault = "field_name"
	FaultFieldValue Fault = "field_value"
	FaultLineEnd    Fault = "line_end"
	FaultFraming    Fault = "framing"
	FaultChunk      Fault = "chunk"   // of a body
	FaultTrailer    Fault = "trailer" // the name of a field behind the last chunk
	FaultOther      Fault = "other"   // found by net/http only
)

// Error tells that an answer is broken.
type Error struct {
	Fault  Fault
	Line   int    // of the head, from 1; 0: none
	Detail string // a few bytes of the fault, quoted; may be empty
}

// IsError reports whether err tells that an answer is broken.
func IsError(err error) bool {
	var e *Error
	return errors.As(err, &e)
}

// Error implements error.
func (e *Error) Error() string {
	text := "the answer is broken: " + string(e.Fault)
	if e.Line > 0 {
		text += fmt.Sprintf(" in line %d", e.Line)
	}
	if e.Detail != "" {
		text += ": " + e.Detail
	}
	return text
}
