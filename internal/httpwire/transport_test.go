package httpwire

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// plainConn hides that a connection is a socket, like one through another daemon.
type plainConn struct{ net.Conn }

// keptClient returns a client over kept connections, of which direct tells whether they are sockets.
func keptClient(direct bool) (*http.Client, *Pool) {
	dial := NewDialer(DialOptions{UserTimeout: time.Second, ProbeIdle: time.Second, ProbeInterval: time.Second, ProbeCount: 2})
	p := NewPool(Options{
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			c, err := dial(ctx, address)
			if err == nil && !direct {
				c = plainConn{c}
			}
			return c, err
		},
		DialTimeout: time.Second, MaxIdle: 1, IdleTimeout: time.Minute, CheckByRead: true,
	})
	return &http.Client{Transport: Transport{Pool: p, Reuse: true}}, p
}

func getBody(t *testing.T, c *http.Client, address string) (string, error) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+address+"/x", nil)
	if err != nil {
		t.Fatal(err)
	}
	res, err := c.Do(req)
	if err != nil {
		return "", err
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	return string(body), err
}

// TestTransportKeepsSoundConnections covers connections that are used again, directly or through another daemon, and
// those that are not: after extra bytes, and after the upstream has closed them.
func TestTransportKeepsSoundConnections(t *testing.T) {
	const extra = wholeAnswer + "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra"
	for name, c := range map[string]struct {
		answer string
		keeps  bool // the server does
		conns  int64
	}{
		"sound":       {wholeAnswer, true, 1},
		"extra bytes": {extra, true, 3},
		"closed":      {wholeAnswer, false, 3},
	} {
		for _, direct := range []bool{true, false} {
			srv := newScriptedServer(t, func(int, int) (string, bool) { return c.answer, c.keeps })
			client, pool := keptClient(direct)
			for range 3 {
				if body, err := getBody(t, client, srv.listener.Addr().String()); err != nil || body != "ok" {
					t.Errorf("%s, direct %v: %q, %v", name, direct, body, err)
				}
				if !c.keeps { // the end takes a moment; the test's timeout bounds it
					for !pool.idleHasEnded() {
						time.Sleep(time.Millisecond)
					}
				}
			}
			if n := srv.conns.Load(); n != c.conns {
				t.Errorf("%s, direct %v: %d connections, want %d", name, direct, n, c.conns)
			}
			client.CloseIdleConnections()
			if len(pool.idle) != 0 {
				t.Error("connections are kept")
			}
		}
	}
}

// idleHasEnded reports whether the other side has ended all idle connections. It closes those.
func (p *Pool) idleHasEnded() bool {
	p.Sweep(time.Now(), func(string) bool { return true })
	return len(p.idle) == 0
}

// TestIdleConnectionsOfOthersAreSwept guards against connections to an upstream that is not asked any more, which
// stay open for ever.
func TestIdleConnectionsOfOthersAreSwept(t *testing.T) {
	srv := newScriptedServer(t, func(int, int) (string, bool) { return wholeAnswer, true })
	other := newScriptedServer(t, func(int, int) (string, bool) { return wholeAnswer, true })
	client, pool := keptClient(true)
	for _, s := range []*scriptedServer{other, srv} {
		if _, err := getBody(t, client, s.listener.Addr().String()); err != nil {
			t.Fatal(err)
		}
	}
	expired := time.Now().Add(-time.Second)
	pool.idle[other.listener.Addr().String()][0].expires = expired
	pool.swept = expired.Add(-pool.opts.IdleTimeout)
	if _, err := getBody(t, client, srv.listener.Addr().String()); err != nil || len(pool.idle) != 1 {
		t.Errorf("%v, connections to %d upstreams are kept", err, len(pool.idle))
	}
}
