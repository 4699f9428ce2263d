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
	if no := e.checkRequest(req); no != nil {
		writeRefusal(w, no)
		return nil
	}
	fresh := newRun(req)
	if no := e.gather(ctx, fresh); no != nil {
		writeRefusal(w, no)
		return nil
	}
	r, s, no := e.submit(fresh)
	if no != nil {
		writeRefusal(w, no)
		return nil
	}
	if r == fresh && len(req.Gang) > 1 {
		go e.watchGang(r)
	}
	out := &chunkWriter{run: r, next: req.ResumeFrom, w: w, flush: http.NewResponseController(w).Flush}
	e.faultStream(out)
	e.serveStream(ctx, r, s, out)
	return nil
}

func (e *Engine) checkRequest(req *engineapi.GenerateRequest) *engineapi.RefusalStatusCode {
	bad := func(format string, args ...any) *engineapi.RefusalStatusCode {
		return refusal(engineapi.RefusalCodeBadRequest, fmt.Sprintf(format, args...))
	}
	switch {
	case req.RequestID == "":
		return bad("request_id is empty")
	case req.Attempt < 1:
		return bad("attempt %d is below 1", req.Attempt)
	case req.Prompt == "":
		return bad("prompt is empty")
	case req.MaxTokens < 1:
		return bad("max_tokens %d is below 1", req.MaxTokens)
	case req.Priority < 0 || req.Priority >= numPriorities:
		return bad("priority %d is unknown", req.Priority)
	case req.ResumeFrom < 0 || req.ResumeFrom > req.MaxTokens:
		return bad("resume_from %d is outside the answer", req.ResumeFrom)
	case e.refusesAsLeaving():
		return refusal(engineapi.RefusalCodeLeaving, "the engine is leaving")
	}
	return nil
}

// progress is what a connection sees of its run.
type progress struct {
	phase    runPhase
	produced int
	cached   int
	failure  string
	replaced bool
}

func (e *Engine) progress(r *run, s *stream) progress {
	e.mu.Lock()
	defer e.mu.Unlock()
	return progress{phase: r.phase, produced: r.produced, cached: r.cached, failure: r.failure, replaced: r.stream != s}
}

// serveStream sends a run's tokens until its end, or until the connection is
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
			e.orphan(r, s)
			panic(http.ErrAbortHandler)
		}
		if out.cut {
			e.orphan(r, s)
			return
		}
		if ended {
			e.delivered(r, s)
			return
		}
		select {
		case <-s.wake:
		case <-ctx.Done():
			e.orphan(r, s)
			return
		case <-e.closed:
			panic(http.ErrAbortHandler)
		}
	}
}

// delivered forgets a run whose end was sent.
func (e *Engine) delivered(r *run, s *stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r.stream == s {
		e.forget(r)
	}
}

// Cancel implements engineapi.Handler.
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
		e.forget(r)
	}
	return &engineapi.CancelResult{Known: known}, nil
}
