package upstream

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/core/placement"
)

// serve starts an upstream and returns its IP:port.
func serve(t testing.TB, h http.HandlerFunc) string {
	t.Helper()
	srv := httptest.NewServer(h)
	t.Cleanup(srv.Close)
	return strings.TrimPrefix(srv.URL, "http://")
}

func TestRefusedPermitWritesNothing(t *testing.T) {
	var reached atomic.Int32
	address := serve(t, func(w http.ResponseWriter, _ *http.Request) {
		reached.Add(1)
		w.WriteHeader(http.StatusInternalServerError)
	})
	c := NewClient(Options{})
	ctx := WithPermit(context.Background(), func() bool { return false })
	_, err := c.Call(ctx, address, "confirm", "r1", 1, []byte(`{}`))
	if !IsNotStarted(err) || !errors.Is(err, ErrNotPermitted) {
		t.Errorf("error %v, want one that says nothing was sent", err)
	}
	if _, err := c.Generate(ctx, address, &GenerateRequest{RequestID: "r1", Attempt: 1}); !IsNotStarted(err) {
		t.Errorf("error %v, want one that says nothing was sent", err)
	}
	if n := reached.Load(); n != 0 {
		t.Errorf("%d requests reached the upstream without a permit", n)
	}
}

func TestPermitIsRequestedAfterConnect(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	_ = l.Close() // nobody listens there now
	asked := false
	ctx := WithPermit(context.Background(), func() bool { asked = true; return true })
	_, err = NewClient(Options{}).Call(ctx, address, "confirm", "r1", 1, []byte(`{}`))
	if !IsNotStarted(err) {
		t.Errorf("error %v, want one that says nothing was sent", err)
	}
	if asked {
		t.Error("the permit was used for an upstream that cannot be reached")
	}
}

func TestAnswerOfAnotherCallIsRefused(t *testing.T) {
	address := serve(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_, _ = io.WriteString(w, `{"request_id":"r2","attempt":1,"result":{"ok":true}}`)
	})
	got, err := NewClient(Options{}).Call(context.Background(), address, "stock", "r1", 1, []byte(`{}`))
	if err == nil {
		t.Errorf("accepted another call's answer %s", got)
	}
	if IsNotStarted(err) {
		t.Error("the error says that nothing was sent")
	}
}

func TestLostAnswerIsNotProofOfNotStarted(t *testing.T) {
	address := serve(t, func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := w.(http.Hijacker).Hijack()
		if err == nil {
			_ = conn.Close()
		}
	})
	_, err := NewClient(Options{}).Call(context.Background(), address, "confirm", "r1", 1, []byte(`{}`))
	if err == nil || IsNotStarted(err) {
		t.Errorf("error %v, want one that leaves open whether it ran", err)
	}
}

func TestMalformedStreamReturnsError(t *testing.T) {
	for name, body := range map[string]string{
		"not JSON":       "milk\n",
		"too long":       strings.Repeat("x", maxChunkLine+1),
		"another type":   `{"index":"seven"}` + "\n",
		"half a line":    `{"request_id":"r1","ind`,
		"nothing at all": "",
	} {
		address := serve(t, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "application/x-ndjson")
			_, _ = io.WriteString(w, body)
		})
		s, err := NewClient(Options{}).Generate(context.Background(), address, &GenerateRequest{RequestID: "r1", Attempt: 1})
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		if chunk, err := s.Next(); err == nil {
			t.Errorf("%s: accepted %+v", name, chunk)
		}
		s.Close()
	}
}

// fakeSink sends the states that a Watcher finds to a channel.
type fakeSink struct{ states chan string }

func TestWatcherDistinguishesDeadFromSilent(t *testing.T) {
	release := make(chan struct{})
	silent := serve(t, func(http.ResponseWriter, *http.Request) { <-release })
	t.Cleanup(func() { close(release) })
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	dead := l.Addr().String()
	_ = l.Close()
	sink := &fakeSink{states: make(chan string, 100)}
	w := NewWatcher(NewClient(Options{}), sink, WatchOptions{Interval: time.Millisecond, Timeout: 50 * time.Millisecond})
	ctx, cancel := context.WithCancel(context.Background())
	w.SetTargets(ctx, []Target{{Name: "silent", Address: silent, IsEngine: true}, {Name: "dead", Address: dead, IsEngine: true}})
	want := map[string]bool{"silent=suspect": true, "dead=dead": true}
	for len(want) > 0 {
		delete(want, <-sink.states)
	}
	cancel()
	w.Wait()
}

// ApplyReport implements Sink.
func (s *fakeSink) ApplyReport(string, placement.Report) {}

// SetState implements Sink.
func (s *fakeSink) SetState(upstream string, st placement.State) {
	select {
	case s.states <- upstream + "=" + st.String():
	default:
	}
}
