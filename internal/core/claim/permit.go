package claim

import (
	"sync/atomic"
	"time"
)

// PermitState is where a permit stands.
type PermitState uint32

// States of a permit. Asked is the first; Dispatching, Released and Dead are
// final, but for Dead, which may still be released.
const (
	Asked       PermitState = iota // verdict not read back yet
	Claimed                        // read back as holder
	Dispatching                    // the first byte may have been sent
	Released                       // not dispatched, and never will be
	Dead                           // undecided or too late: never dispatched
)

var permitStateNames = [...]string{"asked", "claimed", "dispatching", "released", "dead"}

// String returns the state's name for logs.
func (s PermitState) String() string {
	if int(s) >= len(permitStateNames) {
		return "invalid"
	}
	return permitStateNames[s]
}

// Permit is the holder's in-memory right to dispatch once. Each step is one
// atomic compare-and-swap, so of dispatch and release only one can ever happen.
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

// State returns the present state.
func (p *Permit) State() PermitState {
	return PermitState(p.state.Load())
}

// Offset returns the claim's offset, 0 before Grant.
func (p *Permit) Offset() int64 {
	return p.offset.Load()
}

// NotAfter returns the last time for a dispatch.
func (p *Permit) NotAfter() time.Time {
	return p.notAfter
}

// Grant records that the claim was read back as holder at the offset. It
// reports false when the permit was given up before.
func (p *Permit) Grant(offset int64) bool {
	if !p.step(Asked, Claimed) {
		return false
	}
	p.offset.Store(offset)
	return true
}

// Dispatch must be called before the first byte is written; only when it
// reports true may anything be sent. It reports true at most once. Past
// NotAfter the permit dies instead, by the monotonic clock or by the wall clock:
// the former stands still while a machine is suspended.
func (p *Permit) Dispatch(now time.Time) bool {
	if now.After(p.notAfter) || now.Round(0).After(p.notAfter.Round(0)) {
		p.step(Claimed, Dead)
		return false
	}
	return p.step(Claimed, Dispatching)
}

// Release gives the right up for good. It reports true when a Release record
// may be written: the request was not dispatched and never will be. A dead
// permit can be released as well.
func (p *Permit) Release() bool {
	return p.step(Claimed, Released) || p.step(Dead, Released)
}

// Kill ends a permit whose verdict did not come in time. It reports false when
// the request was dispatched or released before.
func (p *Permit) Kill() bool {
	return p.step(Asked, Dead) || p.step(Claimed, Dead)
}

func (p *Permit) step(from, to PermitState) bool {
	return p.state.CompareAndSwap(uint32(from), uint32(to))
}
