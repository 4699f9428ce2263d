package httpwire

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"net/url"
	"testing"
	"time"
)

// cuttingServer accepts connections, reads some bytes of each, sends an answer and ends the connection.
type cuttingServer struct {
	reads  int // bytes of the request
	answer string
	reset  bool // it resets the connection in place of closing it
}

// lastBytesTime is the time between the answer and a reset: a reset that follows at once may overtake
// the answer.
const lastBytesTime = 20 * time.Millisecond

func (s cuttingServer) start(t *testing.T) (address string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c.(*net.TCPConn))
		}
	}()
	return l.Addr().String()
}

func (s cuttingServer) serve(c *net.TCPConn) {
	defer c.Close()
	_, _ = io.ReadFull(c, make([]byte, s.reads))
	_, _ = io.WriteString(c, s.answer)
	if s.reset {
		time.Sleep(lastBytesTime)
		_ = c.SetLinger(0)
	}
}

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
		address := cuttingServer{reads: 100, answer: "HTTP/1.1 200 OK\r\n\r\n" + body, reset: true}.start(t)
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
