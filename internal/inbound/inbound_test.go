package inbound

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"sync"
	"testing"
)

// TestSharesStayWithinTheMemory guards against memory that is bounded for one exchange and not for all.
func TestSharesStayWithinTheMemory(t *testing.T) {
	const capacity, size = 1000, 300
	m := NewMemory("test", capacity)
	var all sync.WaitGroup
	for range 50 {
		all.Go(func() {
			for range 100 {
				s := m.Share()
				s.Grow(size / 2)
				s.Grow(size)
				if n := m.Held(); n > capacity+50*size { // of reservations that are being refused
					t.Errorf("%d bytes are held", n)
				}
				s.Shrink(1)
				s.Release()
				s.Release()
			}
		})
	}
	all.Wait()
	if n := m.Held(); n != 0 {
		t.Errorf("%d bytes are left", n)
	}
	first, second := m.Share(), m.Share()
	if !first.Grow(capacity) || second.Grow(1) || first.Grow(capacity+1) || m.Held() != capacity {
		t.Errorf("%d bytes of %d are held", m.Held(), capacity)
	}
	first.Shrink(capacity - 1)
	if !second.Grow(1) {
		t.Error("memory that was returned is not granted")
	}
}

func TestNilMemoryGrantsEverything(t *testing.T) {
	var m *Memory
	s := m.Share()
	if !s.Grow(1 << 40) {
		t.Error("not granted")
	}
	s.Release()
}

// TestBufferEndsLongLines guards against a line or an event without end that is collected whole.
func TestBufferEndsLongLines(t *testing.T) {
	const free, limit = 100, 1000
	m := NewMemory("test", 1<<20)
	b := NewBuffer(m, free, limit)
	for name, c := range map[string]struct {
		size int
		want error
	}{
		"free":    {free, nil},
		"counted": {limit, nil},
		"endless": {limit + 1, ErrTooLong},
	} {
		var err error
		for range c.size {
			if err = b.Append([]byte("x")); err != nil {
				break
			}
		}
		if !errors.Is(err, c.want) || b.Len() != min(c.size, limit) {
			t.Errorf("%s: %d bytes, %v", name, b.Len(), err)
		}
		if counted := m.Held() > 0; counted != (c.size > free) || m.Held() > limit {
			t.Errorf("%s: %d bytes are held", name, m.Held())
		}
		b.Reset()
		if n := m.Held(); n != 0 || b.Len() != 0 {
			t.Errorf("%s: %d bytes are left", name, n)
		}
	}
}

func TestBufferWithoutMemoryFails(t *testing.T) {
	m := NewMemory("test", 500)
	b := NewBuffer(m, 100, 1000)
	if err := b.Append(make([]byte, 100)); err != nil {
		t.Errorf("without counted memory: %v", err)
	}
	if err := b.Append(make([]byte, 450)); !errors.Is(err, ErrNoMemory) {
		t.Errorf("got %v", err)
	}
}

// endless is a body without end.
type endless struct{ closed bool }

func (*endless) Read(p []byte) (int, error) { return len(p), nil }

func (e *endless) Close() error {
	e.closed = true
	return nil
}

// TestBodiesWithoutEndFail guards against a body that is read whole, and has no end.
func TestBodiesWithoutEndFail(t *testing.T) {
	for name, c := range map[string]struct {
		capacity int64
		want     error
	}{
		"too long":  {1 << 20, ErrTooLong},
		"no memory": {10 << 10, ErrNoMemory},
	} {
		m := NewMemory("test", c.capacity)
		source := &endless{}
		body := LimitBody(source, m, BodyLimits{Bytes: 64 << 10, Free: 1 << 10, Factor: 2})
		if _, err := io.ReadAll(body); !errors.Is(err, c.want) {
			t.Errorf("%s: got %v", name, err)
		}
		if err := body.Close(); err != nil || !source.closed || m.Held() != 0 {
			t.Errorf("%s: closed %v, %d bytes are left", name, source.closed, m.Held())
		}
	}
}

func TestBodiesWithinTheirLimitsArrive(t *testing.T) {
	want := bytes.Repeat([]byte("z"), 64<<10)
	m := NewMemory("test", 1<<20)
	body := LimitBody(io.NopCloser(strings.NewReader(string(want))), m, BodyLimits{Bytes: int64(len(want)), Free: 1 << 10, Factor: 2})
	if got, err := io.ReadAll(body); err != nil || !bytes.Equal(got, want) || m.Held() != 2*int64(len(want)) {
		t.Errorf("%d bytes, %v, %d bytes are held", len(got), err, m.Held())
	}
	_ = body.Close()
}
