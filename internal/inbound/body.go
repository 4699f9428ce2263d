package inbound

import (
	"io"

	"github.com/ansel1/merry/v2"
)

// BodyLimits bound a body that is read whole before it is used.
type BodyLimits struct {
	Bytes int64 // at most
	Free  int64 // bytes that are not counted
	// Factor is the memory that a byte of the body takes, with the copies that its decoding makes.
	Factor int64
}

// LimitBody returns a body whose reads fail once it exceeds its limits. Its memory is counted until
// it is closed. The errors wrap ErrTooLong or ErrNoMemory.
func LimitBody(body io.ReadCloser, m *Memory, l BodyLimits) io.ReadCloser {
	return &limitedBody{ReadCloser: body, share: m.Share(), limits: l}
}

type limitedBody struct {
	io.ReadCloser
	share  *Share
	limits BodyLimits
	read   int64
}

// Read implements io.Reader.
func (b *limitedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.read += int64(n)
	if b.read > b.limits.Bytes {
		return 0, merry.Wrap(ErrTooLong, merry.AppendMessagef("a body of more than %d bytes", b.limits.Bytes))
	}
	if b.read > b.limits.Free && !b.share.Grow(b.read*b.limits.Factor) {
		return 0, merry.Wrap(ErrNoMemory)
	}
	return n, err
}

// Close implements io.Closer.
func (b *limitedBody) Close() error {
	b.share.Release()
	return b.ReadCloser.Close()
}
