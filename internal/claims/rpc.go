package claims

import (
	"context"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/core/claim"
)

// State is a combiner's answer.
type State uint8

// States of a reply.
const (
	StateUndecided State = iota // no verdict in time; the claim may be in the log
	StateHolds
	StateHeld
	StateConflict
	StateExpired
	StateLate
	StateUncertain      // the partition refuses: claims may have been trimmed
	StateLogUnavailable // the log does not answer; the claim was not appended now
	StateBusy           // the partition remembers as many keys as it may
	StateReleased       // a release stands in the log, or none is needed
	StateNotFound       // the claim to be released is not in the log
	StateInvalid        // the claim cannot be encoded
)

var stateNames = [...]string{
	"undecided", "holds", "held", "conflict", "expired", "late",
	"uncertain", "away", "busy", "released", "not_found", "invalid",
}

// String returns the state's name for logs and metrics.
func (s State) String() string {
	if int(s) >= len(stateNames) {
		return "none"
	}
	return stateNames[s]
}

var verdictStates = [...]State{
	claim.Undecided: StateUndecided,
	claim.Holds:     StateHolds,
	claim.Held:      StateHeld,
	claim.Conflict:  StateConflict,
	claim.Expired:   StateExpired,
	claim.Late:      StateLate,
	claim.Uncertain: StateUncertain,
}

// AcquireArgs asks a combiner for the verdict on a claim.
type AcquireArgs struct {
	Claim claim.Claim
	Wait  time.Duration // the combiner answers within it
}

// AcquireReply is the verdict.
type AcquireReply struct {
	State      State
	Offset     int64         // of the claim, when it is in the log
	Holder     claim.Holder  // with StateHeld and StateConflict
	RetryAfter time.Duration // with StateUncertain, zero if not known
}

// ReleaseArgs asks a combiner to write a holder's release.
type ReleaseArgs struct {
	Customer    string
	Key         string
	ID          claim.ID
	Host        string
	Incarnation uint64
	Wait        time.Duration
}

// ReleaseReply tells whether the release stands in the log.
type ReleaseReply struct {
	State State
}

// AwaitArgs asks a holder for the answer of its run.
type AwaitArgs struct {
	Customer    string
	Key         string
	Offset      int64
	ID          claim.ID
	Incarnation uint64 // the holder's; another process knows nothing
	From        int    // bytes received so far
	Wait        time.Duration
}

// RPC is the net/rpc receiver, to be registered as ServiceName.
type RPC struct {
	s *Service
}

// RPC returns the receiver for the other hosts' calls.
func (s *Service) RPC() *RPC { return &RPC{s: s} }

// Acquire answers a front.
func (r *RPC) Acquire(a AcquireArgs, reply *AcquireReply) error {
	ctx, cancel := context.WithTimeout(r.s.base, a.Wait)
	defer cancel()
	*reply = r.s.combiner(a.Claim.Customer, a.Claim.Key).acquire(ctx, a.Claim)
	return nil
}

// Release answers a holder.
func (r *RPC) Release(a ReleaseArgs, reply *ReleaseReply) error {
	ctx, cancel := context.WithTimeout(r.s.base, a.Wait)
	defer cancel()
	*reply = r.s.combiner(a.Customer, a.Key).release(ctx, a)
	return nil
}

// Await answers a front that was sent the same key again.
func (r *RPC) Await(a AwaitArgs, reply *Chunk) error {
	if a.Incarnation != r.s.o.Incarnation {
		*reply = Chunk{State: AnswerMissing}
		return nil
	}
	ctx, cancel := context.WithTimeout(r.s.base, a.Wait)
	defer cancel()
	*reply = r.s.readOwn(ctx, answerKey{a.Customer, a.Key, a.Offset}, a.ID, a.From)
	return nil
}
