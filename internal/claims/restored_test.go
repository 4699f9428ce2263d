package claims

import (
	"testing"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/core/claim"
	"github.com/buckthorndock/buckthorndock/internal/core/request"
)

// TestKeyOfLostClaimIsRefusedUntilWindowEnds guards against a second run after the
// log is restored from a copy without a granted claim. The host that followed the
// log refuses the key, and so does one that starts afterwards and has never read the
// claim.
func TestKeyOfLostClaimIsRefusedUntilWindowEnds(t *testing.T) {
	s := newSite(t, "a", "b")
	back := claim.Options{}.Window() + time.Minute
	s.log.update(func() { s.log.clock = func() time.Time { return time.Now().Add(-back) } })
	s.mustHold("a", "k")
	stream := StreamName(claim.Partition("frigolijst", "k"))
	s.log.restore(stream, 0)
	eventually(t, "the era is seen", func() bool {
		c := s.hosts["a"].combiner("frigolijst", "k")
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.replay != nil && c.replay.Era() == 1
	})
	for _, host := range []string{"a", "b"} {
		_, err := s.acquire(host, "k")
		wantCode(t, err, request.CodeKeyUnavailable)
	}
	s.start("b", 99)
	_, err := s.acquire("b", "k")
	wantCode(t, err, request.CodeKeyUnavailable)

	// Once the era is older than the window, keys can be claimed again.
	s.log.update(func() { s.log.clock = time.Now })
	s.start("a", 100)
	s.start("b", 100)
	s.mustHold("b", "k")
}
