package schedule

import "github.com/buckthorndock/buckthorndock/internal/core/booking"

// ServiceName is the name under which daemons call each other.
const ServiceName = "Schedule"

// sender names one life of a daemon.
type sender struct {
	Host        string
	Incarnation uint64
}

// Event is news of an attempt.
type Event struct {
	Attempt string
	Ended   bool // else its first event has come
}

// PlaceRequest asks the keeper of the book for a plan. Events come before it.
type PlaceRequest struct {
	From   sender
	Ask    booking.Ask
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

// RestoreRequest tells the keeper all open attempts of the sender.
type RestoreRequest struct {
	From sender
	Open []booking.Open
}

// RestoreReply answers a RestoreRequest.
type RestoreReply struct {
	Taken int // attempts
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
