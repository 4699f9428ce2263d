package httpwire

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"sync/atomic"
	"testing"
	"time"
)

// scriptedServer answers each request with the bytes of a script, which also says
// whether the connection stays open.
type scriptedServer struct {
	listener net.Listener
	requests atomic.Int64
	conns    atomic.Int64
}

// newScriptedServer starts a server that answers request n of connection k, both
// counted from 0, by script(k, n). If keepOpen is false, it closes the connection
// after the answer.
func newScriptedServer(t *testing.T, script func(conn, request int) (answer string, keepOpen bool)) *scriptedServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &scriptedServer{listener: l}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			k := int(p.conns.Add(1)) - 1
			go p.serve(c, k, script)
		}
	}()
	return p
}

func (p *scriptedServer) serve(c net.Conn, k int, script func(int, int) (string, bool)) {
	defer c.Close()
	br := bufio.NewReader(c)
	for n := 0; ; n++ {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		p.requests.Add(1)
		answer, keepOpen := script(k, n)
		if _, err := io.WriteString(c, answer); err != nil || !keepOpen {
			return
		}
	}
}

func newTestPool() *Pool {
	return NewPool(Options{
		Dial:        NewDialer(DialOptions{UserTimeout: time.Second, ProbeIdle: time.Second, ProbeInterval: time.Second, ProbeCount: 2}),
		DialTimeout: time.Second, MaxIdle: 2, IdleTimeout: time.Minute, IdleMargin: 500 * time.Millisecond,
	})
}

func get() *http.Request {
	return &http.Request{Method: http.MethodGet, URL: &url.URL{Opaque: "/x?y=1"}, Host: "h", Header: http.Header{}}
}

const wholeAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// exchange sends a request and returns the answer's body.
func exchange(t *testing.T, p *Pool, address string, fresh bool) (string, error) {
	t.Helper()
	a, err := p.Do(t.Context(), address, get(), fresh)
	if err != nil {
		return "", err
	}
	defer a.Close()
	body, err := io.ReadAll(a)
	return string(body), err
}

func TestConnectionIsKeptAfterAWholeAnswer(t *testing.T) {
	srv := newScriptedServer(t, func(int, int) (string, bool) { return wholeAnswer, true })
	p := newTestPool()
	for range 3 {
		if body, err := exchange(t, p, srv.listener.Addr().String(), false); err != nil || body != "ok" {
			t.Fatal(body, err)
		}
	}
	if n := srv.conns.Load(); n != 1 {
		t.Errorf("%d connections", n)
	}
	if _, err := exchange(t, p, srv.listener.Addr().String(), true); err != nil || srv.conns.Load() != 2 {
		t.Errorf("request on a fresh connection: %v, %d connections", err, srv.conns.Load())
	}
}

func TestRequestIsNeverResent(t *testing.T) {
	// The server reads the second request of a connection and closes it unanswered.
	srv := newScriptedServer(t, func(_, n int) (string, bool) {
		if n == 0 {
			return wholeAnswer, true
		}
		return "", false
	})
	p := newTestPool()
	if _, err := exchange(t, p, srv.listener.Addr().String(), false); err != nil {
		t.Fatal(err)
	}
	_, err := exchange(t, p, srv.listener.Addr().String(), false)
	if !errors.Is(err, ErrBroken) {
		t.Errorf("got %v", err)
	}
	if n := srv.requests.Load(); n != 2 {
		t.Errorf("the server has read %d requests, want 2", n)
	}
}

func TestUnreusableConnectionIsClosed(t *testing.T) {
	answers := map[string]string{
		"bytes after the answer": wholeAnswer + "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra",
		"asks to close":          "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok",
		"too short an idle time": "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=0\r\nContent-Length: 2\r\n\r\nok",
	}
	for name, text := range answers {
		srv := newScriptedServer(t, func(int, int) (string, bool) { return text, true })
		p := newTestPool()
		for range 2 {
			if body, err := exchange(t, p, srv.listener.Addr().String(), false); err != nil || body != "ok" {
				t.Fatalf("%s: %q, %v", name, body, err)
			}
		}
		if n := srv.conns.Load(); n != 2 {
			t.Errorf("%s: %d connections for 2 requests", name, n)
		}
	}
}

func TestUnreadBodyEndsTheConnection(t *testing.T) {
	srv := newScriptedServer(t, func(int, int) (string, bool) { return wholeAnswer, true })
	p := newTestPool()
	a, err := p.Do(t.Context(), srv.listener.Addr().String(), get(), false)
	if err != nil {
		t.Fatal(err)
	}
	a.Close()
	if _, err := exchange(t, p, srv.listener.Addr().String(), false); err != nil || srv.conns.Load() != 2 {
		t.Errorf("%v, %d connections", err, srv.conns.Load())
	}
}

func TestTruncatedAnswerReturnsError(t *testing.T) {
	for name, text := range map[string]string{
		"length":  "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nok",
		"chunked": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
	} {
		srv := newScriptedServer(t, func(int, int) (string, bool) { return text, false })
		if body, err := exchange(t, newTestPool(), srv.listener.Addr().String(), false); err == nil {
			t.Errorf("%s: truncated body %q without an error", name, body)
		}
	}
}

func TestAnswerWithoutLengthEndsWithItsConnection(t *testing.T) {
	srv := newScriptedServer(t, func(int, int) (string, bool) { return "HTTP/1.1 200 OK\r\n\r\nok", false })
	if body, err := exchange(t, newTestPool(), srv.listener.Addr().String(), false); err != nil || body != "ok" {
		t.Errorf("%q, %v", body, err)
	}
}

func TestInterimResponsesAreSkipped(t *testing.T) {
	srv := newScriptedServer(t, func(int, int) (string, bool) { return "HTTP/1.1 100 Continue\r\n\r\n" + wholeAnswer, true })
	if body, err := exchange(t, newTestPool(), srv.listener.Addr().String(), false); err != nil || body != "ok" {
		t.Errorf("%q, %v", body, err)
	}
}

func TestRefusedConnectionIsNotSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	l.Close()
	if _, err := exchange(t, newTestPool(), address, false); !errors.Is(err, ErrNotSent) {
		t.Errorf("got %v", err)
	}
}

func TestContextEndsAnExchange(t *testing.T) {
	srv := newScriptedServer(t, func(int, int) (string, bool) { return "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nok", true })
	ctx, cancel := context.WithCancel(t.Context())
	a, err := newTestPool().Do(ctx, srv.listener.Addr().String(), get(), false)
	if err != nil {
		t.Fatal(err)
	}
	defer a.Close()
	cancel()
	if _, err := io.ReadAll(a); err == nil {
		t.Error("the body ended without an error")
	}
}

func TestPathIsSentUnchanged(t *testing.T) {
	got := make(chan string, 1)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		text, _ := bufio.NewReader(c).ReadString('\n')
		got <- text
		_, _ = io.WriteString(c, wholeAnswer)
	}()
	req := get()
	req.URL.Opaque = "/a%2Fb/%zz?q=%20&&"
	a, err := newTestPool().Do(t.Context(), l.Addr().String(), req, false)
	if err != nil {
		t.Fatal(err)
	}
	a.Close()
	if line := <-got; line != "GET /a%2Fb/%zz?q=%20&& HTTP/1.1\r\n" {
		t.Errorf("sent %q", line)
	}
}

func TestSweepClosesConnectionsOfUnlistedAddresses(t *testing.T) {
	srv := newScriptedServer(t, func(int, int) (string, bool) { return wholeAnswer, true })
	p := newTestPool()
	address := srv.listener.Addr().String()
	if _, err := exchange(t, p, address, false); err != nil {
		t.Fatal(err)
	}
	p.Sweep(time.Now(), func(string) bool { return true })
	if len(p.idle[address]) != 1 {
		t.Fatal("a kept connection was closed too early")
	}
	p.Sweep(time.Now(), func(string) bool { return false })
	if len(p.idle) != 0 {
		t.Error("a connection to an unlisted address is kept")
	}
}

// TestSweepClosesConnectionsWithUnreadBytes guards against bytes that a faulty upstream sends on an idle
// connection, and that wait in the kernel until it is used again.
func TestSweepClosesConnectionsWithUnreadBytes(t *testing.T) {
	answered := make(chan struct{})
	srv := newScriptedServer(t, func(int, int) (string, bool) { return wholeAnswer, true })
	extra := newExtraServer(t, answered)
	p := newTestPool()
	for _, address := range []string{srv.listener.Addr().String(), extra} {
		if _, err := exchange(t, p, address, false); err != nil {
			t.Fatal(err)
		}
	}
	close(answered)
	for len(p.idle[extra]) > 0 { // the bytes take a moment; the test's timeout bounds it
		p.Sweep(time.Now(), func(string) bool { return true })
		time.Sleep(time.Millisecond)
	}
	if len(p.idle[srv.listener.Addr().String()]) != 1 {
		t.Error("a sound connection was closed")
	}
}

// newExtraServer starts a server that answers one request, and sends more bytes once answered is closed.
func newExtraServer(t *testing.T, answered <-chan struct{}) (address string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		_, _ = c.Read(make([]byte, 1<<10))
		_, _ = io.WriteString(c, wholeAnswer)
		<-answered
		for err == nil {
			_, err = io.WriteString(c, "extra")
		}
	}()
	return l.Addr().String()
}
