package inbound

import "net/http"

// Transport is an http.RoundTripper that bounds the bodies of answers. Heads are bounded by the
// transport that it uses.
type Transport struct {
	http.RoundTripper
	Memory *Memory
	Limits BodyLimits
	// IsStream reports whether a body is read piece by piece, so that its length does not matter. If
	// nil, none is.
	IsStream func(*http.Response) bool
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	res, err := t.RoundTripper.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	if t.IsStream == nil || !t.IsStream(res) {
		res.Body = LimitBody(res.Body, t.Memory, t.Limits)
	}
	return res, nil
}

// CloseIdleConnections closes the idle connections of the transport that t uses.
func (t *Transport) CloseIdleConnections() {
	if c, ok := t.RoundTripper.(interface{ CloseIdleConnections() }); ok {
		c.CloseIdleConnections()
	}
}
