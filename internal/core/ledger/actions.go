package ledger

import "time"

// Action is what the caller of a Ledger has to do. It is one of the types below.
type Action interface{ action() }

// ReserveOn asks the engine for memory; the result goes to ReserveAnswer.
type ReserveOn struct{ Request ReserveRequest }

// ReleaseOn asks the engine to free a reservation or an export; the result goes
// to EndAnswer.
type ReleaseOn struct {
	Engine string
	ID     ID
	Cause  Cause
}

// CancelOn asks the engine to end a running attempt; the result goes to
// EndAnswer.
type CancelOn struct {
	Engine string
	ID     ID
	Cause  Cause
}

// ReadBooks asks for a fresh read of an engine's books.
type ReadBooks struct{ Engine string }

// Grant tells the front that asked that the memory is held.
type Grant struct{ Request ReserveRequest }

// Deny tells the front that asked that it has nothing. RetryAfter zero: asking
// again does not help.
type Deny struct {
	Request    ReserveRequest
	Reason     Reason
	RetryAfter time.Duration
}

// Ended says that the engine no longer holds what an end was asked for.
type Ended struct {
	Engine string
	ID     ID
	Cause  Cause
}

func (ReserveOn) action() {}
func (ReleaseOn) action() {}
func (CancelOn) action()  {}
func (ReadBooks) action() {}
func (Grant) action()     {}
func (Deny) action()      {}
func (Ended) action()     {}

// Reason says why an ask was denied.
type Reason string

// Reasons of a denial.
const (
	NotOwner    Reason = "not_owner"    // nothing was asked of the engine; ask its owner
	NotReady    Reason = "not_ready"    // the engine's books are not read yet
	NoMemory    Reason = "no_memory"    //
	KeptForGang Reason = "kept_gang"    // the room is kept for a gang
	TooLarge    Reason = "too_large"    // more than the engine's whole memory
	IDEnded     Reason = "id_ended"     // the id was released before; take a new one
	InProgress  Reason = "in_progress"  // the same ask waits for the engine
	IDTaken     Reason = "id_taken"     // the id belongs to another holder
	StaleHolder Reason = "stale_holder" // a newer incarnation of the host is known
	AnswerLost  Reason = "answer_lost"  // the engine's answer was lost; release the id and take a new one
)

// Cause says why a holding is ended.
type Cause string

// Causes of an end.
const (
	CauseReleased  Cause = "released"  // by its holder
	CauseUnclaimed Cause = "unclaimed" // its holder renews without it
	CauseSilent    Cause = "silent"    // its holder renews no longer
	CauseUnknown   Cause = "unknown"   // its holder was never heard of
	CauseGone      Cause = "gone"      // its holder's host has gone
	CauseReplaced  Cause = "replaced"  // its holder's host has started anew
	CauseLost      Cause = "lost"      // the engine's answer to the ask was lost
	CauseLate      Cause = "late"      // it came up after it had been ended
)

// Result is an engine's answer to a reserve call.
type Result uint8

// Results of a reserve call.
const (
	Held    Result = iota + 1
	Refused        // the engine said no
	Lost           // no answer; the memory may be held
)
