package claim

import (
	"sync/atomic"
	"time"
)

// PermitState is the state of a Permit.
type PermitState uint32

// States of a permit. It starts as Asked. Dispatching and Released are final; a
// Dead permit may still be released.
const (
	Asked       PermitState = iota // the verdict has not been read back yet
	Claimed                        // read back as holder
	Dispatching                    // the first byte may have been sent
	Released                       // not dispatched, and never will be
	Dead                           // not granted or not dispatched in time: never dispatched
)

var permitStateNames = [...]string{"asked", "claimed", "dispatching", "released", "dead"}

// String returns the state's name for logs.
func (s PermitState) String() string {
	if int(s) >= len(permitStateNames) {
		return "invalid"
	}
	return permitStateNames[s]
}

// Permit is the holder's in-memory right to dispatch once. Each transition is one
// atomic compare-and-swap, so dispatch and release exclude each other.
type Permit struct {
	state    atomic.Uint32
	offset   atomic.Int64
	notAfter time.Time
}

// NewPermit returns a permit in state Asked that cannot be dispatched after
// notAfter.
func NewPermit(notAfter time.Time) *Permit {
	return &Permit{notAfter: notAfter}
}

// State returns the current state.
func (p *Permit) State() PermitState {
	return PermitState(p.state.Load())
}

// Offset returns the claim's offset, 0 before Grant.
func (p *Permit) Offset() int64 {
	return p.offset.Load()
}

// NotAfter returns the latest time for a dispatch.
func (p *Permit) NotAfter() time.Time {
	return p.notAfter
}

// Grant records that the claim was read back as holder at the offset. It reports
// false if the permit is not in state Asked.
func (p *Permit) Grant(offset int64) bool {
	if !p.transition(Asked, Claimed) {
		return false
	}
	p.offset.Store(offset)
	return true
}

// Dispatch must be called before the first byte is written; only if it reports
// true may anything be sent. It reports true at most once. Past NotAfter the
// permit becomes Dead instead. NotAfter is compared on both the monotonic and the
// wall clock, because the former stops while a machine is suspended.
func (p *Permit) Dispatch(now time.Time) bool {
	if now.After(p.notAfter) || now.Round(0).After(p.notAfter.Round(0)) {
		p.transition(Claimed, Dead)
		return false
	}
	return p.transition(Claimed, Dispatching)
}

// Release gives up the right to dispatch permanently. It reports true if a Release
// record may be written: the request was not dispatched and never will be. A Dead
// permit can be released too.
func (p *Permit) Release() bool {
	return p.transition(Claimed, Released) || p.transition(Dead, Released)
}

// Kill makes the permit Dead when its verdict did not come in time. It reports false
// if the permit was already dispatched, released or Dead.
func (p *Permit) Kill() bool {
	return p.transition(Asked, Dead) || p.transition(Claimed, Dead)
}

func (p *Permit) transition(from, to PermitState) bool {
	return p.state.CompareAndSwap(uint32(from), uint32(to))
}
