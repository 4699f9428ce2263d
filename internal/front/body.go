package front

import (
	"errors"
	"io"
	"net/http"
	"time"
)

// Minimum rate at which a caller must send its body.
const (
	bodyGrace   = 10 * time.Second // allowed in addition
	bodyMinRate = 4 << 10          // bytes per second
)

// pacedBody sets read deadlines so that a body that arrives too slowly fails to be
// read, instead of holding its connection indefinitely.
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
	sendTime := time.Duration(b.read) * time.Second / bodyMinRate
	b.setReadDeadline(b.started.Add(bodyGrace + sendTime))
	n, err := b.ReadCloser.Read(p)
	b.read += int64(n)
	if errors.Is(err, io.EOF) {
		// Further reads only detect whether the caller is still connected.
		b.setReadDeadline(time.Time{})
	}
	return n, err
}

// setReadDeadline sets the connection's read deadline. It has no effect on writers
// without deadlines, as in tests.
func (b *pacedBody) setReadDeadline(t time.Time) { _ = b.control.SetReadDeadline(t) }
