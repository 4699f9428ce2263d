package schedule

import (
	"time"

	"github.com/buckthorndock/buckthorndock/internal/core/booking"
)

// ServiceName is the name under which daemons call each other.
const ServiceName = "Schedule"

// sender names one life of a daemon.
type sender struct {
	Host        string
	Incarnation uint64
}

// Event is news of an attempt, or of an upstream: its limit, or that it is cold.
type Event struct {
	Attempt string
	Ended   bool   // else its first event has come
	Limit   *Limit // with it the rest is empty
	Cold    *Cold  // with it the rest is empty
}

// Cold is what a daemon knows of an upstream that bears few requests a second for a time.
type Cold struct {
	Upstream  string
	PerSecond float64 // requests from all daemons together
	Left      time.Duration
}

// Limit is what a daemon has heard of an upstream's limit.
type Limit struct {
	Upstream  string
	Limited   bool    // false: the upstream has taken it back
	PerSecond float64 // requests from all daemons together
	Age       time.Duration
}

// PlaceRequest asks the keeper of the book for a plan. Events come before it.
type PlaceRequest struct {
	From   sender
	Ask    booking.Request
	Events []Event
}

// PlaceReply has the plan, which the keeper has noted.
type PlaceReply struct {
	Plan booking.Plan
	// Unknown says that the keeper has not been told the sender's open attempts.
	Unknown bool
}

// NotifyRequest tells the keeper news; without any it says that the sender lives.
type NotifyRequest struct {
	From   sender
	Events []Event
}

// NotifyReply answers a NotifyRequest.
type NotifyReply struct {
	Unknown bool // as in PlaceReply
}

// RestoreRequest tells the keeper all open attempts of the sender and all limits that it has
// heard.
type RestoreRequest struct {
	From   sender
	Open   []booking.OpenAttempt
	Limits []Limit
}

// RestoreReply answers a RestoreRequest.
type RestoreReply struct {
	Taken int // attempts
}

// AdmitRequest asks the keeper for a turn at an upstream with a limit, or a cold one.
type AdmitRequest struct {
	From   sender
	Limit  Limit         // as the sender has heard it
	Cold   *Cold         // nil: the upstream is not cold, as far as the sender knows
	Within time.Duration // the longest wait for the turn
}

// AdmitReply has the turn.
type AdmitReply struct {
	OK   bool
	Wait time.Duration // until the turn, also where it is too long
}

// MoveRequest tells a daemon to move attempts of its own: long prompts are about to be read
// where they write.
type MoveRequest struct {
	Attempts []string
}

// MoveReply answers a MoveRequest.
type MoveReply struct {
	Moved int // attempts
}
