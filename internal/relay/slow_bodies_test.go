package relay

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// heldBody is a body of which start comes at once and nothing else until it is interrupted.
type heldBody struct {
	start       io.Reader
	interrupted chan struct{}
}

func newHeldBody(start string) *heldBody {
	return &heldBody{start: strings.NewReader(start), interrupted: make(chan struct{})}
}

// Read implements io.Reader.
func (h *heldBody) Read(p []byte) (int, error) {
	if n, err := h.start.Read(p); err == nil {
		return n, nil
	}
	<-h.interrupted
	return 0, io.ErrUnexpectedEOF
}

func (h *heldBody) body(length int64) Body {
	return Body{Reader: h, Length: length, Interrupt: func() { close(h.interrupted) }}
}

// TestBodiesThatDoNotArriveGiveWay guards against clients that announce bodies, or hold them just before
// their end, until no memory is left for those of others.
func TestBodiesThatDoNotArriveGiveWay(t *testing.T) {
	for name, start := range map[string]string{"announced only": "", "all but the last byte": strings.Repeat("x", 999)} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const size, held = 1000, 3
				b := NewBodyMemory(held * size)
				results := make(chan error, held)
				for range held {
					h := newHeldBody(start)
					go func() {
						_, free, err := b.ReadBody(h.body(size), 0)
						free()
						results <- err
					}()
					time.Sleep(time.Millisecond)
				}
				read := func() error {
					_, free, err := b.Read(strings.NewReader("ab"), 2, 0)
					free()
					return err
				}
				if err := read(); !errors.Is(err, ErrBodiesFull) {
					t.Errorf("beside bodies that have just begun: %v", err)
				}
				time.Sleep(2 * slowBodyAge)
				if err := read(); err != nil {
					t.Errorf("beside bodies that do not arrive: %v", err)
				}
				if err := <-results; !errors.Is(err, ErrBodiesFull) {
					t.Errorf("the body that gave way: %v", err)
				}
				if n := b.reading.Len(); n != held-1 {
					t.Errorf("%d bodies are left of %d", n, held)
				}
				b.mu.Lock()
				for e := b.reading.Front(); e != nil; e = e.Next() {
					e.Value.(*unfinishedBody).interrupt()
				}
				b.mu.Unlock()
				for range held - 1 {
					<-results
				}
				if b.Held() != 0 {
					t.Errorf("%d bytes are left", b.Held())
				}
			})
		})
	}
}
