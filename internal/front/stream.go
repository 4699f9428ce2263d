package front

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/buckthorndock/buckthorndock/internal/core/placement"
	"github.com/buckthorndock/buckthorndock/internal/core/retry"
	"github.com/buckthorndock/buckthorndock/internal/core/stream"
	"github.com/buckthorndock/buckthorndock/internal/inbound"
	"github.com/buckthorndock/buckthorndock/internal/upstream"
)

// streamEnd is how one stream of an attempt ended.
type streamEnd struct {
	complete       bool
	callerGone     bool
	end            retry.End // set unless complete or callerGone
	reachable      bool      // the engine still knows the attempt
	unanswered     bool      // the engine did not answer a probe either
	deadlinePassed bool      // the request's deadline passed: no fault of the engine
	err            error
}

// arrival is a chunk or the end of a stream.
type arrival struct {
	chunk upstream.Chunk
	err   error // io.EOF at the end
}

// errEngine wraps the error that an engine reports in a chunk.
var errEngine = merry.Sentinel("the engine reports an error")

// stream opens a stream of the current attempt, the first or a resumed one, and
// delivers its tokens to the caller until it ends.
func (g *generation) stream(ctx context.Context, t *target) streamEnd {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	// Only the dispatch needs the permit, not the probes of a silent attempt.
	dispatch := upstream.WithPermit(ctx, g.s.dispatchPermit(g.job))
	g.asm.StartAttempt(g.attempt)
	arrivals := make(chan arrival)
	go readStream(dispatch, g.s.opts.Client, t.address(), g.engineRequest(t), arrivals)

	idle := time.NewTimer(g.job.routing.IdleTimeout())
	defer idle.Stop()
	suspectCheck := time.NewTicker(suspectCheckInterval)
	defer suspectCheck.Stop()
	for {
		select {
		case a := <-arrivals:
			idle.Reset(g.job.routing.IdleTimeout())
			suspectCheck.Reset(suspectCheckInterval)
			if res, ended := g.handleArrival(ctx, t, a); ended {
				return res
			}
		case <-idle.C:
			if res, ended := g.checkSilent(ctx, t); ended {
				return res
			}
			idle.Reset(g.job.routing.IdleTimeout())
		case <-suspectCheck.C:
			if res, ended := g.checkSuspect(ctx, t); ended {
				return res
			}
		case <-ctx.Done():
			return g.classifyInterruption(ctx)
		}
	}
}

// readStream opens a stream and sends its chunks to out, and its end last. It never
// blocks after the context has ended.
func readStream(ctx context.Context, client *upstream.Client, address string, req *upstream.GenerateRequest, out chan<- arrival) {
	send := func(a arrival) bool {
		select {
		case out <- a:
			return true
		case <-ctx.Done():
			return false
		}
	}
	s, err := client.Generate(ctx, address, req)
	if err != nil {
		send(arrival{err: err})
		return
	}
	defer s.Close()
	for {
		chunk, err := s.Next()
		if !send(arrival{chunk: chunk, err: err}) || err != nil {
			return
		}
	}
}

// handleArrival handles one arrival; ended is true when the stream has ended.
func (g *generation) handleArrival(ctx context.Context, t *target, a arrival) (res streamEnd, ended bool) {
	if a.err != nil {
		return g.classifyStreamError(ctx, t, a.err), true
	}
	if a.chunk.Error != "" {
		return streamEnd{end: retry.InvalidAnswer, err: merry.Wrap(errEngine, merry.AppendMessage(a.chunk.Error))}, true
	}
	if err := g.job.answer.add(len(a.chunk.Text)); err != nil {
		return unheldEnd(err), true
	}
	step := g.asm.Accept(stream.Chunk{
		RequestID: a.chunk.RequestID,
		Attempt:   a.chunk.Attempt,
		Index:     a.chunk.Index,
		Text:      a.chunk.Text,
		Done:      a.chunk.Done,
		Total:     a.chunk.TotalTokens,
	})
	if step.Tokens > 0 {
		if err := g.deliver(t, step, a.chunk.CachedTokens); err != nil {
			return streamEnd{callerGone: true, err: err}, true
		}
	}
	switch step.State {
	case stream.Complete:
		return streamEnd{complete: true}, true
	case stream.Faulty:
		return streamEnd{end: retry.InvalidAnswer, err: g.asm.Err()}, true
	case stream.Gap:
		return streamEnd{end: retry.Broken, reachable: true, err: errGap}, true
	}
	return streamEnd{}, false
}

// unheldEnd is the end of a stream of which no more can be held: it is too long, or there is no memory,
// for which its engine is not to blame.
func unheldEnd(err error) streamEnd {
	if errors.Is(err, inbound.ErrNoMemory) {
		return streamEnd{end: retry.Broken, reachable: true, err: err}
	}
	return streamEnd{end: retry.InvalidAnswer, err: err}
}

var errGap = merry.Sentinel("tokens are missing from the stream")

// noteAnswering records that the target is sending its answer.
func (g *generation) noteAnswering(t *target) {
	if t.begun = g.s.opts.Suspects.Answering(t.run, time.Now()); t.begun {
		g.trial.Began()
	}
}

// deliver sends text to the caller, records it and reports the first token. An error
// means that the caller has disconnected and the answer is not needed without it.
func (g *generation) deliver(t *target, step stream.Output, cached int) error {
	g.resumes = 0
	if !t.begun {
		g.noteAnswering(t)
	}
	if g.firstTokenAt.IsZero() {
		g.firstTokenAt = time.Now()
		g.s.recordFirstToken(g.job, t, cached, g.firstTokenAt)
	}
	g.job.deliveredTokens = g.asm.NextIndex()
	g.text.WriteString(step.Text)
	g.job.recordTokens(step.Text, step.Tokens)
	err := g.job.sink.token(step.Text)
	if g.job.recording != nil && g.job.neededWithoutCaller() {
		return nil
	}
	return err
}

// classifyStreamError returns why a stream ended with an error or too early. It probes
// the engine when the connection broke.
func (g *generation) classifyStreamError(ctx context.Context, t *target, err error) streamEnd {
	if ctx.Err() != nil {
		return g.classifyInterruption(ctx)
	}
	if upstream.IsNotStarted(err) {
		return streamEnd{end: retry.NotWritten, err: err}
	}
	if _, ok := upstream.RefusalCode(err); ok {
		return streamEnd{end: retry.Refused, err: err}
	}
	if errors.Is(err, inbound.ErrNoMemory) {
		return unheldEnd(err)
	}
	var syntax interface{ Timeout() bool }
	if !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) && !errors.As(err, &syntax) {
		return streamEnd{end: retry.InvalidAnswer, err: err}
	}
	standing, probeErr := g.s.opts.Client.Probe(ctx, t.address(), g.job.req.ID, g.attempt)
	switch {
	case probeErr != nil:
		return g.classifyUnanswered(ctx, t, retry.Broken, err)
	case t.restarted(standing):
		return streamEnd{end: retry.Died, err: err}
	}
	return streamEnd{end: retry.Broken, reachable: standing.Phase != upstream.PhaseUnknown, err: err}
}

// checkSilent probes, on a new connection, an attempt whose stream has been silent for
// the idle limit. ended is false while the request is still queued or in prefill.
func (g *generation) checkSilent(ctx context.Context, t *target) (res streamEnd, ended bool) {
	standing, err := g.s.opts.Client.Probe(ctx, t.address(), g.job.req.ID, g.attempt)
	switch {
	case ctx.Err() != nil:
		return g.classifyInterruption(ctx), true
	case err != nil:
		return g.classifyUnanswered(ctx, t, retry.Silent, err), true
	case t.restarted(standing):
		return streamEnd{end: retry.Died}, true
	case standing.Phase == upstream.PhaseQueued, standing.Phase == upstream.PhasePrefill:
		return streamEnd{}, false
	case standing.Phase == upstream.PhaseUnknown:
		return streamEnd{end: retry.Silent}, true
	}
	return streamEnd{end: retry.Silent, reachable: true}, true
}

// Times of the check of an engine that the router reports as suspect or dead.
const (
	suspectCheckInterval = 250 * time.Millisecond // of silence on this stream before a check
	suspectProbeTimeout  = 300 * time.Millisecond // for the engine to answer the probe
)

// checkSuspect ends a stream, without waiting for the idle limit, when the router reports
// its engine as suspect or dead and the engine does not answer a probe either.
func (g *generation) checkSuspect(ctx context.Context, t *target) (res streamEnd, ended bool) {
	state, ok := g.s.opts.Router.State(t.name())
	if !ok || state != placement.Suspect && state != placement.Dead {
		return streamEnd{}, false
	}
	probe, cancel := context.WithTimeout(ctx, suspectProbeTimeout)
	defer cancel()
	_, err := g.s.opts.Client.Probe(probe, t.address(), g.job.req.ID, g.attempt)
	switch {
	case ctx.Err() != nil:
		return g.classifyInterruption(ctx), true
	case err == nil:
		return streamEnd{}, false
	}
	return g.classifyUnanswered(ctx, t, retry.Silent, err), true
}

// classifyUnanswered returns why a stream ended whose engine did not answer a probe: the engine has
// died or, if that is not known, as otherwise says.
func (g *generation) classifyUnanswered(ctx context.Context, t *target, otherwise retry.End, err error) streamEnd {
	if g.s.opts.Deaths.IsDead(ctx, t.toCheck()) {
		return streamEnd{end: retry.Died, err: err}
	}
	return streamEnd{end: otherwise, unanswered: true, err: err}
}

// classifyInterruption returns whether this daemon shuts down, the deadline has passed or the caller
// has disconnected.
func (g *generation) classifyInterruption(ctx context.Context) streamEnd {
	if endedByShutdown(ctx) {
		return streamEnd{end: retry.Broken, err: context.Cause(ctx)}
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) || !time.Now().Before(g.job.req.Deadline) {
		return streamEnd{end: retry.Silent, deadlinePassed: true, err: context.DeadlineExceeded}
	}
	return streamEnd{callerGone: true, err: ctx.Err()}
}
