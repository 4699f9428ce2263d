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
	"github.com/buckthorndock/buckthorndock/internal/upstream"
)

// streamEnd is how one stream of an attempt ended.
type streamEnd struct {
	complete   bool
	callerGone bool
	end        retry.End // unless complete or callerGone
	reachable  bool      // the engine still knows the attempt
	late       bool      // the request's time was over: no fault of the engine's
	err        error
}

// arrival is a chunk or the end of a stream.
type arrival struct {
	chunk upstream.Chunk
	err   error // io.EOF at the end
}

// errEngine wraps the error that an engine reports in a chunk.
var errEngine = merry.Sentinel("the engine reports an error")

// stream opens a stream of the running attempt, the first or a resumed one, and
// hands its tokens to the caller until it ends.
func (g *generation) stream(ctx context.Context, t *target) streamEnd {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	// The permit is for the dispatch alone: a look at a silent attempt needs none.
	dispatch := upstream.WithPermit(ctx, g.s.permit(g.job))
	g.asm.StartAttempt(g.attempt)
	arrivals := make(chan arrival)
	go pump(dispatch, g.s.opts.Client, t.address(), g.engineRequest(t), arrivals)

	idle := time.NewTimer(g.job.routing.IdleTimeout())
	defer idle.Stop()
	doubt := time.NewTicker(doubtEvery)
	defer doubt.Stop()
	for {
		select {
		case a := <-arrivals:
			idle.Reset(g.job.routing.IdleTimeout())
			doubt.Reset(doubtEvery)
			if res, ended := g.arrived(ctx, t, a); ended {
				return res
			}
		case <-idle.C:
			if res, ended := g.silent(ctx, t); ended {
				return res
			}
			idle.Reset(g.job.routing.IdleTimeout())
		case <-doubt.C:
			if res, ended := g.doubtful(ctx, t); ended {
				return res
			}
		case <-ctx.Done():
			return g.interrupted(ctx)
		}
	}
}

// pump opens the stream and sends what arrives, its end last. It never blocks
// after the context has ended.
func pump(ctx context.Context, client *upstream.Client, address string, req *upstream.GenerateRequest, out chan<- arrival) {
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

// arrived takes one arrival; ended is true when the stream is over.
func (g *generation) arrived(ctx context.Context, t *target, a arrival) (res streamEnd, ended bool) {
	if a.err != nil {
		return g.broken(ctx, t, a.err), true
	}
	if a.chunk.Error != "" {
		return streamEnd{end: retry.InvalidAnswer, err: merry.Wrap(errEngine, merry.AppendMessage(a.chunk.Error))}, true
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

var errGap = merry.Sentinel("tokens are missing from the stream")

// deliver hands text to the caller and notes the first token.
func (g *generation) deliver(t *target, step stream.Output, cached int) error {
	g.resumes = 0
	if g.first.IsZero() {
		g.first = time.Now()
		g.s.noteFirstToken(g.job, t, cached, g.first)
	}
	g.job.answered = g.asm.NextIndex()
	g.text.WriteString(step.Text)
	g.job.recordTokens(step.Text, step.Tokens)
	err := g.job.sink.token(step.Text)
	if g.job.record != nil && g.job.needed() {
		return nil // the answer is wanted also when its caller has gone
	}
	return err
}

// broken tells why a stream ended with an error or too early.
func (g *generation) broken(ctx context.Context, t *target, err error) streamEnd {
	if ctx.Err() != nil {
		return g.interrupted(ctx)
	}
	if upstream.IsNotStarted(err) {
		return streamEnd{end: retry.NotWritten, err: err}
	}
	if _, ok := upstream.RefusalCode(err); ok {
		return streamEnd{end: retry.Refused, err: err}
	}
	var syntax interface{ Timeout() bool }
	if !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) && !errors.As(err, &syntax) {
		return streamEnd{end: retry.InvalidAnswer, err: err}
	}
	standing, probeErr := g.s.opts.Client.Probe(ctx, t.address(), g.job.req.ID, g.attempt)
	if probeErr != nil || t.restarted(standing) {
		return streamEnd{end: retry.Died, err: err}
	}
	return streamEnd{end: retry.Broken, reachable: standing.Phase != upstream.PhaseUnknown, err: err}
}

// silent looks, on a new connection, what has become of an attempt whose stream
// is silent. A request that has not come to its first token yet is left alone.
func (g *generation) silent(ctx context.Context, t *target) (res streamEnd, ended bool) {
	standing, err := g.s.opts.Client.Probe(ctx, t.address(), g.job.req.ID, g.attempt)
	switch {
	case ctx.Err() != nil:
		return g.interrupted(ctx), true
	case upstream.IsNotStarted(err):
		return streamEnd{end: retry.Died, err: err}, true
	case err != nil:
		return streamEnd{end: retry.Silent, err: err}, true
	case t.restarted(standing):
		return streamEnd{end: retry.Died}, true
	case standing.Phase == upstream.PhaseQueued, standing.Phase == upstream.PhasePrefill:
		return streamEnd{}, false
	case standing.Phase == upstream.PhaseUnknown:
		return streamEnd{end: retry.Silent}, true
	}
	return streamEnd{end: retry.Silent, reachable: true}, true
}

// Times of the look at an engine that others have found silent.
const (
	doubtEvery = 250 * time.Millisecond // of silence on this stream before a look
	doubtProbe = 300 * time.Millisecond // in which the engine has to answer
)

// doubtful ends a stream without waiting for the idle limit when its engine is
// suspect or dead by now and does not answer this attempt's own question either.
func (g *generation) doubtful(ctx context.Context, t *target) (res streamEnd, ended bool) {
	state, ok := g.s.opts.Router.State(t.name())
	if !ok || state != placement.Suspect && state != placement.Dead {
		return streamEnd{}, false
	}
	probe, cancel := context.WithTimeout(ctx, doubtProbe)
	defer cancel()
	_, err := g.s.opts.Client.Probe(probe, t.address(), g.job.req.ID, g.attempt)
	switch {
	case ctx.Err() != nil:
		return g.interrupted(ctx), true
	case err == nil:
		return streamEnd{}, false
	case upstream.IsNotStarted(err):
		return streamEnd{end: retry.Died, err: err}, true
	}
	return streamEnd{end: retry.Silent, err: err}, true
}

// interrupted tells a passed deadline from a caller that has gone.
func (g *generation) interrupted(ctx context.Context) streamEnd {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) || !time.Now().Before(g.job.req.Deadline) {
		return streamEnd{end: retry.Silent, late: true, err: context.DeadlineExceeded}
	}
	return streamEnd{callerGone: true, err: ctx.Err()}
}
