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

// peer is a server that answers each request of a connection with the next bytes of
// a script, and then does what the script says.
type peer struct {
	listener net.Listener
	requests atomic.Int64
	conns    atomic.Int64
}

// newPeer answers the n-th request of the k-th connection by script(k, n); false ends
// the connection after the bytes.
func newPeer(t *testing.T, script func(conn, request int) (answer string, goOn bool)) *peer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &peer{listener: l}
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

func (p *peer) serve(c net.Conn, k int, script func(int, int) (string, bool)) {
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
		answer, goOn := script(k, n)
		if _, err := io.WriteString(c, answer); err != nil || !goOn {
			return
		}
	}
}

func newTestPool() *Pool {
	return NewPool(Options{
		DialTimeout: time.Second, UserTimeout: time.Second, ProbeIdle: time.Second, ProbeInterval: time.Second,
		ProbeCount: 2, MaxIdle: 2, IdleTimeout: time.Minute, IdleMargin: 500 * time.Millisecond,
	})
}

func get() *http.Request {
	return &http.Request{Method: http.MethodGet, URL: &url.URL{Opaque: "/x?y=1"}, Host: "h", Header: http.Header{}}
}

const whole = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// exchange sends a request and returns the body.
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
	srv := newPeer(t, func(int, int) (string, bool) { return whole, true })
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
		t.Errorf("a fresh one: %v, %d connections", err, srv.conns.Load())
	}
}

func TestNothingIsSentASecondTime(t *testing.T) {
	// The second request of a connection is read and the connection ends.
	srv := newPeer(t, func(_, n int) (string, bool) {
		if n == 0 {
			return whole, true
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
		t.Errorf("the server has read %d requests", n)
	}
}

func TestOddEndsAreNotKept(t *testing.T) {
	answers := map[string]string{
		"bytes after the answer": whole + "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra",
		"asks to close":          "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok",
		"too short an idle time": "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=0\r\nContent-Length: 2\r\n\r\nok",
	}
	for name, text := range answers {
		srv := newPeer(t, func(int, int) (string, bool) { return text, true })
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
	srv := newPeer(t, func(int, int) (string, bool) { return whole, true })
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

func TestCutAnswersDoNotLookWhole(t *testing.T) {
	for name, text := range map[string]string{
		"length":  "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nok",
		"chunked": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
	} {
		srv := newPeer(t, func(int, int) (string, bool) { return text, false })
		if body, err := exchange(t, newTestPool(), srv.listener.Addr().String(), false); err == nil {
			t.Errorf("%s: %q looks whole", name, body)
		}
	}
}

func TestAnswerWithoutLengthEndsWithItsConnection(t *testing.T) {
	srv := newPeer(t, func(int, int) (string, bool) { return "HTTP/1.1 200 OK\r\n\r\nok", false })
	if body, err := exchange(t, newTestPool(), srv.listener.Addr().String(), false); err != nil || body != "ok" {
		t.Errorf("%q, %v", body, err)
	}
}

func TestInterimAnswersArePassedOver(t *testing.T) {
	srv := newPeer(t, func(int, int) (string, bool) { return "HTTP/1.1 100 Continue\r\n\r\n" + whole, true })
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
	srv := newPeer(t, func(int, int) (string, bool) { return "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nok", true })
	ctx, cancel := context.WithCancel(t.Context())
	a, err := newTestPool().Do(ctx, srv.listener.Addr().String(), get(), false)
	if err != nil {
		t.Fatal(err)
	}
	defer a.Close()
	cancel()
	if _, err := io.ReadAll(a); err == nil {
		t.Error("the body ended well")
	}
}

func TestPathIsSentAsItIs(t *testing.T) {
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
		_, _ = io.WriteString(c, whole)
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

func TestSweepClosesWhatIsOver(t *testing.T) {
	srv := newPeer(t, func(int, int) (string, bool) { return whole, true })
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
		t.Error("a connection to a server that has gone is kept")
	}
}
