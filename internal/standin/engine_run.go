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
	phaseFinished // all tokens produced; kept until the answer is sent
	phaseFailed   // kept until the failure is sent
	phaseRemoved  // no longer in the books
)

// run is the execution of one attempt of a request on the engine.
type run struct {
	key          runKey
	req          *engineapi.GenerateRequest // without the prompt
	seed         answer.Seed
	hash         string // SHA-256 of the prompt, in hex
	promptTokens int
	crashes      bool    // the prompt contains CrashMarker
	speed        float64 // prefill speed as a multiple of this engine's own

	arrival     int64 // sequence number
	phase       runPhase
	held        int64 // tokens, not counting those of a reservation
	prefillLeft int   // tokens
	cached      int   // prompt tokens found in the prefix cache
	produced    int   // index of the next token to produce
	failure     string
	stream      *stream // nil: orphaned
	witness     int     // index in the witness
}

// stream is the connection that receives a run's answer. A run has at most one.
type stream struct {
	wake chan struct{}
}

// neededTokens returns the memory that the prompt and the whole answer need.
func (r *run) neededTokens() int64 {
	return int64(r.promptTokens + r.req.MaxTokens)
}

// wakeStream wakes the connection, if any, without blocking.
func (r *run) wakeStream() {
	if r.stream == nil {
		return
	}
	select {
	case r.stream.wake <- struct{}{}:
	default:
	}
}

// openStream gives the run a new connection, which replaces the previous one.
func (r *run) openStream() *stream {
	r.wakeStream() // the previous connection, if any, sees that it is replaced
	r.stream = &stream{wake: make(chan struct{}, 1)}
	return r.stream
}

// comparePriority orders runs by priority, 0 first, then by arrival.
func comparePriority(a, b *run) int {
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

// submit queues a new run, or resumes the run that has the same key.
func (e *Engine) submit(r *run) (*run, *stream, *engineapi.RefusalStatusCode) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if old, ok := e.runs[r.key]; ok {
		return e.resume(old, r)
	}
	if refusal := e.checkRun(r); refusal != nil {
		return nil, nil, refusal
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
	at, _ := slices.BinarySearchFunc(e.queue, r, comparePriority)
	e.queue = slices.Insert(e.queue, at, r)
	s := r.openStream()
	e.recordLoad()
	e.wakeLoop()
	return r, s, nil
}

// resume moves the answer of old to a new connection. It refuses a call whose prompt
// or max_tokens differ.
func (e *Engine) resume(old, again *run) (*run, *stream, *engineapi.RefusalStatusCode) {
	if old.hash != again.hash || old.req.MaxTokens != again.req.MaxTokens {
		return nil, nil, newRefusal(engineapi.RefusalCodeDuplicate, "the attempt runs with another prompt or max_tokens")
	}
	if old.phase != phaseQueued {
		e.witness.set(old.witness, RunStarted)
	}
	return old, old.openStream(), nil
}

// checkRun returns the refusal of a run that cannot be accepted, or nil.
func (e *Engine) checkRun(r *run) *engineapi.RefusalStatusCode {
	if !e.orders.serves(r.req.Model, r.req.Adapter) {
		return newRefusal(engineapi.RefusalCodeNoModel, "not loaded: "+r.req.Model+" "+r.req.Adapter.Or(""))
	}
	id, reserved := r.req.ReservationID.Get()
	if !reserved {
		if r.neededTokens() > e.opts.MemoryTokens {
			return newRefusal(engineapi.RefusalCodeNoMemory, fmt.Sprintf("needs %d tokens, the engine has %d", r.neededTokens(), e.opts.MemoryTokens))
		}
		return nil
	}
	held, ok := e.reservations[id]
	switch {
	case !ok:
		return newRefusal(engineapi.RefusalCodeNoReservation, "no reservation "+id)
	case held.user != nil:
		return newRefusal(engineapi.RefusalCodeNoReservation, "reservation in use by request "+held.user.key.id)
	case len(r.req.Gang) < 2 && r.neededTokens() > held.Tokens:
		return newRefusal(engineapi.RefusalCodeNoMemory, fmt.Sprintf("needs %d tokens, reserved %d", r.neededTokens(), held.Tokens))
	}
	return nil
}

// failRun ends a run with a failure, which its connection sends if there is one.
func (e *Engine) failRun(r *run, why string) {
	if r.phase >= phaseFinished {
		return
	}
	e.unschedule(r)
	r.phase = phaseFailed
	r.failure = why
	e.witness.set(r.witness, RunCrashed)
	r.wakeStream()
}

// unschedule removes a run from the queue or the batch and frees its memory.
func (e *Engine) unschedule(r *run) {
	is := func(x *run) bool { return x == r }
	e.queue = slices.DeleteFunc(e.queue, is)
	e.active = slices.DeleteFunc(e.active, is)
	e.deallocate(r.held)
	r.held = 0
	if id, ok := r.req.ReservationID.Get(); ok {
		if held, ok := e.reservations[id]; ok && held.user == r {
			held.user = nil
		}
	}
}

// removeRun removes a run from the books. The prefix blocks of a prefilled run stay
// in the cache.
func (e *Engine) removeRun(r *run) {
	if r.phase == phaseRemoved {
		return
	}
	prefilled := r.phase == phaseDecode || r.phase == phaseFinished
	e.unschedule(r)
	delete(e.runs, r.key)
	if prefilled {
		e.cacheBlocks(r)
	}
	r.phase = phaseRemoved
	r.wakeStream()
	e.recordLoad()
}

// markOrphaned records that a run has lost its connection, unless another has
// replaced it. The run goes on and keeps its memory.
func (e *Engine) markOrphaned(r *run, s *stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r.stream != s || r.phase == phaseRemoved {
		return
	}
	r.stream = nil
	e.witness.set(r.witness, RunOrphaned)
}
