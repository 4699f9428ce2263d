package claims

import (
	"context"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/core/claim"
)

// State is the result of a claim or release at a combiner.
type State uint8

// States of a reply.
const (
	StateUndecided      State = iota // no verdict in time; the claim may be in the log
	StateHolds                       // the claim holds its key
	StateHeld                        // another claim holds the key
	StateConflict                    // the key was used with another fingerprint
	StateExpired                     // the key's own time is outside the key life
	StateLate                        // recorded after the claim's NotAfter
	StateUncertain                   // earlier claims of the key may be lost or trimmed
	StateLogUnavailable              // the log does not answer; this call appended nothing
	StateBusy                        // the partition remembers MaxKeys keys already
	StateReleased                    // a release is in the log, or none is needed
	StateNotFound                    // the claim to be released is not in the log
	StateInvalid                     // the claim cannot be encoded
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

// AcquireArgs requests the verdict on a claim from a combiner.
type AcquireArgs struct {
	Claim claim.Claim
	Wait  time.Duration // the combiner replies within it
}

// AcquireReply is the verdict on a claim.
type AcquireReply struct {
	State      State
	Offset     int64         // of the claim, when it is in the log
	Holder     claim.Holder  // with StateHeld and StateConflict
	RetryAfter time.Duration // with StateUncertain, zero if not known
}

// ReleaseArgs requests that a combiner write the release of a claim.
type ReleaseArgs struct {
	Customer    string
	Key         string
	ID          claim.ID
	Host        string
	Incarnation uint64
	Wait        time.Duration
}

// ReleaseReply tells whether the release is in the log.
type ReleaseReply struct {
	State State
}

// AwaitArgs requests a run's answer from its holder.
type AwaitArgs struct {
	Customer    string
	Key         string
	Offset      int64
	ID          claim.ID
	Incarnation uint64        // of the holder; a later process has no answers of an earlier one
	From        int           // bytes received so far
	Wait        time.Duration // the holder replies within it
}

// RPC is the net/rpc receiver, to be registered as ServiceName.
type RPC struct {
	s *Service
}

// RPC returns the receiver of the other hosts' calls.
func (s *Service) RPC() *RPC { return &RPC{s: s} }

// Acquire returns the verdict on a front's claim.
func (r *RPC) Acquire(a AcquireArgs, reply *AcquireReply) error {
	ctx, cancel := context.WithTimeout(r.s.base, a.Wait)
	defer cancel()
	*reply = r.s.combiner(a.Claim.Customer, a.Claim.Key).acquire(ctx, a.Claim)
	return nil
}

// Release writes the release of a front's claim.
func (r *RPC) Release(a ReleaseArgs, reply *ReleaseReply) error {
	ctx, cancel := context.WithTimeout(r.s.base, a.Wait)
	defer cancel()
	*reply = r.s.combiner(a.Customer, a.Key).release(ctx, a)
	return nil
}

// Await returns the next chunk of a run's answer to a front that received the same
// key again.
func (r *RPC) Await(a AwaitArgs, reply *Chunk) error {
	if a.Incarnation != r.s.o.Incarnation {
		*reply = Chunk{State: AnswerMissing}
		return nil
	}
	ctx, cancel := context.WithTimeout(r.s.base, a.Wait)
	defer cancel()
	*reply = r.s.readLocal(ctx, answerKey{a.Customer, a.Key, a.Offset}, a.ID, a.From)
	return nil
}
