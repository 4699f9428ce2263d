package claims

import (
	"sync"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/core/claim"
)

// maxGivenUp bounds the claims that givenUp remembers. Beyond it, repeats of
// their keys are told 'unknown' until the release stands in the log.
const maxGivenUp = 100_000

// givenUp knows the own claims that were undecided in time and may still come to
// hold their keys in the log. Their permits are dead: they are as good as released.
type givenUp struct {
	window time.Duration
	now    func() time.Time

	mu     sync.Mutex
	claims map[claim.ID]time.Time // until when it can matter
}

func newGivenUp(window time.Duration, now func() time.Time) *givenUp {
	return &givenUp{window: window, now: now, claims: map[claim.ID]time.Time{}}
}

// add notes a claim whose permit is dead.
func (g *givenUp) add(id claim.ID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.claims) < maxGivenUp {
		g.claims[id] = g.now().Add(g.window)
	}
}

func (g *givenUp) has(id claim.ID) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	_, ok := g.claims[id]
	return ok
}

func (g *givenUp) sweep() {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	for id, until := range g.claims {
		if now.After(until) {
			delete(g.claims, id)
		}
	}
}
