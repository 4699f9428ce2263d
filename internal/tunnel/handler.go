package tunnel

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
)

// Options configure a Handler.
type Options struct {
	// Dial opens a connection to an upstream over the network, never through a tunnel. Its
	// error wraps ErrUnwilling if this daemon has lost its own path.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// DialTimeout bounds Dial.
	DialTimeout time.Duration
	// Willing reports whether tunnels to an address may be opened now.
	Willing func(address string) bool
	MaxOpen int // tunnels open at once
	Log     *logrus.Entry
}

// Handler opens tunnels for other daemons. It is safe for concurrent use.
type Handler struct {
	opts Options
	open atomic.Int64
}

// NewHandler returns a Handler.
func NewHandler(o Options) *Handler { return &Handler{opts: o} }

var (
	tunnelsOpened  = metrics.GetOrCreateCounter(`buckthorndock_tunnels_total{result="opened"}`)
	tunnelsRefused = metrics.GetOrCreateCounter(`buckthorndock_tunnels_total{result="refused"}`)
	tunnelsFailed  = metrics.GetOrCreateCounter(`buckthorndock_tunnels_total{result="failed"}`)
)

// Open returns the number of open tunnels.
func (h *Handler) Open() int { return int(h.open.Load()) }

// established is the answer to CONNECT after which the bytes of the upstream follow.
const established = "HTTP/1.1 200 OK\r\n\r\n"

// ServeHTTP serves the method CONNECT.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodConnect {
		w.WriteHeader(http.StatusMethodNotAllowed)
		return
	}
	address := r.Host
	defer h.open.Add(-1)
	if h.open.Add(1) > int64(h.opts.MaxOpen) || !h.opts.Willing(address) {
		tunnelsRefused.Inc()
		w.WriteHeader(statusUnwilling)
		return
	}
	upstream, err := h.dial(r.Context(), address)
	if err != nil {
		tunnelsFailed.Inc()
		h.opts.Log.WithError(err).WithFields(logrus.Fields{"from": r.RemoteAddr, "to": address}).Info("tunnel_failed")
		w.WriteHeader(statusOf(err))
		return
	}
	defer upstream.Close()
	client, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		h.opts.Log.WithError(err).Error("tunnel_not_taken_over")
		return
	}
	defer client.Close()
	tunnelsOpened.Inc()
	if _, err := io.WriteString(client, established); err != nil {
		return // the other daemon has closed it
	}
	carry(client, buffered, upstream)
}

func (h *Handler) dial(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, h.opts.DialTimeout)
	defer cancel()
	return h.opts.Dial(ctx, address)
}

func statusOf(err error) int {
	switch {
	case errors.Is(err, ErrUnwilling):
		return statusUnwilling
	case errors.Is(err, syscall.ECONNREFUSED):
		return statusRefused
	}
	return statusSilent
}

// Times of a tunnel whose upstream has ended its answer.
const (
	quietTime     = 20 * time.Millisecond
	longQuietTime = 250 * time.Millisecond // a client whose processor time is a quota pauses between two writes
	uploadPoll    = quietTime / 4
	// drainTime bounds how long a write may wait for the upstream, and how long the tunnel waits for the other
	// daemon to close it.
	drainTime = time.Second
)

// longUploadBytes is the size of a request that does not fit into the buffers on the way.
const longUploadBytes = 64 << 10

// carry copies bytes in both directions until either end has gone.
func carry(client net.Conn, fromClient io.Reader, upstream net.Conn) {
	up := &upload{to: upstream}
	uploaded := make(chan struct{})
	go func() {
		defer close(uploaded)
		_, _ = io.Copy(up, fromClient)
		_ = upstream.Close() // the client has gone
	}()
	if _, err := io.Copy(client, upstream); err == nil {
		endAnswer(client, up, uploaded)
	}
	_ = client.Close()
	up.interrupt()
	<-uploaded
}

// endAnswer follows the end of the upstream's answer. It is announced to the client only if the upstream has taken all
// that the client has sent: a write that fails takes the error of a reset, after which a read tells of an ordinary
// end, and an upstream that reads no more may have ended in the middle. The client closes the tunnel once it has read
// what it needs: closed with unread bytes, the connection would be reset, and what was written last lost.
func endAnswer(client net.Conn, up *upload, closed <-chan struct{}) {
	if !awaitUpload(up, closed) {
		return
	}
	announceEnd(client)
	select {
	case <-closed:
	case <-time.After(drainTime):
	}
}

// awaitUpload waits until the client sends nothing more, or has gone. It reports whether the upstream has taken
// everything.
func awaitUpload(up *upload, closed <-chan struct{}) (taken bool) {
	for {
		state := up.state(time.Now())
		if state.quiet {
			return !state.failed
		}
		if state.blocked {
			up.interrupt()
		}
		select {
		case <-closed:
			return false
		case <-time.After(uploadPoll):
		}
	}
}

// announceEnd tells the client that the upstream's answer has ended.
func announceEnd(client net.Conn) {
	if half, ok := client.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite() // a client that has gone needs no end
	}
}
