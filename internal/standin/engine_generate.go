package standin

import (
	"context"
	"fmt"
	"net/http"

	"github.com/buckthorndock/buckthorndock/internal/api/engineapi"
)

const (
	numPriorities  = 3
	failCancelled  = "cancelled"
	ndjson         = "application/x-ndjson"
	foreignRequest = "foreign-"
)

// Generate implements engineapi.RawHandler.
func (e *Engine) Generate(ctx context.Context, req *engineapi.GenerateRequest, w http.ResponseWriter) error {
	if refusal := e.checkRequest(req); refusal != nil {
		writeRefusal(w, refusal)
		return nil
	}
	fresh := newRun(req)
	if refusal := e.checkGang(ctx, fresh); refusal != nil {
		writeRefusal(w, refusal)
		return nil
	}
	r, s, refusal := e.submit(fresh)
	if refusal != nil {
		writeRefusal(w, refusal)
		return nil
	}
	if r == fresh && len(req.Gang) > 1 {
		go e.watchGang(r)
	}
	out := &chunkWriter{run: r, next: req.ResumeFrom, w: w, flush: http.NewResponseController(w).Flush}
	e.applyStreamFaults(out)
	e.serveStream(ctx, r, s, out)
	return nil
}

func (e *Engine) checkRequest(req *engineapi.GenerateRequest) *engineapi.RefusalStatusCode {
	badRequest := func(format string, args ...any) *engineapi.RefusalStatusCode {
		return newRefusal(engineapi.RefusalCodeBadRequest, fmt.Sprintf(format, args...))
	}
	switch {
	case req.RequestID == "":
		return badRequest("request_id is empty")
	case req.Attempt < 1:
		return badRequest("attempt %d is below 1", req.Attempt)
	case req.Prompt == "":
		return badRequest("prompt is empty")
	case req.MaxTokens < 1:
		return badRequest("max_tokens %d is below 1", req.MaxTokens)
	case req.Priority < 0 || req.Priority >= numPriorities:
		return badRequest("priority %d is unknown", req.Priority)
	case req.ResumeFrom < 0 || req.ResumeFrom > req.MaxTokens:
		return badRequest("resume_from %d is outside the answer", req.ResumeFrom)
	case e.refusesNewRuns():
		return newRefusal(engineapi.RefusalCodeLeaving, "the engine is leaving")
	}
	return nil
}

// progress is the state of a run, as seen by one of its connections.
type progress struct {
	phase    runPhase
	produced int // index of the next token to produce
	cached   int // prompt tokens found in the prefix cache
	failure  string
	replaced bool // another connection serves the run, or none does
}

func (e *Engine) progress(r *run, s *stream) progress {
	e.mu.Lock()
	defer e.mu.Unlock()
	return progress{phase: r.phase, produced: r.produced, cached: r.cached, failure: r.failure, replaced: r.stream != s}
}

// serveStream sends a run's tokens until the run ends, or until the connection is
// lost or replaced by another.
func (e *Engine) serveStream(ctx context.Context, r *run, s *stream, out *chunkWriter) {
	out.begin()
	for {
		p := e.progress(r, s)
		if p.replaced {
			panic(http.ErrAbortHandler)
		}
		ended, err := out.send(p)
		if err != nil {
			e.markOrphaned(r, s)
			panic(http.ErrAbortHandler)
		}
		if out.truncated {
			e.markOrphaned(r, s)
			return
		}
		if ended {
			e.removeDelivered(r, s)
			return
		}
		select {
		case <-s.wake:
		case <-ctx.Done():
			e.markOrphaned(r, s)
			return
		case <-e.closed:
			panic(http.ErrAbortHandler)
		}
	}
}

// removeDelivered removes a run whose last chunk was sent, unless another connection
// has replaced this one.
func (e *Engine) removeDelivered(r *run, s *stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r.stream == s {
		e.removeRun(r)
	}
}

// Cancel implements engineapi.Handler. Attempt 0 cancels all attempts.
func (e *Engine) Cancel(_ context.Context, req *engineapi.CancelRequest) (engineapi.CancelRes, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	known := false
	for key, r := range e.runs {
		if key.id != req.RequestID || (req.Attempt != 0 && key.attempt != req.Attempt) {
			continue
		}
		known = true
		r.failure = failCancelled
		e.witness.set(r.witness, RunCancelled)
		e.removeRun(r)
	}
	return &engineapi.CancelResult{Known: known}, nil
}
