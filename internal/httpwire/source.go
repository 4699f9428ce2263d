package httpwire

import (
	"io"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
	"github.com/ansel1/merry/v2"

	"github.com/buckthorndock/buckthorndock/internal/inbound"
)

// Memory that a head takes is estimated by its bytes and headLineBytes for each of its lines, which is
// what a short field takes in an http.Header.
const (
	headLineBytes = 128
	maxHeadBytes  = 64 << 10 // of one head, with the interim responses before it
	freeHeadBytes = 8 << 10  // not counted; few heads take more
)

var (
	headBytesReceived = metrics.GetOrCreateCounter(`buckthorndock_upstream_received_bytes_total{part="head"}`)
	bodyBytesReceived = metrics.GetOrCreateCounter(`buckthorndock_upstream_received_bytes_total{part="body"}`)
	headsTooLong      = metrics.GetOrCreateCounter(`buckthorndock_heads_rejected_total{why="too_long"}`)
	headsWithoutSpace = metrics.GetOrCreateCounter(`buckthorndock_heads_rejected_total{why="no_memory"}`)

	unfinishedHeads atomic.Int64 // bytes received of heads whose end has not come yet
)

func init() {
	metrics.GetOrCreateGauge("buckthorndock_unfinished_heads_bytes", func() float64 { return float64(unfinishedHeads.Load()) })
}

// source reads the bytes of a connection and bounds those of a head: net/http's functions collect one
// without a limit.
type source struct {
	r      io.Reader
	memory *inbound.Memory

	inHead bool
	head   headSize
	share  *inbound.Share // of the head of the present exchange
}

// headSize is the size of a head as far as it has come.
type headSize struct {
	bytes      int64
	lines      int64
	lineLength int64 // of the last line, without its end
	ended      bool  // the empty line has come
}

// add counts the bytes of p that belong to the head.
func (h *headSize) add(p []byte) {
	for _, c := range p {
		if h.ended {
			return
		}
		h.bytes++
		switch c {
		case '\n':
			h.lines++
			h.ended = h.lineLength == 0
			h.lineLength = 0
		case '\r':
		default:
			h.lineLength++
		}
	}
}

// memory returns an estimate of the bytes that the head takes.
func (h *headSize) memory() int64 { return h.bytes + headLineBytes*h.lines }

func newSource(r io.Reader, m *inbound.Memory) *source {
	return &source{r: r, memory: m, share: m.Share()}
}

// beginHead starts an exchange: what is read next is the head of an answer.
func (s *source) beginHead() { s.inHead, s.head = true, headSize{} }

// nextHead follows an interim response. buffered was read with it, and begins another head.
func (s *source) nextHead(buffered []byte) error {
	s.head.ended = false
	return s.count(buffered)
}

// endHead ends the head. Its memory is counted until release is called.
func (s *source) endHead() {
	s.inHead = false
	unfinishedHeads.Add(-s.head.bytes)
}

// release returns the memory of the head.
func (s *source) release() { s.share.Release() }

// Read implements io.Reader. The errors of a head are those of count.
func (s *source) Read(p []byte) (int, error) {
	n, err := s.r.Read(p)
	if !s.inHead {
		bodyBytesReceived.Add(n)
		return n, err
	}
	headBytesReceived.Add(n)
	if headErr := s.count(p[:n]); headErr != nil {
		return 0, headErr
	}
	return n, err
}

// count counts what has been received while a head is read. The error wraps inbound.ErrTooLong or
// inbound.ErrNoMemory.
func (s *source) count(p []byte) error {
	before := s.head.bytes
	s.head.add(p)
	unfinishedHeads.Add(s.head.bytes - before)
	size := s.head.memory()
	if size > maxHeadBytes {
		headsTooLong.Inc()
		return merry.Wrap(inbound.ErrTooLong, merry.AppendMessagef("the head of the answer takes more than %d bytes", maxHeadBytes))
	}
	if size > freeHeadBytes && !s.share.Grow(size) {
		headsWithoutSpace.Inc()
		return merry.Wrap(inbound.ErrNoMemory, merry.AppendMessage("for the head of the answer"))
	}
	return nil
}
