package relay

import (
	"container/list"
	"io"
	"sync"

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
// has ended: callers and upstreams may be slow. While it is full, bodies that have arrived slowly give
// way to others, the longest unfinished first. It is safe for concurrent use.
type BodyMemory struct {
	*inbound.Memory

	mu      sync.Mutex
	reading *list.List // of *unfinishedBody, the longest unfinished first
}

// NewBodyMemory returns a BodyMemory with the given capacity in bytes.
func NewBodyMemory(capacity int64) *BodyMemory {
	return &BodyMemory{Memory: inbound.NewMemory("requests", capacity), reading: list.New()}
}

// initialBodyBuffer is the size in bytes of the first buffer for a body of unknown length.
const initialBodyBuffer = 4 << 10

// Read reads a whole body. length is the announced length, -1 if unknown; limit bounds it in
// bytes, zero means no limit. The function that it returns releases the memory and must be
// called after an error as well.
func (b *BodyMemory) Read(r io.Reader, length, limit int64) (body []byte, free func(), err error) {
	return b.ReadBody(Body{Reader: r, Length: length}, limit)
}

// ReadBody is Read for a body that may be interrupted to give way to others. The error then wraps
// ErrBodiesFull.
func (b *BodyMemory) ReadBody(from Body, limit int64) (body []byte, free func(), err error) {
	u := b.begin(from.Interrupt)
	body, err = b.read(u, from, limit)
	if b.end(u) {
		body, err = nil, merry.Wrap(ErrBodiesFull, merry.AppendMessage("the body arrived slowly"))
	}
	return body, func() { b.release(u) }, err
}

func (b *BodyMemory) read(u *unfinishedBody, from Body, limit int64) (body []byte, err error) {
	length := from.Length
	if limit > 0 && length > limit {
		return nil, merry.Wrap(ErrBodyTooLarge)
	}
	size := length
	if length < 0 {
		size = initialBodyBuffer
	}
	for {
		if !b.grow(u, size) {
			bodiesRefused.Inc()
			return nil, merry.Wrap(ErrBodiesFull)
		}
		grown := make([]byte, size)
		n := copy(grown, body)
		more, ended, err := fill(from, grown[n:], func(filled int) { b.note(u, n+filled) })
		body = grown[:n+more]
		switch {
		case err != nil:
			return nil, err
		case ended && length >= 0 && int64(len(body)) < length:
			return nil, io.ErrUnexpectedEOF
		case limit > 0 && int64(len(body)) > limit:
			return nil, merry.Wrap(ErrBodyTooLarge)
		case ended, length >= 0:
			return body, nil
		}
		size *= 2
	}
}

// fill reads until p is full or the body has ended, and calls note with the bytes read so far. A body that is cut off gives an error, which may be
// io.ErrUnexpectedEOF; it is not the end.
func fill(r io.Reader, p []byte, note func(filled int)) (n int, ended bool, err error) {
	for n < len(p) {
		more, err := r.Read(p[n:])
		n += more
		note(n)
		if err == io.EOF {
			return n, true, nil
		}
		if err != nil {
			return n, false, err
		}
	}
	return n, false, nil
}
