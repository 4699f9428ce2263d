package relay

import (
	"errors"
	"io"
	"syscall"

	"github.com/sirupsen/logrus"
)

// bodyEnd is how the body of an answer ended, for logs.
type bodyEnd string

const (
	bodyWhole       bodyEnd = "whole"        // as its framing says
	bodyInsideEvent bodyEnd = "inside_event" // its end came in the middle of an event
	bodyReset       bodyEnd = "reset"        // the connection was reset
	bodyClosed      bodyEnd = "closed"       // the connection was closed before the end that the framing says
	bodyStopped     bodyEnd = "stopped"      // this daemon ended the attempt
	bodyFailed      bodyEnd = "failed"       // any other error
)

// bodyLog is what logs tell about the body of an attempt's answer. The zero value stands for an attempt
// without an answer.
type bodyLog struct {
	framing Framing
	end     bodyEnd
	first   string // ID of the first event
	events  int    // events read

	repeated int // of these, that the caller had already
}

// noteEnd records the error with which the body ended.
func (l *bodyLog) noteEnd(err error, stopped bool) {
	switch {
	case errors.Is(err, io.EOF):
		l.end = bodyWhole
	case errors.Is(err, errEventCut):
		l.end = bodyInsideEvent
	case stopped:
		l.end = bodyStopped
	case errors.Is(err, syscall.ECONNRESET):
		l.end = bodyReset
	case errors.Is(err, io.ErrUnexpectedEOF):
		l.end = bodyClosed
	default:
		l.end = bodyFailed
	}
}

// noteEvent records an event that was read.
func (l *bodyLog) noteEvent(id string) {
	if l.events == 0 {
		l.first = id
	}
	l.events++
}

// addTo adds what is known to the fields of a line.
func (l *bodyLog) addTo(fields logrus.Fields) {
	if l.framing == "" {
		return
	}
	fields["framing"] = string(l.framing)
	fields["body_end"] = string(l.end)
	if l.events > 0 {
		fields["next"] = l.first
		fields["events"] = l.events
		fields["repeated"] = l.repeated
	}
}
