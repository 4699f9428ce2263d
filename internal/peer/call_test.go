package peer

import (
	"bytes"
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// isolatedOptions returns options of a node that starts no exchange.
func isolatedOptions(host string) Options {
	o := testOptions(host, "a")
	o.Interval = time.Hour
	return o
}

// TestUntrustedPeersAreRefused checks that a peer without the shared key gets no call
// through and no connection kept open, whatever it sends.
func TestUntrustedPeersAreRefused(t *testing.T) {
	server, e := startEcho(t, isolatedOptions("server"))
	o := isolatedOptions("stranger")
	o.Key = "another key, also long enough"
	stranger := newNode(t, o)
	if err := callEcho(stranger, server.Addr()); !errors.Is(err, ErrUntrustedPeer) || !NotSent(err) {
		t.Errorf("caller with another key: %v", err)
	}
	anyServer := &tls.Config{InsecureSkipVerify: true}
	for name, attempt := range map[string]func(net.Conn) net.Conn{
		"wrong key that trusts anyone": func(c net.Conn) net.Conn {
			cfg := stranger.clientTLS.Clone()
			cfg.VerifyConnection = nil
			return tls.Client(c, cfg)
		},
		"no certificate": func(c net.Conn) net.Conn { return tls.Client(c, anyServer) },
		"plain TCP":      func(c net.Conn) net.Conn { return c },
	} {
		raw, err := net.Dial("tcp", server.Addr())
		if err != nil {
			t.Fatal(err)
		}
		conn := attempt(raw)
		_, _ = conn.Write(bytes.Repeat([]byte("Echo.Say garbage "), 100))
		_ = raw.SetReadDeadline(time.Now().Add(testLimit))
		if _, err := io.Copy(io.Discard, conn); isTimeout(err) {
			t.Errorf("%s: connection left open", name)
		}
		_ = raw.Close()
	}
	if got := e.calls.Load(); got != 0 {
		t.Errorf("%d calls of untrusted peers reached net/rpc", got)
	}
	member := newNode(t, isolatedOptions("member"))
	if err := callEcho(member, server.Addr()); err != nil {
		t.Errorf("a member is refused: %v", err)
	}
}

// TestGarbageFromTrustedPeerClosesConnection checks that data which is no gob message
// costs only its connection.
func TestGarbageFromTrustedPeerClosesConnection(t *testing.T) {
	server, e := startEcho(t, isolatedOptions("server"))
	member := newNode(t, isolatedOptions("member"))
	for name, garbage := range map[string][]byte{
		"text":                  []byte(strings.Repeat("not a gob message ", 50)),
		"announced as gigantic": {0xf8, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff},
		"cut short":             {0x20, 0x01},
	} {
		raw, err := net.Dial("tcp", server.Addr())
		if err != nil {
			t.Fatal(err)
		}
		conn := tls.Client(raw, member.clientTLS)
		if _, err := conn.Write(garbage); err != nil {
			t.Fatal(err)
		}
		_ = conn.CloseWrite()
		_ = raw.SetReadDeadline(time.Now().Add(testLimit))
		if _, err := io.Copy(io.Discard, conn); isTimeout(err) {
			t.Errorf("%s: connection left open", name)
		}
		_ = raw.Close()
	}
	if err := callEcho(member, server.Addr()); err != nil {
		t.Errorf("after the garbage: %v", err)
	}
	if got := e.calls.Load(); got != 1 {
		t.Errorf("%d calls ran, want 1", got)
	}
}

func isTimeout(err error) bool {
	var n net.Error
	return errors.As(err, &n) && n.Timeout()
}

// TestSilentHandshakeTimesOut guards against connections that occupy all handshakes by
// sending nothing.
func TestSilentHandshakeTimesOut(t *testing.T) {
	o := isolatedOptions("server")
	o.HandshakeTimeout = 50 * time.Millisecond
	o.MaxHandshakes = 1
	server, _ := startEcho(t, o)
	raw, err := net.Dial("tcp", server.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer raw.Close()
	_ = raw.SetReadDeadline(time.Now().Add(testLimit))
	if _, err := raw.Read(make([]byte, 1)); err == nil || isTimeout(err) {
		t.Errorf("peer that sends nothing: %v", err)
	}
	member := newNode(t, isolatedOptions("member"))
	eventually(t, "its handshake is free again", func() bool { return callEcho(member, server.Addr()) == nil })
}

// TestSilentConnectionIsReplaced checks that the call after a timeout on a connection
// which carries no data any more dials a new one.
func TestSilentConnectionIsReplaced(t *testing.T) {
	server, e := startEcho(t, isolatedOptions("server"))
	client := newNode(t, isolatedOptions("client"))
	if err := callEcho(client, server.Addr()); err != nil {
		t.Fatal(err)
	}
	if err := server.SilenceConnections(); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	reply := "untouched"
	err := client.Call(ctx, server.Addr(), "Echo.Say", "x", &reply)
	if !errors.Is(err, context.DeadlineExceeded) || NotSent(err) {
		t.Errorf("call on a silent connection: %v", err)
	}
	if reply != "untouched" {
		t.Errorf("a failed call wrote %q", reply)
	}
	if err := callEcho(client, server.Addr()); err != nil {
		t.Errorf("call after the silence: %v", err)
	}
	if got := e.calls.Load(); got != 2 {
		t.Errorf("%d calls ran, want 2", got)
	}
}

// TestTimeoutDoesNotAffectOtherCalls checks that a call keeps its connection when
// another call on it times out.
func TestTimeoutDoesNotAffectOtherCalls(t *testing.T) {
	server, e := startEcho(t, isolatedOptions("server"))
	client := newNode(t, isolatedOptions("client"))
	var reply string
	other := make(chan error, 1)
	go func() { other <- client.Call(context.Background(), server.Addr(), "Echo.Wait", "", &reply) }()
	eventually(t, "first call is connected", func() bool { return openLinks(client) == 1 })
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	var late string
	if err := client.Call(ctx, server.Addr(), "Echo.Wait", "", &late); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("short call: %v", err)
	}
	close(e.hold)
	if err := <-other; err != nil || reply != "late" {
		t.Errorf("other call: %q, %v", reply, err)
	}
}

func openLinks(n *Node) int {
	n.pool.mu.Lock()
	defer n.pool.mu.Unlock()
	return len(n.pool.links)
}

func TestCallErrorsTellWhetherCallWasSent(t *testing.T) {
	server, _ := startEcho(t, isolatedOptions("server"))
	client := newNode(t, isolatedOptions("client"))
	var reply string
	ctx := context.Background()
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = closed.Close()
	err = client.Call(ctx, closed.Addr().String(), "Echo.Say", "x", &reply)
	if err == nil || !NotSent(err) {
		t.Errorf("address without a listener: %v", err)
	}
	err = client.Call(ctx, closed.Addr().String(), "Echo.Say", "x", &reply)
	if !errors.Is(err, ErrBackoff) || !NotSent(err) {
		t.Errorf("second call at once: %v", err)
	}
	err = client.Call(ctx, server.Addr(), "Echo.Say", "", &reply)
	if !IsRemote(err) || NotSent(err) {
		t.Errorf("method failed: %v", err)
	}
	if err = client.Call(ctx, server.Addr(), "Echo.None", "", &reply); !IsRemote(err) {
		t.Errorf("no such method: %v", err)
	}
	if err = client.Call(ctx, server.Addr(), "Echo.Say", "x", reply); !errors.Is(err, errBadReply) {
		t.Errorf("reply by value: %v", err)
	}
	cancelled, cancel := context.WithCancel(ctx)
	cancel()
	if err = client.Call(cancelled, server.Addr(), "Echo.Say", "x", &reply); !errors.Is(err, context.Canceled) {
		t.Errorf("cancelled call: %v", err)
	}
	if err = callEcho(client, server.Addr()); err != nil {
		t.Errorf("valid call after the failed ones: %v", err)
	}
}

func TestLargeMessagesAreRefused(t *testing.T) {
	so := isolatedOptions("server")
	so.MaxMessageBytes = 10_000
	server, e := startEcho(t, so)
	co := isolatedOptions("client")
	co.MaxMessageBytes = 100_000
	client := newNode(t, co)
	var reply string
	ctx := context.Background()
	err := client.Call(ctx, server.Addr(), "Echo.Say", strings.Repeat("x", 200_000), &reply)
	if !errors.Is(err, errTooLarge) {
		t.Errorf("above the sender's bound: %v", err)
	}
	err = client.Call(ctx, server.Addr(), "Echo.Say", strings.Repeat("x", 50_000), &reply)
	if err == nil || IsRemote(err) && !strings.Contains(err.Error(), errTooLarge.Error()) {
		t.Errorf("above the receiver's bound: %v", err)
	}
	if got := e.calls.Load(); got != 0 {
		t.Errorf("%d large calls ran", got)
	}
	if err := callEcho(client, server.Addr()); err != nil {
		t.Errorf("small call after them: %v", err)
	}
}

func TestRestartedPeerIsReachedAtOnce(t *testing.T) {
	o := isolatedOptions("server")
	server := newNode(t, o)
	if err := server.Register("Echo", &echo{}); err != nil {
		t.Fatal(err)
	}
	stop := start(t, server)
	client := newNode(t, isolatedOptions("client"))
	if err := callEcho(client, server.Addr()); err != nil {
		t.Fatal(err)
	}
	o.Listen = server.Addr()
	stop()
	startEcho(t, o)
	eventually(t, "call at the new process", func() bool { return callEcho(client, o.Listen) == nil })
}

func TestIdleConnectionsAreClosed(t *testing.T) {
	server, _ := startEcho(t, isolatedOptions("server"))
	o := isolatedOptions("client")
	o.IdleTimeout = time.Minute
	client := newNode(t, o)
	if err := callEcho(client, server.Addr()); err != nil {
		t.Fatal(err)
	}
	client.pool.sweep(time.Now())
	if openLinks(client) != 1 {
		t.Error("a connection in use was closed")
	}
	client.pool.sweep(time.Now().Add(2 * time.Minute))
	if openLinks(client) != 0 {
		t.Error("an idle connection stays open")
	}
	if err := callEcho(client, server.Addr()); err != nil {
		t.Errorf("call after the idle close: %v", err)
	}
}

func TestConnectionLimit(t *testing.T) {
	o := isolatedOptions("server")
	o.MaxConns = 2
	server, _ := startEcho(t, o)
	var clients []*Node
	for _, host := range []string{"one", "two", "three"} {
		clients = append(clients, newNode(t, isolatedOptions(host)))
	}
	for _, c := range clients[:2] {
		if err := callEcho(c, server.Addr()); err != nil {
			t.Fatal(err)
		}
	}
	if err := callEcho(clients[2], server.Addr()); err == nil {
		t.Error("a connection above the limit was served")
	}
	clients[0].Close()
	eventually(t, "a connection is free", func() bool { return callEcho(clients[2], server.Addr()) == nil })
}

func TestBytesAreCountedByPurpose(t *testing.T) {
	server, _ := startEcho(t, isolatedOptions("server"))
	client := newNode(t, isolatedOptions("client"))
	if err := client.Register("Echo", &echo{}); err != nil {
		t.Fatal(err)
	}
	before := client.traffic.purposes.get("echo").sent.Get()
	if err := callEcho(client, server.Addr()); err != nil {
		t.Fatal(err)
	}
	if after := client.traffic.purposes.get("echo").sent.Get(); after <= before {
		t.Error("no bytes counted for the service")
	}
	sent, received := client.Traffic()
	if sent == 0 || received == 0 {
		t.Errorf("traffic is %d, %d", sent, received)
	}
}
