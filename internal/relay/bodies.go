package relay

import (
	"io"

	"github.com/VictoriaMetrics/metrics"
	"github.com/ansel1/merry/v2"

	"github.com/buckthorndock/buckthorndock/internal/inbound"
)

var (
	// ErrBodyTooLarge is returned for a body with more bytes than a caller may send.
	ErrBodyTooLarge = merry.Sentinel("the body is too large")
	// ErrBodiesFull is returned if the bodies of the requests in progress use all the memory
	// allowed.
	ErrBodiesFull = merry.Sentinel("no memory is left for bodies of requests")
)

var bodiesRefused = metrics.GetOrCreateCounter(`buckthorndock_bodies_refused_total`)

// BodyMemory bounds the memory of request bodies, each of which is held until its request
// has ended: callers and upstreams may be slow. It is safe for concurrent use.
type BodyMemory struct{ *inbound.Memory }

// NewBodyMemory returns a BodyMemory with the given capacity in bytes.
func NewBodyMemory(capacity int64) *BodyMemory {
	return &BodyMemory{inbound.NewMemory("requests", capacity)}
}

// initialBodyBuffer is the size in bytes of the first buffer for a body of unknown length.
const initialBodyBuffer = 4 << 10

// Read reads a whole body. length is the announced length, -1 if unknown; limit bounds it in
// bytes, zero means no limit. The function that it returns releases the memory and must be
// called after an error as well.
func (b *BodyMemory) Read(r io.Reader, length, limit int64) (body []byte, free func(), err error) {
	share := b.Share()
	free = share.Release
	if limit > 0 && length > limit {
		return nil, free, merry.Wrap(ErrBodyTooLarge)
	}
	size := length
	if length < 0 {
		size = initialBodyBuffer
	}
	for {
		if !share.Grow(size) {
			bodiesRefused.Inc()
			return nil, free, merry.Wrap(ErrBodiesFull)
		}
		grown := make([]byte, size)
		n := copy(grown, body)
		more, ended, err := fill(r, grown[n:])
		body = grown[:n+more]
		switch {
		case err != nil:
			return nil, free, err
		case ended && length >= 0 && int64(len(body)) < length:
			return nil, free, io.ErrUnexpectedEOF
		case limit > 0 && int64(len(body)) > limit:
			return nil, free, merry.Wrap(ErrBodyTooLarge)
		case ended, length >= 0:
			return body, free, nil
		}
		size *= 2
	}
}

// fill reads until p is full or the body has ended. A body that is cut off gives an error, which may be
// io.ErrUnexpectedEOF; it is not the end.
func fill(r io.Reader, p []byte) (n int, ended bool, err error) {
	for n < len(p) {
		more, err := r.Read(p[n:])
		n += more
		if err == io.EOF {
			return n, true, nil
		}
		if err != nil {
			return n, false, err
		}
	}
	return n, false, nil
}
