//go:build crowd

package crowd

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/buckthorndock/buckthorndock/internal/peer"
	"github.com/buckthorndock/buckthorndock/platform/standin"
)

// Crowds of the edge path.
const (
	callersCrowd = 200
	adminCrowd   = 30 // on the ready and metrics ports, and of peers' streams

	callersHead = 62 << 10
	adminHead   = 1 << 20 // net/http's limit where none is set
)

// settingsHeaderBytes is the limit of a caller's head in the settings.
const settingsHeaderBytes = 64 << 10

const customerKey = "key-of-a-customer"

var peerKey = strings.Repeat("crowd", 10)

// edgeSite is a daemon of the edge path with a store and one server in the process of the test.
type edgeSite struct {
	*process
	callers, ready, peers, metrics string // addresses of its listeners

	store   *standin.Store
	server  *standin.Server
	version int
}

func (s *edgeSite) addresses() []string { return []string{s.callers, s.ready, s.peers, s.metrics} }

func newEdgeSite(t *testing.T) *edgeSite { return newEdgeSiteOf(t, memoryMB) }

// newEdgeSiteOf returns a site whose daemon may use a number of MB.
func newEdgeSiteOf(t *testing.T, memoryMB int) *edgeSite {
	t.Helper()
	ip := ownIP()
	s := &edgeSite{store: standin.NewStore(), version: 1}
	server, err := standin.Listen(ip, "i-shop")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = server.Close() })
	s.server = server
	s.store.Put(standin.Servers, server.ID, server.Entry("shop", false, 1))
	s.publish(settingsHeaderBytes)
	store := httptest.NewServer(s.store)
	t.Cleanup(store.Close)
	free := freeAddresses(t, ip, 4)
	s.callers, s.ready, s.peers, s.metrics = free[0], free[1], free[2], free[3]
	file := filepath.Join(t.TempDir(), "daemon.yaml")
	text := fmt.Sprintf(`host: h1
domain: a
region: r
listen: {callers: %q, ready: %q, peers: %q, metrics: %q}
peer_key: %q
store: %q
memory_mb: %d
max_files: %d
grace_s: 8
`, s.callers, s.ready, s.peers, s.metrics, peerKey, store.Listener.Addr(), memoryMB, maxFiles)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	s.process = start(t, memoryMB, "buckthorndockd", "edge", "--config", file)
	await(t, s.process, "an ordinary request is answered", func() bool { return s.ask() == nil })
	return s
}

// publish writes settings with a limit of callers' heads, under which heads may be held for as long as
// a crowd plays.
func (s *edgeSite) publish(headerBytes int) {
	s.version++
	text := standin.SettingsText(s.version, 2, standin.Customer{Name: "c", Keys: []string{customerKey}})
	text = strings.Replace(text, `"max_header_bytes":16384`, fmt.Sprintf(`"max_header_bytes":%d`, headerBytes), 1)
	text = strings.Replace(text, `"header_timeout_ms":3000`, `"header_timeout_ms":30000`, 1)
	s.store.Put(standin.Settings, standin.SettingsKey, text)
}

var nextID atomic.Int64

// ordinary returns an ordinary caller's request with some more header lines.
func ordinary(path, more string) string {
	id := fmt.Sprintf("crowd%d", nextID.Add(1))
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\n%s%sContent-Length: 2\r\n\r\nab", path, standin.HeaderLines(id, customerKey), more)
}

// ask sends an ordinary request of a caller.
func (s *edgeSite) ask() error {
	return exchange(dialer(s.callers), ordinary("/again/x", ""), http.StatusOK)
}

func (s *edgeSite) askReady() error {
	return exchange(dialer(s.ready), "GET /api/ready HTTP/1.1\r\nHost: h\r\n\r\n", http.StatusOK)
}

func (s *edgeSite) askMetrics() error {
	return exchange(dialer(s.metrics), "GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n", http.StatusOK)
}

// TestEdgeCallers guards against clients on the callers' port that take all memory by heads.
func TestEdgeCallers(t *testing.T) {
	playAll(t, func(t *testing.T) (*process, []string, listenerUnderTest) {
		s := newEdgeSite(t)
		return s.process, s.addresses(), listenerUnderTest{dial: dialer(s.callers), clients: callersCrowd, most: callersHead, ask: s.ask}
	})
}

// TestEdgeReady guards against clients on the port of the readiness check that take all memory.
func TestEdgeReady(t *testing.T) {
	playAll(t, func(t *testing.T) (*process, []string, listenerUnderTest) {
		s := newEdgeSite(t)
		return s.process, s.addresses(), listenerUnderTest{dial: dialer(s.ready), clients: adminCrowd, most: adminHead, ask: s.askReady}
	})
}

// TestEdgeMetrics guards against clients on the port of the metrics that take all memory.
func TestEdgeMetrics(t *testing.T) {
	playAll(t, func(t *testing.T) (*process, []string, listenerUnderTest) {
		s := newEdgeSite(t)
		return s.process, s.addresses(), listenerUnderTest{dial: dialer(s.metrics), clients: adminCrowd, most: adminHead, ask: s.askMetrics}
	})
}

// peerDialer returns a function by which another daemon opens a stream to the site's daemon.
func peerDialer(t *testing.T, s *edgeSite) func() (net.Conn, error) {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	node, err := peer.New(peer.Options{Host: "h2", Domain: "a", Region: "r", Listen: "127.0.0.1:0", Key: peerKey, Logger: logrus.NewEntry(log)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(node.Close)
	return func() (net.Conn, error) {
		ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
		defer cancel()
		return node.DialStream(ctx, s.peers)
	}
}

// askTunnel asks for a tunnel to an address that no daemon opens one to.
func askTunnel(dial func() (net.Conn, error)) error {
	return exchange(dial, "CONNECT 127.0.0.1:1 HTTP/1.1\r\nHost: 127.0.0.1:1\r\n\r\n", http.StatusServiceUnavailable)
}

// TestEdgePeersStreams guards against another daemon whose heads take all memory.
func TestEdgePeersStreams(t *testing.T) {
	playAll(t, func(t *testing.T) (*process, []string, listenerUnderTest) {
		s := newEdgeSite(t)
		dial := peerDialer(t, s)
		ask := func() error { return askTunnel(dial) }
		return s.process, s.addresses(), listenerUnderTest{dial: dial, clients: adminCrowd, most: adminHead, ask: ask}
	})
}

// TestEdgePeersStrangers guards against clients without the key on the port of the other daemons, which
// take its memory or keep the other daemons out.
func TestEdgePeersStrangers(t *testing.T) {
	playAll(t, func(t *testing.T) (*process, []string, listenerUnderTest) {
		s := newEdgeSite(t)
		dial := peerDialer(t, s)
		ask := func() error { return askTunnel(dial) }
		return s.process, s.addresses(), listenerUnderTest{dial: dialer(s.peers), clients: callersCrowd, most: callersHead, ask: ask}
	})
}

// TestEdgeUnread guards against bytes that the kernel holds: clients whose request is in progress
// send on without end.
func TestEdgeUnread(t *testing.T) {
	const (
		memoryMB = 64
		clients  = 390
	)
	s := newEdgeSiteOf(t, memoryMB)
	release := make(chan struct{})
	s.server.SetAnswer(func(w *bufio.Writer, r *http.Request) bool {
		if strings.HasPrefix(r.URL.Path, "/again/") {
			return s.server.Echo(w, r)
		}
		<-release
		return false
	})
	t.Cleanup(func() { close(release) })
	u := watch(t, s.process, s.addresses()...)
	c := gather(t, dialer(s.callers), clients, func(int) client {
		return client{start: []byte(ordinary("/once/x", "")), rest: bytes.Repeat([]byte("x"), chunkBytes)}
	})
	time.Sleep(playTime)
	c.disperse()
	askOften(t, s.process, "afterwards", s.ask)
	u.judge(t)
}

// TestEdgeSeveralAtOnce guards against bounds that hold alone but not together: heads held on all
// ports, bodies held just before their end, idle connections, and senders without end.
func TestEdgeSeveralAtOnce(t *testing.T) {
	const part = 60
	s := newEdgeSite(t)
	u := watch(t, s.process, s.addresses()...)
	heads := func(most int) func(int) client {
		return func(int) client { return client{start: head(shortLines(most))} }
	}
	crowds := []*crowd{
		gather(t, dialer(s.callers), part, heads(callersHead)),
		gather(t, dialer(s.ready), adminCrowd, heads(adminHead)),
		gather(t, dialer(s.metrics), adminCrowd, heads(adminHead)),
		gather(t, dialer(s.callers), part, func(int) client { return client{start: heldBody()} }),
		gather(t, dialer(s.callers), part, func(int) client { return client{start: []byte(ordinary("/again/x", ""))} }),
		gather(t, dialer(s.callers), part, func(int) client {
			return client{start: []byte(ordinary("/again/x", "")), rest: shortLines(chunkBytes)}
		}),
	}
	time.Sleep(playTime)
	askOften(t, s.process, "beside the crowds", s.ask)
	for _, c := range crowds {
		c.disperse()
	}
	askOften(t, s.process, "afterwards", s.ask)
	askOften(t, s.process, "afterwards, ready", s.askReady)
	askOften(t, s.process, "afterwards, metrics", s.askMetrics)
	u.judge(t)
}

// heldBody returns a request whose body lacks its last byte.
func heldBody() []byte {
	const size = 1 << 20
	start := strings.Replace(ordinary("/again/x", ""), "Content-Length: 2\r\n\r\nab", fmt.Sprintf("Content-Length: %d\r\n\r\n", size), 1)
	return append([]byte(start), bytes.Repeat([]byte("x"), size-1)...)
}

// TestEdgeExit guards against a daemon that cannot stop, or exceeds its memory, beside a crowd.
func TestEdgeExit(t *testing.T) {
	s := newEdgeSite(t)
	u := watch(t, s.process, s.addresses()...)
	held := func(most int) func(int) client {
		return func(int) client { return client{start: head(shortLines(most))} }
	}
	gather(t, dialer(s.callers), callersCrowd, held(callersHead))
	gather(t, dialer(s.ready), adminCrowd, held(adminHead))
	gather(t, dialer(s.metrics), adminCrowd, held(adminHead))
	gather(t, dialer(s.callers), callersCrowd, func(int) client {
		return client{start: head(), rest: shortLines(chunkBytes)}
	})
	time.Sleep(playTime)
	s.stop(t)
	u.judge(t)
}

// TestEdgeHeadsFollowTheSettings guards against limits of a caller's head that are not those of the
// settings in force, in both directions.
func TestEdgeHeadsFollowTheSettings(t *testing.T) {
	const small, large = 16 << 10, 200 << 10
	s := newEdgeSite(t)
	withHead := func(size int, want int) error {
		return exchange(dialer(s.callers), ordinary("/again/x", fmt.Sprintf("X-Long: %s\r\n", strings.Repeat("x", size))), want)
	}
	u := watch(t, s.process, s.addresses()...)
	s.publish(large)
	await(t, s.process, "a head within the larger limit is served", func() bool { return withHead(large-1024, http.StatusOK) == nil })
	if err := withHead(large+8192, http.StatusRequestHeaderFieldsTooLarge); err != nil {
		t.Errorf("a head over the larger limit: %v", err)
	}
	s.publish(small)
	await(t, s.process, "a head over the smaller limit is refused", func() bool {
		return withHead(small+8192, http.StatusRequestHeaderFieldsTooLarge) == nil
	})
	if err := withHead(small-1024, http.StatusOK); err != nil {
		t.Errorf("a head within the smaller limit: %v", err)
	}
	u.judge(t)
}
