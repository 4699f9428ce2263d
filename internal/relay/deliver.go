package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/buckthorndock/buckthorndock/internal/core/booking"
	"github.com/buckthorndock/buckthorndock/internal/core/fleet"
	"github.com/buckthorndock/buckthorndock/internal/core/retry"
	"github.com/buckthorndock/buckthorndock/internal/core/route"
)

// wholeBytes is the size up to which an answer is taken in whole before any of it is
// passed on, so that one that breaks can be replaced.
const wholeBytes = 256 << 10

// copyBytes is the size of the pieces in which longer answers are passed on.
const copyBytes = 32 << 10

// attempt is one sending under way.
type attempt struct {
	*run
	id      string          // in the book
	ctx     context.Context // ends with the attempt
	cancel  context.CancelCauseFunc
	watch   *silence
	onFirst func()
	to      fleet.Upstream
	helpers []booking.Part
	begun   atomic.Bool // its first event has come
}

// dependsOn reports whether the attempt needs a failure domain: its upstream is there, or
// an engine that reads or holds a part of its prompt.
func (t *attempt) dependsOn(domain string, list *fleet.Snapshot) bool {
	if t.to.Domain == domain {
		return true
	}
	for _, p := range t.helpers {
		if u, known := list.Get(p.Upstream); known && u.Domain == domain && (p.Reserve > 0 || !t.begun.Load()) {
			return true
		}
	}
	return false
}

// exchange sends an attempt and passes its answer on. limit bounds the silence
// before the head and, of streams, the first event; gap that between two events.
func (g *run) exchange(ctx context.Context, a Attempt, limit, gap time.Duration, onFirst func()) ending {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	t := &attempt{run: g, id: g.attemptID(), ctx: ctx, cancel: cancel, onFirst: onFirst, to: a.Upstream, helpers: a.Helpers}
	t.watch = g.watchSilence(limit, gap, cancel)
	defer t.watch.stop()
	defer g.relay.running.add(t)()
	g.relay.ways.watch()
	g.noteSend(a.Upstream)
	answer, err := g.relay.opts.Sender.Send(ctx, a)
	t.identify(err)
	if err != nil {
		return t.broken(err)
	}
	defer answer.Close()
	g.relay.ways.heard(a.Upstream.Domain)
	if g.req.Route.Kind == route.Stream && answer.Status == http.StatusOK {
		return t.stream(answer)
	}
	return t.plain(answer)
}

// identify tells which of the upstreams whose entries name one address lives there, as
// how an attempt was answered shows.
func (t *attempt) identify(err error) {
	if len(t.to.Rivals) == 0 {
		return
	}
	var f *Failure
	switch {
	case err == nil:
		t.relay.opts.OnIdentified(t.to, true)
	case errors.As(err, &f) && f.WrongUpstream:
		t.relay.opts.OnIdentified(t.to, false)
	}
}

// broken tells why an attempt has ended without a whole answer.
func (t *attempt) broken(err error) ending {
	cause := context.Cause(t.ctx)
	var lost *lostError
	var f *Failure
	told := errors.As(err, &f)
	switch {
	case told && f.End == retry.Declined: // its word holds whatever has become of it since
		return ending{end: f.End, at: f.FaultyAddress, err: f.Err}
	case errors.Is(cause, errSilent), errors.Is(cause, errDisplaced):
		return ending{end: retry.Silent, err: cause}
	case errors.As(cause, &lost):
		return ending{end: retry.Silent, at: lost.part.Address, err: cause}
	case errors.Is(cause, errLifeOver):
		return ending{end: retry.Broken, err: cause}
	}
	if t.ctx.Err() != nil && !errors.Is(t.ctx.Err(), context.DeadlineExceeded) {
		return ending{gone: true}
	}
	if told {
		return ending{end: f.End, at: f.FaultyAddress, err: f.Err}
	}
	return ending{end: retry.Broken, err: err}
}

// plain passes on an answer that is no stream.
func (t *attempt) plain(answer *Answer) ending {
	whole, rest, err := readWhole(answer.Body, copyBytes)
	if bodies := t.relay.opts.BodyMemory; rest != nil && bodies.take(wholeBytes) {
		defer bodies.give(wholeBytes)
		var more []byte
		more, rest, err = readWhole(rest, wholeBytes-copyBytes)
		whole = append(whole, more...)
	}
	if err != nil {
		return t.broken(err)
	}
	t.watch.stop()
	if answer.Status >= http.StatusInternalServerError && rest == nil {
		return ending{end: retry.Faulted, kept: &kept{head: answer.Head, body: whole}, err: errFaulted}
	}
	head := answer.Head
	if rest == nil {
		head.Length = int64(len(whole))
	}
	t.markFirst()
	if err := t.sink.Head(head); err != nil {
		return ending{gone: true, err: err}
	}
	t.started = true
	if err := t.sink.Body(whole, rest == nil); err != nil {
		return ending{gone: true, err: err}
	}
	if rest == nil {
		return ending{delivered: true}
	}
	return t.copyRest(rest)
}

var errFaulted = merry.Sentinel("the upstream failed the request")

// readWhole reads a body up to a number of bytes; rest has what follows, nil when nothing
// does.
func readWhole(body io.Reader, most int) (whole []byte, rest io.Reader, err error) {
	whole, err = io.ReadAll(io.LimitReader(body, int64(most)))
	if err != nil || len(whole) < most {
		return whole, nil, err
	}
	return whole, body, nil
}

func (t *attempt) copyRest(rest io.Reader) ending {
	buf := make([]byte, copyBytes)
	for {
		n, err := rest.Read(buf)
		if n > 0 {
			if sinkErr := t.sink.Body(buf[:n], true); sinkErr != nil {
				return ending{gone: true, err: sinkErr}
			}
		}
		if err == io.EOF {
			return ending{delivered: true}
		}
		if err != nil {
			return t.broken(err)
		}
	}
}

// stream passes the events of an answer on, those after the last one that the caller
// has.
func (t *attempt) stream(answer *Answer) ending {
	events := newEventReader(answer.Body)
	for {
		ev, err := events.next()
		if err == io.EOF {
			return t.streamEnd(answer)
		}
		if err != nil {
			return t.broken(err)
		}
		t.watch.heard()
		if err := t.passHead(answer); err != nil {
			return ending{gone: true, err: err}
		}
		t.markEvent()
		if err := t.sink.Body(ev.raw, true); err != nil {
			return ending{gone: true, err: err}
		}
		if ev.id != "" {
			t.after = ev.id
		}
	}
}

func (t *attempt) streamEnd(answer *Answer) ending {
	if err := t.passHead(answer); err != nil {
		return ending{gone: true, err: err}
	}
	return ending{delivered: true}
}

// passHead passes the head of a stream on, once: a stream that goes on at another
// upstream keeps its first head.
func (t *attempt) passHead(answer *Answer) error {
	if t.started {
		return nil
	}
	t.started = true
	head := answer.Head
	head.Length = -1
	return t.sink.Head(head)
}

// markEvent notes the time of an event.
func (t *attempt) markEvent() {
	t.markFirst()
	t.begun.Store(true)
	t.relay.ways.heard(t.to.Domain)
	now := time.Now()
	if !t.latest.IsZero() {
		t.pause = max(t.pause, now.Sub(t.latest))
	}
	t.latest = now
}

func (t *attempt) markFirst() {
	if t.first.IsZero() {
		t.first = time.Now()
	}
	if t.onFirst != nil {
		t.onFirst()
		t.onFirst = nil
	}
}
