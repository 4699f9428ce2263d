package front

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/shutdown"
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

	mu          sync.Mutex
	ended       bool // nothing more is to be read
	interrupted bool // the daemon shuts down, and it had not ended
}

// newPacedBody returns the paced body of a request. If the daemon shuts down before the body has
// arrived, reading it fails with shutdown.ErrLeaving. release must be called when the request has ended.
func newPacedBody(w http.ResponseWriter, body io.ReadCloser, c *shutdown.Control) (b *pacedBody, release func()) {
	b = &pacedBody{ReadCloser: body, control: http.NewResponseController(w), started: time.Now()}
	stop := c.AfterSending(b.interrupt)
	return b, func() { stop() }
}

// interrupt ends a read in progress, unless the body has ended: from then on, reads only detect
// whether the caller is still connected.
func (b *pacedBody) interrupt() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.ended {
		b.interrupted = true
		b.setReadDeadline(time.Now())
	}
}

// Read implements io.Reader.
func (b *pacedBody) Read(p []byte) (int, error) {
	if !b.begin() {
		return 0, shutdown.ErrLeaving
	}
	n, err := b.ReadCloser.Read(p)
	b.read += int64(n)
	if err != nil && !b.end() {
		return 0, shutdown.ErrLeaving
	}
	if errors.Is(err, io.EOF) {
		// Further reads only detect whether the caller is still connected.
		b.setReadDeadline(time.Time{})
	}
	return n, err
}

// begin sets the deadline of a read. It returns false if nothing is to be read any more.
func (b *pacedBody) begin() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.interrupted {
		return false
	}
	sendTime := time.Duration(b.read) * time.Second / bodyMinRate
	b.setReadDeadline(b.started.Add(bodyGrace + sendTime))
	return true
}

// end records that the body has ended. It returns false if it was interrupted before.
func (b *pacedBody) end() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ended = !b.interrupted
	return b.ended
}

// setReadDeadline sets the connection's read deadline. It has no effect on writers
// without deadlines, as in tests.
func (b *pacedBody) setReadDeadline(t time.Time) { _ = b.control.SetReadDeadline(t) }
