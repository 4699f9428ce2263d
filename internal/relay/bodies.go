package relay

import (
	"errors"
	"io"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
	"github.com/ansel1/merry/v2"
)

var (
	// ErrBodyTooLarge: the body has more bytes than a caller may send.
	ErrBodyTooLarge = merry.Sentinel("the body is too large")
	// ErrBodiesFull: the bodies of the requests in progress take all the memory that they may.
	ErrBodiesFull = merry.Sentinel("no memory is left for bodies of requests")
)

var bodiesRefused = metrics.GetOrCreateCounter(`buckthorndock_bodies_refused_total`)

// BodyMemory bounds the memory of the bodies of requests, each of which is held until its request
// has ended, and of large answers: callers and upstreams may be slow. It is safe for concurrent
// use.
type BodyMemory struct {
	most int64 // bytes
	held atomic.Int64
}

// NewBodyMemory returns Bodies that hold up to so many bytes at once.
func NewBodyMemory(most int64) *BodyMemory { return &BodyMemory{most: most} }

// take sets bytes aside; false: there are none left.
func (b *BodyMemory) take(n int64) bool {
	if b.held.Add(n) <= b.most {
		return true
	}
	b.give(n)
	return false
}

// give gives bytes back.
func (b *BodyMemory) give(n int64) { b.held.Add(-n) }

// firstRead is what a body of unknown length begins with, in bytes.
const firstRead = 4 << 10

// Read takes a whole body in. length is that which was told, -1 without one; limit bounds it,
// zero: nothing does. The function that it returns gives the memory back, also after an error.
func (b *BodyMemory) Read(r io.Reader, length, limit int64) (body []byte, free func(), err error) {
	var taken int64
	free = func() { b.give(taken) }
	if limit > 0 && length > limit {
		return nil, free, merry.Wrap(ErrBodyTooLarge)
	}
	size := length
	if length < 0 {
		size = firstRead
	}
	for {
		if !b.take(size - taken) {
			bodiesRefused.Inc()
			return nil, free, merry.Wrap(ErrBodiesFull)
		}
		taken = size
		grown := make([]byte, size)
		n := copy(grown, body)
		more, err := io.ReadFull(r, grown[n:])
		body = grown[:n+more]
		switch {
		case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
			if length >= 0 && int64(len(body)) < length {
				return nil, free, io.ErrUnexpectedEOF
			}
			if limit > 0 && int64(len(body)) > limit {
				return nil, free, merry.Wrap(ErrBodyTooLarge)
			}
			return body, free, nil
		case err != nil:
			return nil, free, err
		case length >= 0:
			return body, free, nil
		case limit > 0 && size > limit:
			return nil, free, merry.Wrap(ErrBodyTooLarge)
		}
		size *= 2
	}
}
