package relay

import (
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/ansel1/merry/v2"

	"github.com/buckthorndock/buckthorndock/internal/core/retry"
	"github.com/buckthorndock/buckthorndock/internal/core/stream"
	"github.com/buckthorndock/buckthorndock/internal/shutdown"
)

var eventsRepeated = metrics.GetOrCreateCounter(`buckthorndock_repeated_events_total`)

var errNotResumed = merry.Sentinel("the upstream does not go on with the stream")

// newSequence returns the sequence of the events of a request's answer. One that may not be resumed has
// one run, whose events are passed on as they are.
func newSequence(r *Request) *stream.Sequence {
	if !r.Route.Repeatable() {
		return stream.NewSequence("")
	}
	return stream.NewSequence(r.LastEvent)
}

// passStream passes on the events of an answer that the caller does not have yet.
func (t *attempt) passStream(answer *Answer) attemptResult {
	events := newEventReader(answer.Body, t.relay.opts.AnswerMemory)
	defer events.close()
	t.events.StartRun()
	t.weights.begin(answer, !t.headSent)
	for {
		ev, err := events.next()
		if err != nil {
			t.body.noteEnd(err, t.ctx.Err() != nil)
		}
		if err == io.EOF {
			return t.endStream(answer)
		}
		if err != nil {
			return t.resultOf(err)
		}
		if t.beginsTooLate() {
			return attemptResult{end: retry.Broken, err: shutdown.ErrLeaving}
		}
		if result := t.passEvent(answer, ev); result != nil {
			return *result
		}
	}
}

// passEvent passes on an event, unless the caller has it. The result is nil if the stream goes on.
func (t *attempt) passEvent(answer *Answer, ev event) *attemptResult {
	now := time.Now()
	t.silence.reset()
	t.times.event(now)
	t.noteAnswerBegins(now)
	tells := t.weights.read(answer, ev.raw)
	if ev.isPiece {
		t.body.noteEvent(ev.id)
		switch t.events.Accept(ev.id) {
		case stream.Repeated:
			eventsRepeated.Inc()
			t.body.repeated++
			return nil
		case stream.Skipped:
			return &attemptResult{end: retry.Faulted, err: merry.Wrap(errNotResumed, merry.AppendMessagef("events are missing before %q", ev.id))}
		}
		t.unresumable.Store(!t.events.CanResume())
		ev.raw = t.weights.mark(answer, ev.raw, tells)
	}
	t.noteEvent(now)
	if err := t.passHead(answer); err != nil {
		return &attemptResult{callerGone: true, err: err}
	}
	if err := t.sink.Body(ev.raw, true); err != nil {
		return &attemptResult{callerGone: true, err: err}
	}
	t.times.passedOn(time.Now())
	return nil
}

// endStream ends a stream that is complete; one without events still gets its head. Nothing tells one
// that only its connection ends from one that broke off before its first event.
func (t *attempt) endStream(answer *Answer) attemptResult {
	if answer.Framing == FramedByConnection && !t.headSent && t.req.LastEvent == "" {
		return attemptResult{end: retry.Broken, err: errEmptyStream}
	}
	if err := t.checkEnd(answer); err != nil {
		return attemptResult{end: retry.Broken, err: err}
	}
	if !t.events.RunIsWhole() {
		return attemptResult{end: retry.Faulted, err: merry.Wrap(errNotResumed, merry.AppendMessagef("it ends before %q", t.events.Last()))}
	}
	if err := t.passHead(answer); err != nil {
		return attemptResult{callerGone: true, err: err}
	}
	return attemptResult{delivered: true}
}

// passHead passes on the head of a stream once: a stream that continues at another upstream
// keeps its first head.
func (t *attempt) passHead(answer *Answer) error {
	if t.headSent {
		return nil
	}
	t.headSent = true
	t.answerBegun.Store(true)
	head := answer.Head
	head.Length = -1
	t.headFraming = head.Framing
	return t.sink.Head(head)
}

// noteAnswerBegins records that the upstream has begun to answer, or goes on.
func (t *attempt) noteAnswerBegins(now time.Time) {
	t.noteFirstEvent()
	t.streaming.Store(true)
	t.relay.opts.Paths.RecordActivity(t.upstream.Domain)
	t.noteAnswering(now)
}

// noteEvent records the arrival of an event that is passed on.
func (t *attempt) noteEvent(now time.Time) {
	if !t.lastEventAt.IsZero() {
		t.longestGap = max(t.longestGap, now.Sub(t.lastEventAt))
	}
	t.lastEventAt = now
}
