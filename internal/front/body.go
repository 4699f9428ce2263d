package front

import (
	"errors"
	"io"
	"net/http"
	"time"
)

// A caller's body must come at this pace at least, after a time to begin with.
const (
	bodyGrace   = 10 * time.Second
	bodyMinRate = 4 << 10 // bytes a second
)

// pacedBody ends the reading of a body that comes too slowly, which would hold a
// connection for as long as its sender likes.
type pacedBody struct {
	io.ReadCloser
	control *http.ResponseController
	started time.Time
	read    int64
}

func newPacedBody(w http.ResponseWriter, body io.ReadCloser) *pacedBody {
	return &pacedBody{ReadCloser: body, control: http.NewResponseController(w), started: time.Now()}
}

// Read implements io.Reader.
func (b *pacedBody) Read(p []byte) (int, error) {
	earned := time.Duration(b.read) * time.Second / bodyMinRate
	b.setReadDeadline(b.started.Add(bodyGrace + earned))
	n, err := b.ReadCloser.Read(p)
	b.read += int64(n)
	if errors.Is(err, io.EOF) {
		// What is read from now on only tells whether the caller is still there.
		b.setReadDeadline(time.Time{})
	}
	return n, err
}

// setReadDeadline has no effect on writers without deadlines, as in tests.
func (b *pacedBody) setReadDeadline(t time.Time) { _ = b.control.SetReadDeadline(t) }
