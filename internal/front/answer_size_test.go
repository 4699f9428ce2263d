package front

import (
	"errors"
	"io"
	"strings"
	"testing"

	"github.com/buckthorndock/buckthorndock/internal/inbound"
)

// TestAnswersInProgressShareTheirMemory guards against answers that are collected for callers until
// they are complete, of engines that send text without end.
func TestAnswersInProgressShareTheirMemory(t *testing.T) {
	const capacity, answers = 32 << 20, 20
	memory := inbound.NewMemory("test", capacity)
	var all []*answerSize
	full := 0
	for range answers {
		a := newAnswerSize(memory)
		all = append(all, a)
		var err error
		for err == nil {
			err = a.add(64 << 10)
		}
		switch {
		case errors.Is(err, inbound.ErrNoMemory):
			full++
		case !errors.Is(err, inbound.ErrTooLong):
			t.Errorf("got %v", err)
		}
		if n := memory.Held(); n > capacity {
			t.Errorf("%d bytes are held", n)
		}
	}
	if full != answers-capacity/(answerCopies*maxAnswerBytes) {
		t.Errorf("%d of %d answers found no memory", full, answers)
	}
	if err := newAnswerSize(memory).add(freeAnswerBytes); err != nil {
		t.Errorf("a short answer beside them: %v", err)
	}
	for _, a := range all {
		a.release()
	}
	if n := memory.Held(); n != 0 {
		t.Errorf("%d bytes are left", n)
	}
}

// TestRelayedAnswersAreCounted covers answers of runs on other hosts, which are collected too.
func TestRelayedAnswersAreCounted(t *testing.T) {
	a := newAnswerSize(inbound.NewMemory("test", 1<<20))
	if _, err := io.ReadAll(a.reader(strings.NewReader(strings.Repeat("a", 1<<20)))); !errors.Is(err, inbound.ErrNoMemory) {
		t.Errorf("got %v", err)
	}
}
