package standin

import (
	"cmp"
	"context"
	"fmt"
	"slices"

	"github.com/buckthorndock/buckthorndock/internal/api/engineapi"
)

// GetBooks implements engineapi.Handler. Used memory is the sum of the tokens of
// all entries; a run with a reservation holds no tokens itself.
func (e *Engine) GetBooks(context.Context) (engineapi.GetBooksRes, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	b := &engineapi.Books{
		Incarnation:       e.incarnation,
		MemoryTotalTokens: e.opts.MemoryTokens,
		MemoryUsedTokens:  e.used,
		Running:           make([]engineapi.Running, 0, len(e.runs)),
		Reservations:      make([]engineapi.Reservation, 0, len(e.reservations)),
		Exports:           make([]engineapi.KVExport, 0, len(e.exports)),
	}
	for _, r := range e.runs {
		b.Running = append(b.Running, r.entry())
	}
	for _, r := range e.reservations {
		b.Reservations = append(b.Reservations, r.Reservation)
	}
	for _, x := range e.exports {
		b.Exports = append(b.Exports, *x)
	}
	slices.SortFunc(b.Running, func(x, y engineapi.Running) int {
		return cmp.Or(cmp.Compare(x.RequestID, y.RequestID), cmp.Compare(x.Attempt, y.Attempt))
	})
	slices.SortFunc(b.Reservations, func(x, y engineapi.Reservation) int { return cmp.Compare(x.ID, y.ID) })
	slices.SortFunc(b.Exports, func(x, y engineapi.KVExport) int { return cmp.Compare(x.ID, y.ID) })
	return b, nil
}

func (r *run) entry() engineapi.Running {
	return engineapi.Running{
		RequestID:     r.key.id,
		Attempt:       r.key.attempt,
		Holder:        r.req.Holder,
		Tokens:        r.held,
		Phase:         r.apiPhase(),
		Priority:      r.req.Priority,
		ReservationID: r.req.ReservationID,
	}
}

func (r *run) apiPhase() engineapi.RunningPhase {
	switch {
	case r.stream == nil:
		return engineapi.RunningPhaseOrphaned
	case r.phase == phaseQueued:
		return engineapi.RunningPhaseQueued
	case r.phase == phasePrefill:
		return engineapi.RunningPhasePrefill
	}
	return engineapi.RunningPhaseDecode
}

// Reserve implements engineapi.Handler.
func (e *Engine) Reserve(_ context.Context, req *engineapi.Reservation) (engineapi.ReserveRes, error) {
	if req.ID == "" || req.Tokens < 1 {
		return newRefusal(engineapi.RefusalCodeBadRequest, "a reservation needs an id and a positive number of tokens"), nil
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if old, ok := e.reservations[req.ID]; ok {
		if old.Tokens != req.Tokens {
			return newRefusal(engineapi.RefusalCodeDuplicate, "the id holds another number of tokens"), nil
		}
		held := old.Reservation
		return &held, nil
	}
	if req.Tokens > e.freeTokens() {
		return newRefusal(engineapi.RefusalCodeNoMemory, fmt.Sprintf("needs %d tokens, %d are free", req.Tokens, e.freeTokens())), nil
	}
	e.reservations[req.ID] = &reservation{Reservation: *req}
	e.allocate(req.Tokens)
	e.recordLoad()
	return req, nil
}

// Release implements engineapi.Handler. It frees a reservation or an export. A run
// that uses the reservation fails.
func (e *Engine) Release(_ context.Context, req *engineapi.ReleaseRequest) (engineapi.ReleaseRes, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r, ok := e.reservations[req.ID]; ok {
		if r.user != nil {
			e.failRun(r.user, "reservation released")
		}
		delete(e.reservations, req.ID)
		e.deallocate(r.Tokens)
		e.recordLoad()
		return &engineapi.CancelResult{Known: true}, nil
	}
	if x, ok := e.exports[req.ID]; ok {
		delete(e.exports, req.ID)
		e.deallocate(x.Tokens.Or(0))
		e.recordLoad()
		return &engineapi.CancelResult{Known: true}, nil
	}
	return &engineapi.CancelResult{Known: false}, nil
}
