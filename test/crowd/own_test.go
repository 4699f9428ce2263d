//go:build crowd

package crowd

import (
	"crypto/sha256"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/standin"
)

// Crowds of the product's own path and of a stand-in.
const (
	ownCrowd     = 200
	ownHead      = 31 << 10
	standinCrowd = 30
	standinHead  = 1 << 20
)

const operatorToken = "operator-of-the-crowd"

// ownSite is a daemon of the product's own path with its platform in the process of the test.
type ownSite struct {
	*process
	listen, peers string
}

func newOwnSite(t *testing.T) *ownSite {
	t.Helper()
	site, err := standin.NewSite(standin.SiteOptions{Models: []string{"m"}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(site.Close)
	platform := map[string]string{}
	for _, part := range site.Parts {
		platform[part.Kind] = part.Address
	}
	free := freeAddresses(t, ownIP(), 2)
	s := &ownSite{listen: free[0], peers: free[1]}
	text := fmt.Sprintf(`host: h1
domain: hal-a
region: be-central
listen: %s
peer_listen: %s
peer_key: %s
platform: {log: %q, hosts: %q, weights: %q}
operator_token_sha256: %x
max_connections: %d
memory_mb: %d
`, s.listen, s.peers, peerKey, platform["log"], platform["hosts"], platform["weights"], sha256.Sum256([]byte(operatorToken)), maxFiles/2, memoryMB)
	file := filepath.Join(t.TempDir(), "daemon.yaml")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	s.process = start(t, memoryMB, "buckthorndockd", "--config", file)
	await(t, s.process, "an ordinary request is answered", func() bool { return s.ask() == nil })
	return s
}

// ask sends an ordinary request of an operator.
func (s *ownSite) ask() error {
	return exchange(dialer(s.listen), "GET /operator/v1/status HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer "+operatorToken+"\r\n\r\n", http.StatusOK)
}

// TestOwnPath guards against clients on the port of the product's own path that take all memory.
func TestOwnPath(t *testing.T) {
	playAll(t, func(t *testing.T) (*process, []string, listenerUnderTest) {
		s := newOwnSite(t)
		return s.process, []string{s.listen, s.peers}, listenerUnderTest{dial: dialer(s.listen), clients: ownCrowd, most: ownHead, ask: s.ask}
	})
}

// TestOwnPathExit guards against a daemon of the own path that cannot stop beside a crowd.
func TestOwnPathExit(t *testing.T) {
	s := newOwnSite(t)
	u := watch(t, s.process, s.listen, s.peers)
	gather(t, dialer(s.listen), ownCrowd, func(int) client { return client{start: head(shortLines(ownHead))} })
	gather(t, dialer(s.listen), ownCrowd, func(int) client { return client{start: head(), rest: shortLines(chunkBytes)} })
	time.Sleep(playTime)
	s.stop(t)
	u.judge(t)
}

// TestOwnPathBodies guards against bodies that take all memory together, each within its own limit.
func TestOwnPathBodies(t *testing.T) {
	const bodies, size = 60, 4 << 20
	s := newOwnSite(t)
	u := watch(t, s.process, s.listen, s.peers)
	text := fmt.Sprintf("POST /operator/v1/settings HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n\"%s",
		operatorToken, size, strings.Repeat("x", size-2))
	c := gather(t, dialer(s.listen), bodies, func(int) client { return client{start: []byte(text)} })
	time.Sleep(playTime)
	askOften(t, s.process, "beside the crowd", s.ask)
	c.disperse()
	askOften(t, s.process, "afterwards", s.ask)
	u.judge(t)
}

// TestStandin guards against clients that take all memory of a stand-in.
func TestStandin(t *testing.T) {
	playAll(t, func(t *testing.T) (*process, []string, listenerUnderTest) {
		p := start(t, memoryMB, "standin", "service", "--name", "s", "--operation", "confirm", "--memory-mb", fmt.Sprint(memoryMB))
		_, address, _ := strings.Cut(strings.TrimSpace(<-p.firstLine), "address=")
		ask := func() error {
			return exchange(dialer(address), "GET /standin/faults HTTP/1.1\r\nHost: h\r\n\r\n", http.StatusOK)
		}
		if address == "" {
			t.Fatalf("the stand-in does not listen: %s", p.logTail())
		}
		await(t, p, "an ordinary request is answered", func() bool { return ask() == nil })
		return p, []string{address}, listenerUnderTest{dial: dialer(address), clients: standinCrowd, most: standinHead, ask: ask}
	})
}
