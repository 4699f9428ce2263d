package httpwire

import (
	"bytes"
	"io"
	"net/http"
	"net/url"
	"testing"

	"github.com/buckthorndock/buckthorndock/internal/inbound/inboundtest"
)

// longPost returns a request whose body is longer than the buffers on the way.
func longPost() *http.Request {
	body := bytes.Repeat([]byte("x"), 16<<20)
	return &http.Request{
		Method: http.MethodPost, URL: &url.URL{Opaque: "/x"}, Host: "h", Header: http.Header{},
		Body: io.NopCloser(bytes.NewReader(body)), ContentLength: int64(len(body)),
	}
}

// TestResetBesideAnUnsentBodyIsNoEnd guards against an answer without a length that is taken for whole
// though its upstream has reset the connection: the failure to write the rest of the request's body
// tells of the reset, and what is read then ends as if the upstream had closed.
func TestResetBesideAnUnsentBodyIsNoEnd(t *testing.T) {
	for _, body := range []string{"", "part"} {
		address := inboundtest.ServeCut(t, inboundtest.Cut{Part: "HTTP/1.1 200 OK\r\n\r\n" + body, Reset: true, Reads: 100})
		a, err := newTestPool().Do(t.Context(), address, longPost(), true)
		if err != nil {
			continue
		}
		got, err := io.ReadAll(a)
		a.Close()
		if err == nil {
			t.Errorf("%q, then a reset, looks whole: %q", body, got)
		}
	}
}
