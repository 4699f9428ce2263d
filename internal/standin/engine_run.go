package standin

import (
	"fmt"
	"slices"

	"github.com/buckthorndock/buckthorndock/internal/api/engineapi"
	"github.com/buckthorndock/buckthorndock/internal/standin/answer"
)

type runKey struct {
	id      string
	attempt int
}

type runPhase int

const (
	phaseQueued runPhase = iota
	phasePrefill
	phaseDecode
	phaseFinished // all tokens made; kept until the answer is out
	phaseFailed   // kept until the failure is told
	phaseGone     // no longer in the books
)

// run is one attempt of a request on the engine.
type run struct {
	key          runKey
	req          *engineapi.GenerateRequest // without the prompt
	seed         answer.Seed
	hash         string // of the prompt
	promptTokens int
	crashes      bool
	speed        float64 // prefill speed as a multiple of this engine's own

	arrival     int64
	phase       runPhase
	held        int64 // memory of its own
	prefillLeft int   // tokens
	cached      int   // prompt tokens found in the prefix cache
	produced    int   // index of the next token to make
	failure     string
	stream      *stream // nil: orphaned
	witness     int
}

// stream is the one connection that a run's answer goes to.
type stream struct {
	wake chan struct{}
}

func (r *run) need() int64 {
	return int64(r.promptTokens + r.req.MaxTokens)
}

// notify wakes the connection; it never blocks.
func (r *run) notify() {
	if r.stream == nil {
		return
	}
	select {
	case r.stream.wake <- struct{}{}:
	default:
	}
}

func (r *run) open() *stream {
	r.notify() // the connection before, if any, sees that it is replaced
	r.stream = &stream{wake: make(chan struct{}, 1)}
	return r.stream
}

func byUrgency(a, b *run) int {
	if d := a.req.Priority - b.req.Priority; d != 0 {
		return d
	}
	return int(a.arrival - b.arrival)
}

func newRun(req *engineapi.GenerateRequest) *run {
	r := &run{
		key:          runKey{id: req.RequestID, attempt: req.Attempt},
		seed:         answer.NewSeed(req.Prompt),
		hash:         hexSHA256(req.Prompt),
		promptTokens: answer.PromptTokens(req.Prompt),
		crashes:      containsMarker(req.Prompt),
		speed:        1,
		produced:     req.ResumeFrom,
	}
	kept := *req
	kept.Prompt = ""
	r.req = &kept
	return r
}

// submit takes a new run into the queue, or resumes one that is known.
func (e *Engine) submit(r *run) (*run, *stream, *engineapi.RefusalStatusCode) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if old, ok := e.runs[r.key]; ok {
		return e.resume(old, r)
	}
	if no := e.refuse(r); no != nil {
		return nil, nil, no
	}
	e.arrivals++
	r.arrival = e.arrivals
	r.witness = e.witness.add(Run{
		RequestID:    r.key.id,
		Attempt:      r.key.attempt,
		Target:       r.req.Model,
		PromptSHA256: r.hash,
		PromptTokens: r.promptTokens,
		Priority:     r.req.Priority,
		State:        RunQueued,
	})
	e.runs[r.key] = r
	if id, ok := r.req.ReservationID.Get(); ok {
		e.reservations[id].user = r
	}
	at, _ := slices.BinarySearchFunc(e.queue, r, byUrgency)
	e.queue = slices.Insert(e.queue, at, r)
	s := r.open()
	e.noteLoad()
	e.signal()
	return r, s, nil
}

// resume moves a run's answer to a new connection.
func (e *Engine) resume(old, again *run) (*run, *stream, *engineapi.RefusalStatusCode) {
	if old.hash != again.hash || old.req.MaxTokens != again.req.MaxTokens {
		return nil, nil, refusal(engineapi.RefusalCodeDuplicate, "the attempt runs with another prompt")
	}
	if old.phase != phaseQueued {
		e.witness.set(old.witness, RunStarted)
	}
	return old, old.open(), nil
}

// refuse tells why a run cannot be taken, or nil.
func (e *Engine) refuse(r *run) *engineapi.RefusalStatusCode {
	if !e.orders.serves(r.req.Model, r.req.Adapter) {
		return refusal(engineapi.RefusalCodeNoModel, "not loaded: "+r.req.Model+" "+r.req.Adapter.Or(""))
	}
	id, reserved := r.req.ReservationID.Get()
	if !reserved {
		if r.need() > e.opts.MemoryTokens {
			return refusal(engineapi.RefusalCodeNoMemory, fmt.Sprintf("needs %d of %d tokens", r.need(), e.opts.MemoryTokens))
		}
		return nil
	}
	held, ok := e.reservations[id]
	switch {
	case !ok:
		return refusal(engineapi.RefusalCodeNoReservation, "no reservation "+id)
	case held.user != nil:
		return refusal(engineapi.RefusalCodeNoReservation, "in use by "+held.user.key.id)
	case len(r.req.Gang) < 2 && r.need() > held.Tokens:
		return refusal(engineapi.RefusalCodeNoMemory, fmt.Sprintf("needs %d, reserved %d tokens", r.need(), held.Tokens))
	}
	return nil
}

// fail ends a run whose connection, if any, still has to be told.
func (e *Engine) fail(r *run, why string) {
	if r.phase >= phaseFinished {
		return
	}
	e.leave(r)
	r.phase = phaseFailed
	r.failure = why
	e.witness.set(r.witness, RunCrashed)
	r.notify()
}

// leave takes a run out of the queue or the batch and gives its memory back.
func (e *Engine) leave(r *run) {
	is := func(x *run) bool { return x == r }
	e.queue = slices.DeleteFunc(e.queue, is)
	e.active = slices.DeleteFunc(e.active, is)
	e.drop(r.held)
	r.held = 0
	if id, ok := r.req.ReservationID.Get(); ok {
		if held, ok := e.reservations[id]; ok && held.user == r {
			held.user = nil
		}
	}
}

// forget takes a run out of the books.
func (e *Engine) forget(r *run) {
	if r.phase == phaseGone {
		return
	}
	prefilled := r.phase == phaseDecode || r.phase == phaseFinished
	e.leave(r)
	delete(e.runs, r.key)
	if prefilled {
		e.cacheBlocks(r)
	}
	r.phase = phaseGone
	r.notify()
	e.noteLoad()
}

// orphan notes that a connection is lost. The run goes on and keeps its memory.
func (e *Engine) orphan(r *run, s *stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r.stream != s || r.phase == phaseGone {
		return
	}
	r.stream = nil
	e.witness.set(r.witness, RunOrphaned)
}
