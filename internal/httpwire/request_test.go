package httpwire

import (
	"bufio"
	"io"
	"net/http"
	"net/url"
	"strings"
	"testing"
)

// FuzzTargetIsWrittenAsItIs checks that any target that a caller can send is written byte for byte, and
// nothing else differs from what net/http writes.
func FuzzTargetIsWrittenAsItIs(f *testing.F) {
	for _, target := range []string{"/", "//", "//orders/7?line=1", "/a%2Fb/%zz?q=%20&&", "http://h/x", "*", "\xff"} {
		f.Add(target, "body")
	}
	f.Fuzz(func(t *testing.T, target, body string) {
		if target == "" || strings.ContainsAny(target, " \r\n") {
			return
		}
		request := func() *http.Request {
			return &http.Request{
				Method: http.MethodPost, URL: &url.URL{Path: "/"}, Host: "h", Header: http.Header{"X-A": {"b"}},
				Body: io.NopCloser(strings.NewReader(body)), ContentLength: int64(len(body)),
			}
		}
		req := request()
		req.RequestURI = target
		var got, want strings.Builder
		w := bufio.NewWriter(&got)
		if err := writeRequest(w, req); err != nil {
			t.Fatal(err)
		}
		if err := w.Flush(); err != nil {
			t.Fatal(err)
		}
		if err := request().Write(&want); err != nil {
			t.Fatal(err)
		}
		if got.String() != strings.Replace(want.String(), "POST / HTTP", "POST "+target+" HTTP", 1) {
			t.Errorf("got %q", got.String())
		}
	})
}
