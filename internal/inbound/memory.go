package inbound

import (
	"fmt"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
	"github.com/ansel1/merry/v2"
)

var (
	// ErrTooLong is wrapped by the errors of reading something that is longer than its own limit.
	ErrTooLong = merry.Sentinel("too long")
	// ErrNoMemory is wrapped by the errors of reading something while other exchanges use all the
	// memory allowed.
	ErrNoMemory = merry.Sentinel("no memory is left for what others send")
)

// Memory bounds the memory for one use, of all exchanges together. It is safe for concurrent use.
// A nil Memory grants everything.
type Memory struct {
	capacity int64 // bytes
	held     atomic.Int64
	refused  *metrics.Counter
}

// NewMemory returns a Memory with a capacity in bytes. Its metrics are labelled with the use.
func NewMemory(use string, capacity int64) *Memory {
	m := &Memory{
		capacity: capacity,
		refused:  metrics.GetOrCreateCounter(fmt.Sprintf(`buckthorndock_inbound_memory_refused_total{use=%q}`, use)),
	}
	metrics.GetOrCreateGauge(fmt.Sprintf(`buckthorndock_inbound_memory_bytes{use=%q}`, use), func() float64 { return float64(m.Held()) })
	return m
}

// Held returns the number of bytes in use.
func (m *Memory) Held() int64 { return m.held.Load() }

// Share returns an empty Share.
func (m *Memory) Share() *Share { return &Share{memory: m} }

// reserve takes n bytes. It returns false if they are not available.
func (m *Memory) reserve(n int64) bool {
	if m == nil {
		return true
	}
	if m.held.Add(n) <= m.capacity {
		return true
	}
	m.held.Add(-n)
	m.refused.Inc()
	return false
}

func (m *Memory) release(n int64) {
	if m != nil {
		m.held.Add(-n)
	}
}

// Share is what one exchange holds of a Memory. It is not safe for concurrent use.
type Share struct {
	memory *Memory
	bytes  int64
}

// Grow raises the share to a number of bytes in all, unless it has as many. It returns false, and
// changes nothing, if they are not available.
func (s *Share) Grow(bytes int64) bool {
	if bytes <= s.bytes {
		return true
	}
	if !s.memory.reserve(bytes - s.bytes) {
		return false
	}
	s.bytes = bytes
	return true
}

// Shrink reduces the share to a number of bytes in all, if it has more.
func (s *Share) Shrink(bytes int64) {
	if bytes >= s.bytes {
		return
	}
	s.memory.release(s.bytes - bytes)
	s.bytes = bytes
}

// Release returns the whole share. It may be called several times.
func (s *Share) Release() { s.Shrink(0) }
