package ledger

import "time"

// Action is something that the caller of a Ledger has to do: one of the types
// below.
type Action interface{ action() }

// ReserveOn asks the engine for memory; the result goes to HandleReserveAnswer.
type ReserveOn struct{ Request ReserveRequest }

// ReleaseOn asks the engine to free a reservation or an export; the result goes
// to HandleEndAnswer.
type ReleaseOn struct {
	Engine string
	ID     ID
	Cause  Cause
}

// CancelOn asks the engine to cancel a running attempt; the result goes to
// HandleEndAnswer.
type CancelOn struct {
	Engine string
	ID     ID
	Cause  Cause
}

// ReadBooks asks for a fresh read of an engine's books; they go to ApplyBooks.
type ReadBooks struct{ Engine string }

// Grant tells the requesting front that the memory is reserved.
type Grant struct{ Request ReserveRequest }

// Deny tells the requesting front that nothing is reserved. With a RetryAfter of
// zero a retry is pointless.
type Deny struct {
	Request    ReserveRequest
	Reason     Reason
	RetryAfter time.Duration
}

// Ended reports that the engine no longer has a holding whose end was requested.
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

// Reason is why a reserve request was denied.
type Reason string

// Reasons of a denial.
const (
	NotOwner    Reason = "not_owner"    // this daemon does not own the engine; ask the owner
	NotReady    Reason = "not_ready"    // the engine's books are not read yet
	NoMemory    Reason = "no_memory"    // the engine has too little free memory
	KeptForGang Reason = "kept_gang"    // the free memory is kept for a gang
	TooLarge    Reason = "too_large"    // more than the engine's whole memory
	IDEnded     Reason = "id_ended"     // the id was released before; use a new one
	InProgress  Reason = "in_progress"  // the engine has not answered the same request yet
	IDTaken     Reason = "id_taken"     // the id belongs to another holder
	StaleHolder Reason = "stale_holder" // a newer incarnation of the host is known
	AnswerLost  Reason = "answer_lost"  // the engine's answer was lost; release the id and use a new one
)

// Cause is why a holding is ended.
type Cause string

// Causes of an end.
const (
	CauseReleased  Cause = "released"  // released by its holder
	CauseUnclaimed Cause = "unclaimed" // its holder renews without it
	CauseSilent    Cause = "silent"    // its holder no longer renews
	CauseUnknown   Cause = "unknown"   // its holder never renewed
	CauseGone      Cause = "gone"      // its holder's host has left the site
	CauseReplaced  Cause = "replaced"  // its holder's host has restarted
	CauseLost      Cause = "lost"      // the engine's answer to the reserve call was lost
	CauseLate      Cause = "late"      // the engine listed it after it had been ended
)

// Result is an engine's answer to a reserve call.
type Result uint8

// Results of a reserve call.
const (
	Held    Result = iota + 1
	Refused        // the engine refused
	Lost           // no answer; the memory may be reserved
)
