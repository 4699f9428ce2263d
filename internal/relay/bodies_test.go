package relay

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/iotest"
)

// TestBodiesOfSlowRequestsStayBounded guards against memory that grows with the number of
// requests waiting for slow callers and upstreams, whose bodies are held until they end.
func TestBodiesOfSlowRequestsStayBounded(t *testing.T) {
	const size, most = 1000, 10_500
	b := NewBodyMemory(most)
	text := strings.Repeat("x", size)
	var free []func()
	held := 0
	for range 50 {
		body, done, err := b.Read(strings.NewReader(text), size, 0)
		switch {
		case errors.Is(err, ErrBodiesFull):
			done()
		case err != nil || len(body) != size:
			t.Fatalf("%d bytes, %v", len(body), err)
		default:
			held += len(body)
			free = append(free, done)
		}
	}
	if held > most || held < most-size {
		t.Errorf("%d bytes are held", held)
	}
	for _, done := range free {
		done()
	}
	if n := b.Held(); n != 0 {
		t.Errorf("%d bytes are left", n)
	}
}

// TestBodyOfUnknownLengthIsCountedAsItComes covers callers that send chunked bodies, whose
// length is not announced.
func TestBodyOfUnknownLengthIsCountedAsItComes(t *testing.T) {
	for _, size := range []int{0, 1, initialBodyBuffer - 1, initialBodyBuffer, initialBodyBuffer + 1, 10 * initialBodyBuffer} {
		want := bytes.Repeat([]byte("y"), size)
		b := NewBodyMemory(100 * initialBodyBuffer)
		got, free, err := b.Read(iotest.HalfReader(bytes.NewReader(want)), -1, 0)
		if err != nil || !bytes.Equal(got, want) || b.Held() < int64(size) {
			t.Errorf("%d bytes: got %d, %v, %d held", size, len(got), err, b.Held())
		}
		free()
		if n := b.Held(); n != 0 {
			t.Errorf("%d bytes: %d are left", size, n)
		}
		if _, free, err = b.Read(bytes.NewReader(want), -1, initialBodyBuffer); size > 2*initialBodyBuffer && !errors.Is(err, ErrBodyTooLarge) {
			t.Errorf("%d bytes over the limit: %v", size, err)
		}
		free()
	}
}

func TestIncompleteBodyIsRejected(t *testing.T) {
	b := NewBodyMemory(1000)
	if _, free, err := b.Read(strings.NewReader("abc"), 5, 0); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("got %v", err)
	} else {
		free()
	}
	if _, free, err := b.Read(strings.NewReader("abc"), 3, 2); !errors.Is(err, ErrBodyTooLarge) {
		t.Errorf("got %v", err)
	} else {
		free()
	}
	if n := b.Held(); n != 0 {
		t.Errorf("%d bytes are left", n)
	}
}

func TestConcurrentBodiesAreAccounted(t *testing.T) {
	b := NewBodyMemory(500)
	var all sync.WaitGroup
	for range 100 {
		all.Go(func() {
			_, free, _ := b.Read(strings.NewReader(strings.Repeat("z", 100)), 100, 0)
			free()
		})
	}
	all.Wait()
	if n := b.Held(); n != 0 {
		t.Errorf("%d bytes are left", n)
	}
}

// TestCutBodyOfUnknownLengthIsRejected guards against a chunked body whose caller has broken off, and that is
// taken for whole and run.
func TestCutBodyOfUnknownLengthIsRejected(t *testing.T) {
	for _, size := range []int{0, 3, initialBodyBuffer, initialBodyBuffer + 1} {
		b := NewBodyMemory(100 * initialBodyBuffer)
		body, free, err := b.Read(brokenBody(strings.Repeat("x", size)), -1, 0)
		if !errors.Is(err, io.ErrUnexpectedEOF) {
			t.Errorf("%d bytes: got %d, %v", size, len(body), err)
		}
		free()
		if n := b.Held(); n != 0 {
			t.Errorf("%d bytes: %d are left", size, n)
		}
	}
}
