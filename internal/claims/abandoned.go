package claims

import (
	"sync"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/core/claim"
)

// maxAbandoned bounds the claims that abandonedClaims remembers. Repeats of the
// keys of further ones are answered 'unknown' until the release is in the log.
const maxAbandoned = 100_000

// abandonedClaims holds this host's claims that had no verdict in time and may
// still come to hold their keys in the log. Their permits allow no dispatch any
// more, so they count as released.
type abandonedClaims struct {
	window time.Duration
	now    func() time.Time

	mu     sync.Mutex
	claims map[claim.ID]time.Time // when the claim can no longer hold its key
}

func newAbandonedClaims(window time.Duration, now func() time.Time) *abandonedClaims {
	return &abandonedClaims{window: window, now: now, claims: map[claim.ID]time.Time{}}
}

// add records a claim whose permit is claim.Dead.
func (g *abandonedClaims) add(id claim.ID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.claims) < maxAbandoned {
		g.claims[id] = g.now().Add(g.window)
	}
}

func (g *abandonedClaims) contains(id claim.ID) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	_, ok := g.claims[id]
	return ok
}

// sweep removes the claims that can no longer hold their keys.
func (g *abandonedClaims) sweep() {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	for id, until := range g.claims {
		if now.After(until) {
			delete(g.claims, id)
		}
	}
}
