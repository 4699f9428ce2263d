package front

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/shutdown"
)

// TestHalfBodyIsRefusedWhenTheDaemonLeaves guards against a caller whose connection is closed without
// an answer because its body had half arrived when the daemon shut down.
func TestHalfBodyIsRefusedWhenTheDaemonLeaves(t *testing.T) {
	control := shutdown.New()
	reading := make(chan bool)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, release := newPacedBody(w, r.Body, control)
		defer release()
		_, _ = io.ReadFull(body, make([]byte, len("half")))
		close(reading)
		if _, err := io.ReadAll(body); errors.Is(err, shutdown.ErrLeaving) {
			writeRefusal(w, "r1", leavingRefusal())
		}
	}))
	defer server.Close()
	conn, err := net.Dial("tcp", strings.TrimPrefix(server.URL, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := io.WriteString(conn, "POST / HTTP/1.1\r\nHost: d\r\nContent-Length: 10\r\n\r\nhalf"); err != nil {
		t.Fatal(err)
	}
	<-reading
	control.Begin(shutdown.Times{LastSend: time.Now()})
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusServiceUnavailable || res.Header.Get(headerRetryAfter) == "" {
		t.Errorf("got %d %v", res.StatusCode, res.Header)
	}
}

// TestWholeBodyOutlivesTheLastSend guards against a request that counts as left by its caller because
// the read deadline of the shutdown ends the watch for the caller's leaving.
func TestWholeBodyOutlivesTheLastSend(t *testing.T) {
	control := shutdown.New()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, release := newPacedBody(w, r.Body, control)
		defer release()
		text, err := io.ReadAll(body)
		again, againErr := body.Read(make([]byte, 1))
		control.Begin(shutdown.Times{LastSend: time.Now(), End: time.Now().Add(time.Hour)})
		for !control.SendingEnded() {
			time.Sleep(time.Millisecond)
		}
		if string(text) != "whole" || err != nil || again != 0 || againErr != io.EOF || r.Context().Err() != nil {
			w.WriteHeader(http.StatusTeapot)
		}
	}))
	defer server.Close()
	res, err := http.Post(server.URL, "text/plain", strings.NewReader("whole"))
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		t.Errorf("got %d", res.StatusCode)
	}
}
