package front

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"io"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/buckthorndock/buckthorndock/internal/claims"
	"github.com/buckthorndock/buckthorndock/internal/core/claim"
	"github.com/buckthorndock/buckthorndock/internal/core/request"
	"github.com/buckthorndock/buckthorndock/internal/gate"
	"github.com/buckthorndock/buckthorndock/internal/shutdown"
)

// After its holder has released a key, the key is acquired again with a delay, because
// the release may not be in the log yet.
const (
	maxSupersedes = 8                     // tries per request
	supersedeWait = 20 * time.Millisecond // before the first retry, doubled each time
)

// runFunc runs an admitted job. It returns nil when the job completed.
type runFunc func(ctx context.Context) *request.Refusal

// readAnswerFunc reads a recorded answer and delivers it to the caller.
type readAnswerFunc func(io.Reader) error

// serve runs a job from admission to its end and returns nil when it completed. A job
// that is not repeatable and has a key runs only on the host that holds the key; other
// hosts relay the holder's answer.
func (s *Server) serve(ctx context.Context, j *job, run runFunc, readAnswer readAnswerFunc) *request.Refusal {
	switch {
	case j.req.Repeatable && j.req.Key == "":
		return s.runAdmitted(ctx, j, run)
	case j.req.Repeatable:
		return s.runOrJoin(ctx, j, run, readAnswer)
	case j.req.Key == "":
		return s.runWithoutKey(ctx, j, run)
	}
	unsent, stop := s.opts.Shutdown.WhileSending(ctx)
	defer stop()
	for attempt := range maxSupersedes {
		res, err := s.opts.Claims.Acquire(unsent, claims.AcquireRequest{
			Customer:    j.req.Customer,
			Key:         j.req.Key,
			Fingerprint: j.req.Fingerprint,
			NotAfter:    j.req.Deadline,
		})
		if err != nil && endedByShutdown(unsent) {
			return leavingRefusal()
		}
		if err != nil {
			return asRefusal(err)
		}
		if res.HoldsKey() {
			return s.runAsKeyHolder(ctx, j, res, run)
		}
		end, err := s.relayAnswer(ctx, j, readAnswer, func(ctx context.Context, w io.Writer) (claims.Ending, error) {
			return s.opts.Claims.Await(ctx, res, w)
		})
		if err != nil {
			return awaitRefusal(ctx)
		}
		if end.State != claims.AnswerReleased {
			return end.Refusal()
		}
		if !s.pause(unsent, supersedeWait<<attempt, j.req.Deadline) {
			break
		}
	}
	if endedByShutdown(unsent) {
		return leavingRefusal()
	}
	return request.Refuse(request.CodeKeyUnavailable, retryElsewhere, "the idempotency key was released and taken again too often")
}

// pause waits for d. It returns false when the context ends first, and at once when the
// deadline is nearer than d.
func (s *Server) pause(ctx context.Context, d time.Duration, deadline time.Time) bool {
	if time.Until(deadline) < d {
		return false
	}
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// runAdmitted has the gate admit a job, runs it and ends its ticket.
func (s *Server) runAdmitted(ctx context.Context, j *job, run runFunc) *request.Refusal {
	ctx, cancel := context.WithDeadline(ctx, j.req.Deadline)
	defer cancel()
	ctx, stop := s.opts.Shutdown.WhileServing(ctx)
	defer stop()
	ticket, refusal := s.admitWhileServable(ctx, j)
	if refusal != nil {
		return refusal
	}
	refusal = run(ctx)
	outcome, tokens := request.Complete, j.req.PromptTokens+j.deliveredTokens
	if refusal != nil {
		outcome = refusal.Outcome
	}
	ticket.Done(outcome, tokens)
	return refusal
}

// admitWhileServable is admit for a job that the daemon, if it shuts down, can still run to its end.
func (s *Server) admitWhileServable(ctx context.Context, j *job) (*gate.Ticket, *request.Refusal) {
	unsent, stop := s.opts.Shutdown.WhileServable(ctx, s.serviceTime(j))
	defer stop()
	return s.admit(unsent, j)
}

// endedByShutdown reports whether a context has ended because this daemon shuts down.
func endedByShutdown(ctx context.Context) bool {
	return errors.Is(context.Cause(ctx), shutdown.ErrLeaving)
}

// runWithoutKey runs a job that may be dispatched at most once and has no key.
func (s *Server) runWithoutKey(ctx context.Context, j *job, run runFunc) *request.Refusal {
	j.permit = claim.NewPermit(j.req.Deadline)
	j.permit.Grant(0)
	refusal := s.runAdmitted(ctx, j, run)
	if refusal != nil && j.permit.Release() {
		return markNotSent(refusal)
	}
	return markMaybeSent(refusal)
}

// markMaybeSent changes a refusal's outcome from not run to unknown, for a job whose
// permit was used.
func markMaybeSent(r *request.Refusal) *request.Refusal {
	if r == nil || r.Outcome != request.NotRun {
		return r
	}
	changed := *r
	changed.Outcome = request.Unknown
	return &changed
}

// markNotSent changes a refusal's outcome to not run, for a job whose permit was
// released unused: nothing was sent, and nothing will be.
func markNotSent(r *request.Refusal) *request.Refusal {
	if r.Outcome == request.NotRun {
		return r
	}
	code := r.Code
	if code == request.CodeOutcomeLost {
		code = request.CodeDeadline
	}
	return request.Refuse(code, retryElsewhere, "the request ended before it was sent")
}

// runAsKeyHolder runs a job whose key this host holds. The job continues after its
// caller has disconnected, because the caller may request the answer again.
func (s *Server) runAsKeyHolder(ctx context.Context, j *job, res claims.Result, run runFunc) *request.Refusal {
	j.permit = res.Permit
	j.recording = res.Answer
	j.neededWithoutCaller = func() bool { return true }
	refusal := s.runAdmitted(context.WithoutCancel(ctx), j, run)
	switch {
	case refusal == nil:
		res.Answer.Finish(claims.Ending{State: claims.AnswerComplete})
	case s.opts.Claims.Release(res):
		// Nothing was sent, and the key is free again.
		refusal = markNotSent(refusal)
	case refusal.Outcome == request.Failed:
		res.Answer.Finish(claims.Ending{State: claims.AnswerFailed, Code: refusal.Code, Message: refusal.Message})
	default:
		refusal = markMaybeSent(refusal)
		res.Answer.Finish(claims.Ending{State: claims.AnswerUnknown, Code: refusal.Code, Message: refusal.Message})
	}
	return refusal
}

// relayAnswer delivers the answer of another run, written by copyAnswer, to the caller,
// until the job's deadline.
func (s *Server) relayAnswer(ctx context.Context, j *job, readAnswer readAnswerFunc, copyAnswer func(context.Context, io.Writer) (claims.Ending, error)) (claims.Ending, error) {
	ctx, cancel := context.WithDeadline(ctx, j.req.Deadline)
	defer cancel()
	ctx, stop := s.opts.Shutdown.WhileServing(ctx)
	defer stop()
	r, w := io.Pipe()
	readDone := make(chan error, 1)
	go func() {
		err := readAnswer(r)
		r.CloseWithError(err)
		readDone <- err
	}()
	end, err := copyAnswer(ctx, w)
	if err == nil && end.State != claims.AnswerComplete {
		err = errAnswerIncomplete
	}
	w.CloseWithError(err)
	readErr := <-readDone
	if end.State != claims.AnswerComplete && ctx.Err() == nil {
		return end, nil
	}
	if err == nil {
		err = readErr
	}
	return end, err
}

// errAnswerIncomplete ends the relay of an answer that did not become complete.
var errAnswerIncomplete = merry.Sentinel("the relayed answer is incomplete")

// awaitRefusal returns the refusal of a repeat whose wait for the holder's answer ended
// without one.
func awaitRefusal(ctx context.Context) *request.Refusal {
	code := request.CodeDeadline
	if ctx.Err() != nil {
		code = request.CodeCallerGone
	}
	return &request.Refusal{
		Outcome: request.Unknown, Code: code, RetryAfter: retryElsewhere,
		Message: "the request with this key is running or has run; retry with the same key",
	}
}

// recordedTokens is one line of a recorded generation.
type recordedTokens struct {
	Text   string `json:"t"`
	Tokens int    `json:"n"`
}

// recordTokens appends a part of the answer to the recording for repeats of the key.
func (j *job) recordTokens(text string, tokens int) {
	if j.recording == nil {
		return
	}
	line, err := json.Marshal(recordedTokens{Text: text, Tokens: tokens})
	if err != nil {
		return
	}
	_, _ = j.recording.Write(append(line, '\n'))
}

// relayTokens returns a function that delivers a recorded generation to the job's sink.
func relayTokens(j *job) readAnswerFunc {
	return func(r io.Reader) error {
		lines := bufio.NewReader(j.answer.reader(r))
		for {
			line, err := lines.ReadBytes('\n')
			if err == io.EOF {
				return j.sink.finish(j.deliveredTokens)
			}
			if err != nil {
				return err
			}
			var rec recordedTokens
			if err := json.Unmarshal(line, &rec); err != nil {
				return merry.Prepend(err, "recorded answer")
			}
			if err := j.sink.token(rec.Text); err != nil {
				return err
			}
			j.deliveredTokens += rec.Tokens
			j.relayedText.WriteString(rec.Text)
		}
	}
}
