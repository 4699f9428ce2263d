package schedule

import (
	"time"

	"github.com/buckthorndock/buckthorndock/internal/core/booking"
)

// ServiceName is the name under which daemons call each other.
const ServiceName = "Schedule"

// sender identifies one incarnation of a daemon.
type sender struct {
	Host        string
	Incarnation uint64
}

// Event reports a change of an attempt, of a slot lease, or of an upstream: its limit, that it is cold
// or full, or its speed.
type Event struct {
	Attempt string
	Ended   bool   // the attempt has ended; false: its first event has come
	Limit   *Limit // if set, the other fields are empty
	Cold    *Cold  // if set, the other fields are empty
	Slot    *Slot  // if set, the other fields are empty
	Speed   *Speed // if set, the other fields are empty
}

// Speed reports the time of a request at an engine.
type Speed struct {
	Upstream string
	Expected time.Duration // by the engine's figures
	Observed time.Duration
}

// Cold reports an upstream that can take only few requests per second for a time.
type Cold struct {
	Upstream  string
	PerSecond float64       // requests from all daemons together
	Left      time.Duration // until it is warm
}

// Limit reports the rate limit of an upstream.
type Limit struct {
	Upstream  string
	Limited   bool          // false: the upstream has withdrawn its limit
	PerSecond float64       // requests from all daemons together
	Age       time.Duration // since the upstream reported it
}

// PlaceRequest asks the keeper for a plan. The keeper applies Events first.
type PlaceRequest struct {
	From   sender
	Ask    booking.Request // the attempt to plan
	Events []Event
}

// PlaceReply has the plan, which the keeper has entered in the book.
type PlaceReply struct {
	Plan booking.Plan
	// Unknown says that the keeper does not have the sender's open attempts; the sender must
	// send them in a RestoreRequest.
	Unknown bool
	Scarce  []string // services whose plain servers have too few free slots
}

// NotifyRequest sends events to the keeper; without events it is a heartbeat.
type NotifyRequest struct {
	From   sender
	Events []Event
}

// NotifyReply answers a NotifyRequest.
type NotifyReply struct {
	Unknown bool     // as in PlaceReply
	Scarce  []string // as in PlaceReply
}

// RestoreRequest sends the keeper all open attempts and slot leases of the sender, all limits that
// were reported to it, and the engine time that its customers were granted through it.
type RestoreRequest struct {
	From   sender
	Open   []booking.OpenAttempt
	Limits []Limit
	Slots  []SlotLease
	Use    []booking.ServiceUse
}

// RestoreReply answers a RestoreRequest.
type RestoreReply struct {
	Taken int // attempts taken into the book
}

// AdmitRequest asks the keeper for a turn at an upstream with a limit, or a cold one.
type AdmitRequest struct {
	From   sender
	Limit  Limit         // as reported to the sender
	Cold   *Cold         // nil: the upstream is not cold, as far as the sender knows
	Within time.Duration // maximum wait for the turn
}

// AdmitReply says whether the sender has the turn.
type AdmitReply struct {
	OK   bool
	Wait time.Duration // until the turn, also if it is longer than Within
}

// MoveRequest asks a daemon to move attempts of its own: long prompts are about to be prefilled
// on the engines where they decode.
type MoveRequest struct {
	Attempts []string
}

// MoveReply answers a MoveRequest.
type MoveReply struct {
	Moved int // attempts moved
}
