package upstream

import (
	"context"
	"net/http"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/core/notice"
)

// headerBackOff has the seconds for which an upstream wants nothing from the host that it
// turns away. The API's own types do not show it.
const headerBackOff = "Retry-After"

type backOffKey struct{}

// withBackOff returns a context with which the transport notes what the answer asks for.
func withBackOff(ctx context.Context) (context.Context, *time.Duration) {
	span := new(time.Duration)
	return context.WithValue(ctx, backOffKey{}, span), span
}

// backOffNoter is a transport that notes the back-offs which answers ask for.
type backOffNoter struct{ http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (n backOffNoter) RoundTrip(req *http.Request) (*http.Response, error) {
	res, err := n.RoundTripper.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	span, wanted := req.Context().Value(backOffKey{}).(*time.Duration)
	turnedAway := res.StatusCode == http.StatusServiceUnavailable || res.StatusCode == http.StatusTooManyRequests
	if wanted && turnedAway {
		*span = notice.ParseBackOff(res.Header.Get(headerBackOff))
	}
	return res, nil
}
