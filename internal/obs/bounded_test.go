package obs

import (
	"bytes"
	"strings"
	"testing"
)

// stoppedOutput is an output that nobody reads until it is opened.
type stoppedOutput struct {
	opened  chan struct{}
	entered chan struct{} // receives a value when the first write begins
	text    bytes.Buffer
}

func (s *stoppedOutput) Write(p []byte) (int, error) {
	select {
	case s.entered <- struct{}{}:
	default:
	}
	<-s.opened
	return s.text.Write(p)
}

// TestQueuedLinesAreBoundedInBytes guards against a daemon that exceeds its memory by lines which quote
// what a faulty upstream has sent, while nobody reads its output.
func TestQueuedLinesAreBoundedInBytes(t *testing.T) {
	out := &stoppedOutput{opened: make(chan struct{}), entered: make(chan struct{}, 1)}
	w := NewBoundedWriter(out, 100_000)
	_, _ = w.Write([]byte("first\n"))
	<-out.entered
	long := []byte(strings.Repeat("0", 100<<10) + "\n")
	for range 10_000 {
		_, _ = w.Write(long)
	}
	if n := w.queued.Load(); n > maxQueuedBytes || n < maxQueuedBytes/2 {
		t.Errorf("%d bytes are queued", n)
	}
	close(out.opened)
	w.Close()
	if n := w.queued.Load(); n != 0 {
		t.Errorf("%d bytes are left", n)
	}
	for line := range strings.Lines(out.text.String()) {
		if len(line) > maxLineBytes || !strings.HasSuffix(line, "\n") {
			t.Fatalf("a line of %d bytes", len(line))
		}
		if line != "first\n" && !strings.HasSuffix(line, lineCut) {
			t.Fatal("a line that was cut does not tell so")
		}
	}
}

// TestLinesAfterTheCloseAreDropped guards against a daemon that panics when it exits, because a timer or
// a request that has not ended logs after the log was closed.
func TestLinesAfterTheCloseAreDropped(t *testing.T) {
	var out bytes.Buffer
	w := NewBoundedWriter(&out, 4)
	_, _ = w.Write([]byte("before\n"))
	w.Close()
	if n, err := w.Write([]byte("after\n")); n != len("after\n") || err != nil {
		t.Errorf("wrote %d, %v", n, err)
	}
	w.Close()
	if out.String() != "before\n" {
		t.Errorf("the output is %q", out.String())
	}
}
