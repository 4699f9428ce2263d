package soak

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Times of pauses of servers.
const (
	pauseInterval = 4 * time.Second
	minPause      = 800 * time.Millisecond
	maxPause      = 1200 * time.Millisecond
)

// drawPauses returns pauses of servers.
func drawPauses(seed uint64, length time.Duration, servers int) []disruption {
	return drawEach(seed, 11, pauseInterval, length, func(rng *rand.Rand) disruption {
		lasts := minPause + time.Duration(rng.Int64N(int64(maxPause-minPause)))
		return disruption{kind: pauseServer, target: rng.IntN(servers), duration: lasts}
	})
}

// TestPausesOfServersCostNothing has sound servers do nothing for about a second, one after the
// other, and no other disruption: nothing is cut, late, or repeated beyond the rules for that.
func TestPausesOfServersCostNothing(t *testing.T) {
	t.Parallel()
	const length = 8 * time.Second
	p := scenario{seed: 1, length: length, daemons: 3, servers: 3, recovery: recoveryWait}
	p.plan = drawPauses(p.seed, length, 2*p.servers)
	reportFindings(t, p, p.run(t))
}
