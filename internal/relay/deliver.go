package relay

import (
	"cmp"
	"context"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/buckthorndock/buckthorndock/internal/core/answerhead"
	"github.com/buckthorndock/buckthorndock/internal/core/booking"
	"github.com/buckthorndock/buckthorndock/internal/core/fleet"
	"github.com/buckthorndock/buckthorndock/internal/core/retry"
	"github.com/buckthorndock/buckthorndock/internal/core/route"
	"github.com/buckthorndock/buckthorndock/internal/inbound"
	"github.com/buckthorndock/buckthorndock/internal/shutdown"
)

// Sizes in bytes up to which an answer is read completely before any of it is passed on, so that one
// that breaks off can be replaced. The rest of a longer answer is passed on as it comes, and so is
// what there is no memory for.
const (
	freeAnswerBytes = 8 << 10 // held for every exchange; what is above is counted
	maxHeldAnswer   = 256 << 10
)

// heldAnswerSteps are the sizes to which an answer grows in memory.
var heldAnswerSteps = []int{copyBufferBytes, maxHeldAnswer}

// heldAnswerFactor is the memory for a byte of an answer while it grows.
const heldAnswerFactor = 2

// copyBufferBytes is the size of the pieces in which longer answers are passed on if there is memory.
const copyBufferBytes = 32 << 10

// attempt is one attempt in progress.
type attempt struct {
	*run
	id           string          // as in the book
	ctx          context.Context // ends with the attempt
	cancel       context.CancelCauseFunc
	silence      *silenceTimer
	onFirstEvent func()
	upstream     fleet.Upstream
	helpers      []booking.Part
	streaming    atomic.Bool // its first event has arrived
	stopsAt      time.Time   // when the upstream stops work at the earliest
}

// dependsOn reports whether the attempt needs a failure domain: its upstream is there, or an
// engine that has yet to prefill a part of its prompt or that holds memory for it.
func (t *attempt) dependsOn(domain string, list *fleet.Snapshot) bool {
	if t.upstream.Domain == domain {
		return true
	}
	for _, p := range t.helpers {
		if u, known := list.Get(p.Upstream); known && u.Domain == domain && (p.Reserve > 0 || !t.streaming.Load()) {
			return true
		}
	}
	return false
}

// exchange sends an attempt and passes its answer on. limit bounds the silence before the
// head and, for streams, before the first event; gap bounds the silence between two events.
func (g *run) exchange(ctx context.Context, a Attempt, limit, gap time.Duration, onFirst func()) attemptResult {
	g.stage.enter(stageUpstream)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	t := &attempt{run: g, id: g.attemptID(), ctx: ctx, cancel: cancel, onFirstEvent: onFirst, upstream: a.Upstream, helpers: a.Helpers}
	t.stopsAt = time.Now().Add(a.Timeout.Truncate(time.Millisecond)) // which is told in milliseconds
	t.silence = g.newSilenceTimer(limit, gap, cancel)
	defer t.silence.stop()
	defer g.relay.running.add(t)()
	g.relay.opts.Paths.Wake()
	g.logRestrictedSend(a.Upstream)
	g.path = g.relay.opts.Paths.State(a.Upstream.Domain).String()
	g.body = bodyLog{}
	answer, err := g.relay.opts.Sender.Send(ctx, a)
	t.identify(err)
	if err != nil {
		return t.resultOf(err)
	}
	defer answer.Close()
	g.relay.opts.Paths.RecordActivity(a.Upstream.Domain)
	g.status = answer.Status
	g.body.framing = answer.Framing
	switch {
	case g.req.Route.Kind == route.Stream && answer.Status == http.StatusOK:
		return t.passStream(answer)
	case g.headSent: // of a stream, to which no other answer belongs
		return attemptResult{end: retry.Faulted, err: merry.Wrap(errNotResumed, merry.AppendMessagef("status %d", answer.Status))}
	}
	return t.passAnswer(answer)
}

// identify reports which upstream answered the attempt, if several are listed at its address or
// another one than the listed one answered. A connection that was kept from an earlier exchange may
// still lead to a server that has left the address, and an answer that names nobody may be about a
// helper.
func (t *attempt) identify(err error) {
	var f *Failure
	another := errors.As(err, &f) && f.WrongUpstream
	switch {
	case len(t.upstream.Rivals) == 0:
		if another && f.NewConnection && (f.Responder != "" || len(t.helpers) == 0) {
			t.relay.upstreamReplaced(t.upstream, anotherAnswered, f.Responder)
		}
	case err == nil:
		t.relay.opts.OnIdentified(t.upstream, true)
	case another:
		t.relay.opts.OnIdentified(t.upstream, false)
	}
}

// resultOf returns the result of an attempt that failed with err or was cancelled.
func (t *attempt) resultOf(err error) attemptResult {
	cause := context.Cause(t.ctx)
	var lost *engineLostError
	var f *Failure
	isFailure := errors.As(err, &f)
	switch {
	case isFailure && f.End == retry.Declined: // the promise holds even if the attempt was cancelled since
		return attemptResult{end: f.End, faultyAddress: f.FaultyAddress, full: f.Full, err: f.Err}
	case errors.Is(cause, errSilent), errors.Is(cause, errDisplaced):
		return attemptResult{end: retry.Silent, err: cause}
	case errors.As(cause, &lost):
		return attemptResult{end: retry.Silent, faultyAddress: lost.part.Address, err: cause}
	case errors.Is(cause, errUpstreamEnded):
		return attemptResult{end: retry.Broken, err: cause}
	case errors.Is(cause, shutdown.ErrLeaving) && isFailure:
		return attemptResult{end: f.End, faultyAddress: f.FaultyAddress, err: cause}
	case errors.Is(cause, shutdown.ErrLeaving):
		return attemptResult{end: retry.Broken, err: cause}
	}
	if t.ctx.Err() != nil && !errors.Is(t.ctx.Err(), context.DeadlineExceeded) {
		return attemptResult{callerGone: true}
	}
	if isFailure {
		return attemptResult{end: f.End, faultyAddress: f.FaultyAddress, err: f.Err}
	}
	if answerhead.IsError(err) || errors.Is(err, inbound.ErrTooLong) {
		return attemptResult{end: retry.InvalidAnswer, err: err}
	}
	return attemptResult{end: retry.Broken, err: err}
}

// passAnswer passes on an answer that is not a stream.
func (t *attempt) passAnswer(answer *Answer) attemptResult {
	memory := t.relay.opts.AnswerMemory.Share()
	whole, rest, err := readHeld(answer.Body, memory)
	if rest == nil {
		t.body.noteEnd(cmp.Or(err, io.EOF), t.ctx.Err() != nil)
	}
	var doubt error // whether it is whole
	if err == nil && rest == nil {
		doubt = t.checkEnd(answer)
	}
	if err == nil && doubt == nil && answer.Status >= http.StatusInternalServerError && rest == nil {
		t.silence.stop()
		return attemptResult{end: retry.Faulted, heldAnswer: &heldAnswer{head: answer.Head, body: whole, memory: memory}, err: errFaulted}
	}
	defer memory.Release()
	if err != nil {
		return t.resultOf(err)
	}
	if doubt != nil && t.mayRunAgain() {
		return attemptResult{end: retry.Broken, err: doubt}
	}
	t.silence.stop()
	head := answer.Head
	if rest == nil && doubt == nil && head.Framing != FramedByConnection {
		head.Length = int64(len(whole))
	}
	if err := t.beginAnswer(head, whole, rest != nil); err != nil {
		return attemptResult{callerGone: true, err: err}
	}
	if rest == nil {
		return endedWith(doubt)
	}
	memory.Release()
	return t.copyRest(answer, rest, memory)
}

// beginAnswer passes on the head of an answer that is not a stream, and the first part of its body. goesOn tells that
// more follows.
func (t *attempt) beginAnswer(head Head, body []byte, goesOn bool) error {
	t.noteFirstEvent()
	if err := t.sink.Head(head); err != nil {
		return err
	}
	t.headSent, t.headFraming = true, head.Framing
	t.answerBegun.Store(goesOn)
	return t.sink.Body(body, !goesOn)
}

var errFaulted = merry.Sentinel("the upstream failed the request")

// readHeld reads a body up to the size that there is memory for. rest is the remainder, nil if the body
// has ended.
func readHeld(body io.Reader, memory *inbound.Share) (whole []byte, rest io.Reader, err error) {
	whole, rest, err = readUpTo(body, freeAnswerBytes)
	for _, size := range heldAnswerSteps {
		if err != nil || rest == nil || !memory.Grow(int64(heldAnswerFactor*size)) {
			break
		}
		var more []byte
		more, rest, err = readUpTo(rest, size-len(whole))
		whole = append(whole, more...)
	}
	return whole, rest, err
}

// readUpTo reads up to limit bytes of a body. rest is the remainder, nil if the body has
// ended.
func readUpTo(body io.Reader, limit int) (whole []byte, rest io.Reader, err error) {
	whole, err = io.ReadAll(io.LimitReader(body, int64(limit)))
	if err != nil || len(whole) < limit {
		return whole, nil, err
	}
	return whole, body, nil
}

// copyRest passes on the remainder of a long answer as it arrives.
func (t *attempt) copyRest(answer *Answer, rest io.Reader, memory *inbound.Share) attemptResult {
	buf := make([]byte, copyBufferSize(memory))
	for {
		n, err := rest.Read(buf)
		if n > 0 {
			if sinkErr := t.sink.Body(buf[:n], true); sinkErr != nil {
				return attemptResult{callerGone: true, err: sinkErr}
			}
		}
		if err != nil {
			t.body.noteEnd(err, t.ctx.Err() != nil)
		}
		if err == io.EOF {
			return endedWith(t.checkEnd(answer))
		}
		if err != nil {
			return t.resultOf(err)
		}
	}
}

// copyBufferSize returns the size in bytes of the pieces in which an answer is passed on.
func copyBufferSize(memory *inbound.Share) int {
	if memory.Grow(copyBufferBytes) {
		return copyBufferBytes
	}
	return freeAnswerBytes
}

// noteFirstEvent records the arrival of the first part of an answer.
func (t *attempt) noteFirstEvent() {
	if t.firstAt.IsZero() {
		t.firstAt = time.Now()
	}
	if t.onFirstEvent != nil {
		t.onFirstEvent()
		t.onFirstEvent = nil
	}
}
