package httpwire

import (
	"io"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
	"github.com/ansel1/merry/v2"

	"github.com/buckthorndock/buckthorndock/internal/core/answerhead"
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

	unfinishedHeads atomic.Int64 // bytes received of heads whose end has not come yet
)

func init() {
	metrics.GetOrCreateGauge("buckthorndock_unfinished_heads_bytes", func() float64 { return float64(unfinishedHeads.Load()) })
}

// source reads the bytes of a connection, and checks and bounds those of a head: net/http's functions collect
// one without a limit, and accept broken ones.
type source struct {
	r      io.Reader
	memory *inbound.Memory

	inHead bool
	head   answerhead.Checker
	before answerhead.Size // of the interim responses before the head
	share  *inbound.Share  // of the head of the present exchange
	err    error           // of the last read
}

func newSource(r io.Reader, m *inbound.Memory) *source {
	return &source{r: r, memory: m, share: m.Share()}
}

// beginHead starts an exchange: what is read next is the head of an answer.
func (s *source) beginHead() {
	s.inHead, s.head, s.before, s.err = true, answerhead.Checker{}, answerhead.Size{}, nil
}

// nextHead follows an interim response. buffered was read with it, and begins another head.
func (s *source) nextHead(buffered []byte) error {
	s.before = s.headSize()
	s.head = answerhead.Checker{}
	return s.check(buffered)
}

// headSize returns the size of the head, with the interim responses before it.
func (s *source) headSize() answerhead.Size {
	size := s.head.Size()
	return answerhead.Size{Bytes: s.before.Bytes + size.Bytes, Lines: s.before.Lines + size.Lines}
}

// endHead ends the head. Its memory is counted until release is called.
func (s *source) endHead() {
	s.inHead = false
	unfinishedHeads.Add(-s.headSize().Bytes)
}

// release returns the memory of the head.
func (s *source) release() { s.share.Release() }

// Read implements io.Reader. The errors of a head are those of check.
func (s *source) Read(p []byte) (int, error) {
	n, err := s.r.Read(p)
	s.err = err
	if !s.inHead {
		bodyBytesReceived.Add(n)
		return n, err
	}
	headBytesReceived.Add(n)
	if headErr := s.check(p[:n]); headErr != nil {
		s.err = headErr
		return 0, headErr
	}
	return n, err
}

// check checks and counts what has been received while a head is read. The error wraps inbound.ErrTooLong or
// inbound.ErrNoMemory, or is an *answerhead.Error.
func (s *source) check(p []byte) error {
	n, err := s.head.Add(p)
	unfinishedHeads.Add(int64(n))
	if err != nil {
		return err
	}
	size := s.headSize()
	memory := size.Bytes + headLineBytes*size.Lines
	if memory > maxHeadBytes {
		return merry.Wrap(inbound.ErrTooLong, merry.AppendMessagef("the head of the answer takes more than %d bytes", maxHeadBytes))
	}
	if memory > freeHeadBytes && !s.share.Grow(memory) {
		return merry.Wrap(inbound.ErrNoMemory, merry.AppendMessage("for the head of the answer"))
	}
	return nil
}
