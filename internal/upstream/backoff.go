package upstream

import (
	"context"
	"net/http"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/core/notice"
)

// headerBackOff states for how many seconds an upstream asks the host that it refuses
// to send no requests. The generated API types do not expose it.
const headerBackOff = "Retry-After"

type backOffKey struct{}

// withBackOff returns a context and the duration in which the transport stores the
// back-off that the answer requests.
func withBackOff(ctx context.Context) (context.Context, *time.Duration) {
	backOff := new(time.Duration)
	return context.WithValue(ctx, backOffKey{}, backOff), backOff
}

// backOffRecorder is a transport that stores the back-off that an answer requests in
// the request's context.
type backOffRecorder struct{ http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (n backOffRecorder) RoundTrip(req *http.Request) (*http.Response, error) {
	res, err := n.RoundTripper.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	backOff, ok := req.Context().Value(backOffKey{}).(*time.Duration)
	refused := res.StatusCode == http.StatusServiceUnavailable || res.StatusCode == http.StatusTooManyRequests
	if ok && refused {
		*backOff = notice.ParseBackOff(res.Header.Get(headerBackOff))
	}
	return res, nil
}
