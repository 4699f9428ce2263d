package front

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/buckthorndock/buckthorndock/internal/claims"
	"github.com/buckthorndock/buckthorndock/internal/core/claim"
	"github.com/buckthorndock/buckthorndock/internal/core/request"
)

// A key that its holder released is asked for again, a few times within one
// request and with growing waits: the release may not be in the log yet.
const (
	maxSupersedes = 8
	supersedeWait = 20 * time.Millisecond // the first, then doubled each time
)

// work runs an admitted job until its end.
type work func(ctx context.Context) *request.Refusal

// relay passes on what the holder of a key has recorded.
type relay func(io.Reader) error

// serve runs a job from admission to its one end. A job that runs at most once
// and has a key runs only at the holder of the key; elsewhere the holder's answer
// is relayed.
func (s *Server) serve(ctx context.Context, j *job, do work, pass relay) *request.Refusal {
	switch {
	case j.req.Repeatable && j.req.Key == "":
		return s.admitted(ctx, j, do)
	case j.req.Repeatable:
		return s.joined(ctx, j, do, pass)
	case j.req.Key == "":
		return s.withoutKey(ctx, j, do)
	}
	for try := range maxSupersedes {
		res, err := s.opts.Claims.Acquire(ctx, claims.AcquireRequest{
			Customer:    j.req.Customer,
			Key:         j.req.Key,
			Fingerprint: j.req.Fingerprint,
			NotAfter:    j.req.Deadline,
		})
		if err != nil {
			return asRefusal(err)
		}
		if res.HoldsKey() {
			return s.asHolder(ctx, j, res, do)
		}
		end, err := s.passOn(ctx, j, pass, func(ctx context.Context, w io.Writer) (claims.Ending, error) {
			return s.opts.Claims.Await(ctx, res, w)
		})
		if err != nil {
			return awaitRefusal(ctx)
		}
		if end.State != claims.AnswerReleased {
			return end.Refusal()
		}
		if !s.pause(ctx, supersedeWait<<try, j.req.Deadline) {
			break
		}
	}
	return request.Refuse(request.CodeKeyUnavailable, retryElsewhere, "the idempotency key changes hands too often")
}

// pause waits, and reports false when the context or the deadline ends first.
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

// admitted runs a job that the gate lets in.
func (s *Server) admitted(ctx context.Context, j *job, do work) *request.Refusal {
	ctx, cancel := context.WithDeadline(ctx, j.req.Deadline)
	defer cancel()
	ticket, refusal := s.admit(ctx, j)
	if refusal != nil {
		return refusal
	}
	refusal = do(ctx)
	outcome, tokens := request.Complete, j.req.PromptTokens+j.answered
	if refusal != nil {
		outcome = refusal.Outcome
	}
	ticket.Done(outcome, tokens)
	return refusal
}

// withoutKey runs a job that may be dispatched once and has no key.
func (s *Server) withoutKey(ctx context.Context, j *job, do work) *request.Refusal {
	j.permit = claim.NewPermit(j.req.Deadline)
	j.permit.Grant(0)
	refusal := s.admitted(ctx, j, do)
	if refusal != nil && j.permit.Release() {
		return neverSent(refusal)
	}
	return maybeSent(refusal)
}

// maybeSent corrects the outcome of a job whose permit was used.
func maybeSent(r *request.Refusal) *request.Refusal {
	if r == nil || r.Outcome != request.NotRun {
		return r
	}
	changed := *r
	changed.Outcome = request.Unknown
	return &changed
}

// neverSent tells what is certain of a job whose permit was given back unused:
// nothing was sent, and nothing will be.
func neverSent(r *request.Refusal) *request.Refusal {
	if r.Outcome == request.NotRun {
		return r
	}
	code := r.Code
	if code == request.CodeOutcomeLost {
		code = request.CodeDeadline
	}
	return request.Refuse(code, retryElsewhere, "it ended before it was sent")
}

// asHolder runs a job whose key this host holds. It goes on when the caller has
// gone, for the caller may ask for the answer again.
func (s *Server) asHolder(ctx context.Context, j *job, res claims.Result, do work) *request.Refusal {
	j.permit = res.Permit
	j.record = res.Answer
	j.needed = func() bool { return true }
	refusal := s.admitted(context.WithoutCancel(ctx), j, do)
	switch {
	case refusal == nil:
		res.Answer.Finish(claims.Ending{State: claims.AnswerComplete})
	case s.opts.Claims.Release(res):
		// Nothing was sent: the key is free again.
		refusal = neverSent(refusal)
	case refusal.Outcome == request.Failed:
		res.Answer.Finish(claims.Ending{State: claims.AnswerFailed, Code: refusal.Code, Message: refusal.Message})
	default:
		refusal = maybeSent(refusal)
		res.Answer.Finish(claims.Ending{State: claims.AnswerUnknown, Code: refusal.Code, Message: refusal.Message})
	}
	return refusal
}

// passOn passes the answer of another run on within the job's time.
func (s *Server) passOn(ctx context.Context, j *job, pass relay, from func(context.Context, io.Writer) (claims.Ending, error)) (claims.Ending, error) {
	ctx, cancel := context.WithDeadline(ctx, j.req.Deadline)
	defer cancel()
	r, w := io.Pipe()
	passed := make(chan error, 1)
	go func() {
		err := pass(r)
		r.CloseWithError(err)
		passed <- err
	}()
	end, err := from(ctx, w)
	if err == nil && end.State != claims.AnswerComplete {
		err = errNotWhole
	}
	w.CloseWithError(err)
	passErr := <-passed
	if end.State != claims.AnswerComplete && ctx.Err() == nil {
		return end, nil
	}
	if err == nil {
		err = passErr
	}
	return end, err
}

// errNotWhole ends the relay of an answer that did not become whole.
var errNotWhole = merry.Sentinel("the holder's answer is not whole")

// awaitRefusal is the end of a repeat whose wait for the holder ended.
func awaitRefusal(ctx context.Context) *request.Refusal {
	code := request.CodeDeadline
	if ctx.Err() != nil {
		code = request.CodeCallerGone
	}
	return &request.Refusal{
		Outcome: request.Unknown, Code: code, RetryAfter: retryElsewhere,
		Message: "the request under this key is running or has run; ask again with the same key",
	}
}

// recorded is one line of a recorded generation.
type recorded struct {
	Text   string `json:"t"`
	Tokens int    `json:"n"`
}

// recordTokens keeps a piece of the answer for repeats of the key.
func (j *job) recordTokens(text string, tokens int) {
	if j.record == nil {
		return
	}
	line, err := json.Marshal(recorded{Text: text, Tokens: tokens})
	if err != nil {
		return
	}
	_, _ = j.record.Write(append(line, '\n'))
}

// relayTokens passes a recorded generation on to the job's sink.
func relayTokens(j *job) relay {
	return func(r io.Reader) error {
		lines := bufio.NewReader(r)
		for {
			line, err := lines.ReadBytes('\n')
			if err == io.EOF {
				return j.sink.finish(j.answered)
			}
			if err != nil {
				return err
			}
			var rec recorded
			if err := json.Unmarshal(line, &rec); err != nil {
				return merry.Prepend(err, "recorded answer")
			}
			if err := j.sink.token(rec.Text); err != nil {
				return err
			}
			j.answered += rec.Tokens
			j.passed.WriteString(rec.Text)
		}
	}
}
