package relay

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/core/retry"
	"github.com/buckthorndock/buckthorndock/internal/core/route"
	"github.com/buckthorndock/buckthorndock/internal/inbound"
)

// stalledReader returns some bytes of one line, and then nothing until it is released.
type stalledReader struct {
	left     int
	released <-chan struct{}
}

func (r *stalledReader) Read(p []byte) (int, error) {
	if r.left == 0 {
		<-r.released
		return 0, io.ErrUnexpectedEOF
	}
	n := min(len(p), r.left)
	for i := range n {
		p[i] = 'x'
	}
	r.left -= n
	return n, nil
}

// TestUnfinishedEventsShareTheirMemory guards against events that are bounded each, and whose sum over
// the streams in progress takes a daemon over its memory.
func TestUnfinishedEventsShareTheirMemory(t *testing.T) {
	const streams, capacity, unfinished = 40, 4 << 20, maxEventBytes - 1
	memory := inbound.NewMemory("test", capacity)
	released := make(chan struct{})
	ended := make(chan string, streams)
	for range streams {
		f := newFixture(t, answerFrom(http.StatusOK, &stalledReader{unfinished, released}))
		f.relay.opts.AnswerMemory = memory
		f.listEngines("e1")
		f.planner.plans = append(f.planner.plans, onEngine("e1"))
		go func() {
			refusal := f.relay.Run(t.Context(), streamRequest(false), &recordingSink{})
			if refusal == nil {
				ended <- "an unfinished event was passed on as whole"
				return
			}
			ended <- ""
		}()
	}
	for range streams - capacity/maxEventBytes {
		if fault := <-ended; fault != "" {
			t.Error(fault)
		}
	}
	if n := memory.Held(); n == 0 || n > capacity {
		t.Errorf("%d bytes are held", n)
	}
	close(released)
	for range capacity / maxEventBytes {
		<-ended
	}
	if n := memory.Held(); n != 0 {
		t.Errorf("%d bytes are left", n)
	}
}

// TestEndlessEventIsAnInvalidAnswer guards against endless bytes that count as the death of an engine.
func TestEndlessEventIsAnInvalidAnswer(t *testing.T) {
	for name, line := range map[string]string{"event": "data: ", "comments": ":\n", "id": "id: "} {
		text := line + strings.Repeat("0", maxEventIDBytes+1) + strings.Repeat(line, maxEventBytes/len(line))
		f := newFixture(t, answer(http.StatusOK, "id: 1\ndata: a\n\n"+text))
		f.listEngines("e1")
		f.planner.plans = append(f.planner.plans, onEngine("e1"))
		sink := &recordingSink{}
		refusal := f.relay.Run(t.Context(), streamRequest(false), sink)
		if refusal == nil || !strings.Contains(refusal.Message, retry.InvalidAnswer.String()) {
			t.Errorf("%s: got %v", name, refusal)
		}
		if got := sink.body.String(); got != "id: 1\ndata: a\n\n" {
			t.Errorf("%s: the caller got %d bytes", name, len(got))
		}
	}
}

// TestSoundAnswersArriveWithoutMemory guards against a bound that costs sound upstreams their long
// answers and streams while faulty ones use all the memory.
func TestSoundAnswersArriveWithoutMemory(t *testing.T) {
	for _, capacity := range []int64{0, copyBufferBytes * heldAnswerFactor, 1 << 20} {
		memory := inbound.NewMemory("test", capacity)
		long := strings.Repeat("long answer ", 1<<17)
		f := newFixture(t, answer(http.StatusOK, long))
		f.relay.opts.AnswerMemory = memory
		sink := &recordingSink{}
		if refusal := f.relay.Run(t.Context(), plainRequest(route.Once, time.Minute), sink); refusal != nil || sink.body.String() != long {
			t.Errorf("capacity %d: %d of %d bytes, %v", capacity, sink.body.Len(), len(long), refusal)
		}
		stream := strings.Repeat("id: 1\ndata: "+strings.Repeat("e", freeEventBytes/2)+"\n\n", 1000)
		f = newFixture(t, answer(http.StatusOK, stream))
		f.relay.opts.AnswerMemory = memory
		f.listEngines("e1")
		f.planner.plans = append(f.planner.plans, onEngine("e1"))
		sink = &recordingSink{}
		if refusal := f.relay.Run(t.Context(), streamRequest(false), sink); refusal != nil || sink.body.String() != stream {
			t.Errorf("capacity %d: %d of %d bytes, %v", capacity, sink.body.Len(), len(stream), refusal)
		}
		if n := memory.Held(); n != 0 {
			t.Errorf("capacity %d: %d bytes are left", capacity, n)
		}
	}
}

// memorySink records what of a Memory is held while a body is passed on.
type memorySink struct {
	recordingSink
	memory *inbound.Memory
	held   int64
}

func (s *memorySink) Body(p []byte, flush bool) error {
	s.held = s.memory.Held()
	return s.recordingSink.Body(p, flush)
}

// TestHeldFailuresAreCounted guards against failures that are held back for a repeat and whose memory
// nobody counts, and against memory that is never returned.
func TestHeldFailuresAreCounted(t *testing.T) {
	body := strings.Repeat("f", 100<<10)
	steps := func(n int) (all []func(context.Context, Attempt) (*Answer, error)) {
		for range n {
			all = append(all, answer(http.StatusInternalServerError, body))
		}
		return all
	}
	for _, attempts := range []int{1, 2} {
		f := newFixture(t, steps(attempts)...)
		memory := inbound.NewMemory("test", 1<<20)
		f.relay.opts.AnswerMemory = memory
		req := plainRequest(route.Idempotent, time.Minute)
		req.Route.MaxAttempts = attempts
		sink := &memorySink{memory: memory}
		refusal := f.relay.Run(t.Context(), req, sink)
		if refusal != nil || sink.body.String() != body || len(f.script.sent) != attempts {
			t.Errorf("%d attempts: %d sent, %d bytes, %v", attempts, len(f.script.sent), sink.body.Len(), refusal)
		}
		if sink.held < int64(len(body)) || memory.Held() != 0 {
			t.Errorf("%d attempts: %d bytes were counted, %d are left", attempts, sink.held, memory.Held())
		}
	}
}

// TestBrokenHeldAnswerReturnsItsMemory covers answers that break off while they are held.
func TestBrokenHeldAnswerReturnsItsMemory(t *testing.T) {
	f := newFixture(t, answerFrom(http.StatusOK, brokenBody(strings.Repeat("b", 100<<10))), fail(retry.Broken))
	memory := inbound.NewMemory("test", 1<<20)
	f.relay.opts.AnswerMemory = memory
	if refusal := f.relay.Run(t.Context(), plainRequest(route.Idempotent, time.Minute), &recordingSink{}); refusal == nil {
		t.Error("a broken answer was passed on as whole")
	}
	if n := memory.Held(); n != 0 {
		t.Errorf("%d bytes are left", n)
	}
}
