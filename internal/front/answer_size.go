package front

import (
	"io"

	"github.com/ansel1/merry/v2"

	"github.com/buckthorndock/buckthorndock/internal/inbound"
)

// Sizes in bytes of the answer to one request, which is collected until it is complete.
const (
	freeAnswerBytes = 16 << 10 // of every request; what is above is counted
	maxAnswerBytes  = 8 << 20
	// answerCopies is how often an answer is in memory at its end: as it was received, as the caller's
	// document, and in the attempt's state.
	answerCopies = 3
)

// answerSize counts what is held of the answer to a request over all its attempts. It is not safe for
// concurrent use.
type answerSize struct {
	share *inbound.Share
	bytes int64
}

func newAnswerSize(m *inbound.Memory) *answerSize { return &answerSize{share: m.Share()} }

// add counts n more bytes. The error wraps inbound.ErrTooLong or inbound.ErrNoMemory.
func (a *answerSize) add(n int) error {
	a.bytes += int64(n)
	if a.bytes > maxAnswerBytes {
		return merry.Wrap(inbound.ErrTooLong, merry.AppendMessagef("an answer of more than %d bytes", maxAnswerBytes))
	}
	if a.bytes > freeAnswerBytes && !a.share.Grow(answerCopies*a.bytes) {
		return merry.Wrap(inbound.ErrNoMemory)
	}
	return nil
}

// release returns the memory. It is called when the request has ended.
func (a *answerSize) release() { a.share.Release() }

// reader returns a reader of r that counts what it reads.
func (a *answerSize) reader(r io.Reader) io.Reader { return &countedReader{r, a} }

type countedReader struct {
	io.Reader
	size *answerSize
}

// Read implements io.Reader.
func (c *countedReader) Read(p []byte) (int, error) {
	n, err := c.Reader.Read(p)
	if sizeErr := c.size.add(n); sizeErr != nil {
		return 0, sizeErr
	}
	return n, err
}
