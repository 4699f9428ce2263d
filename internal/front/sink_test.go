package front

import (
	"bufio"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/core/request"
)

func TestEventSinkPartialAnswerHasNoFinalMarker(t *testing.T) {
	w := httptest.NewRecorder()
	s := &eventSink{w: w, meta: answerMeta{id: "r1", model: "m"}}
	if err := s.token("half"); err != nil {
		t.Fatal(err)
	}
	s.refuse(failedRefusal(request.CodeUpstreamFailed, 0, "the engine is gone"))
	body := w.Body.String()
	if strings.Contains(body, "[DONE]") || strings.Contains(body, `"finish_reason":"length"`) {
		t.Errorf("a partial answer looks complete:\n%s", body)
	}
	if !strings.Contains(body, `"outcome":"failed"`) {
		t.Errorf("the stream does not report its outcome:\n%s", body)
	}
}

func TestEventSinkRefusalBeforeFirstToken(t *testing.T) {
	w := httptest.NewRecorder()
	s := &eventSink{w: w, meta: answerMeta{id: "r1"}}
	s.refuse(request.Refuse(request.CodeQueueFull, 1500*time.Millisecond, "full"))
	if w.Code != http.StatusTooManyRequests || w.Header().Get(headerRetryAfter) != "2" || w.Header().Get(headerRetryAfterMs) != "1500" {
		t.Errorf("status %d, headers %v", w.Code, w.Header())
	}
	var body struct {
		Error struct{ Outcome, Code string }
	}
	if err := json.Unmarshal(w.Body.Bytes(), &body); err != nil || body.Error.Outcome != "not_run" {
		t.Errorf("body %s, %v", w.Body, err)
	}
}

// TestShouldRetryHeader checks that clients are told not to retry requests that may have
// run. The usual OpenAI clients obey this header.
func TestShouldRetryHeader(t *testing.T) {
	cases := []struct {
		refusal *request.Refusal
		want    string
	}{
		{request.Refuse(request.CodeNoUpstream, time.Second, "x"), ""},
		{request.Refuse(request.CodeNeverPossible, 0, "x"), "false"},
		{failedRefusal(request.CodeUpstreamFailed, time.Second, "x"), "false"},
		{&request.Refusal{Outcome: request.Unknown, Code: request.CodeOutcomeLost, RetryAfter: time.Second}, "false"},
	}
	for _, c := range cases {
		w := httptest.NewRecorder()
		writeRefusal(w, "r1", c.refusal)
		if got := w.Header().Get(headerShouldRetry); got != c.want {
			t.Errorf("%v: %s is %q, want %q", c.refusal, headerShouldRetry, got, c.want)
		}
	}
}

func TestRefusalStatusByOutcome(t *testing.T) {
	cases := map[request.Outcome]int{
		request.NotRun:  http.StatusServiceUnavailable,
		request.Failed:  http.StatusBadGateway,
		request.Unknown: http.StatusBadGateway,
	}
	for outcome, want := range cases {
		r := &request.Refusal{Outcome: outcome, Code: request.CodeNoUpstream}
		if got := status(r); got != want {
			t.Errorf("%s: status %d, want %d", outcome, got, want)
		}
	}
}

func TestSlowReaderIsDisconnected(t *testing.T) {
	ended := make(chan error, 1)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		s := &eventSink{w: w, meta: answerMeta{id: "r1", writeTimeout: 50 * time.Millisecond}}
		text := strings.Repeat("x", 64<<10)
		for {
			if err := s.token(text); err != nil {
				ended <- err
				return
			}
		}
	}))
	defer srv.Close()
	conn, err := net.Dial("tcp", strings.TrimPrefix(srv.URL, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: d\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	if err := <-ended; !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("ended by %v, want the write deadline", err)
	}
}

// TestJSONAnswerHasALength guards against an answer that breaks off and looks whole to a caller of HTTP/1.0, which knows
// no chunks.
func TestJSONAnswerHasALength(t *testing.T) {
	text := strings.Repeat("token ", 10_000)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		s := &jsonSink{w: w, meta: answerMeta{id: "r1", writeTimeout: time.Second}}
		_ = s.token(text)
		_ = s.finish(1)
	}))
	defer server.Close()
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := io.WriteString(conn, "GET / HTTP/1.0\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	if body, err := io.ReadAll(res.Body); err != nil || res.ContentLength != int64(len(body)) || len(body) < len(text) {
		t.Errorf("length %d, %d bytes, %v", res.ContentLength, len(body), err)
	}
}
