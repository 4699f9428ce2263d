package soak

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Times of standstills: several daemons get SIGSTOP at once, so that their peers' connections are
// accepted and nothing is answered.
const (
	standstillInterval = 6 * time.Second
	minStandstill      = 2 * time.Second
	maxStandstill      = 5 * time.Second
	// changeInterval is the time between two changes of the settings beside a standstill: more than the
	// time within which one must be in force, since callers use the newest key.
	changeInterval = 3500 * time.Millisecond
)

// changeDelay is the time from the start of a standstill to the first change.
const changeDelay = 50 * time.Millisecond

// standstill returns a standstill of daemons and changes of the settings beside it.
func standstill(at, lasts time.Duration, daemons []int) []disruption {
	var plan []disruption
	for _, i := range daemons {
		plan = append(plan, disruption{at: at, kind: freezeDaemon, target: i, duration: lasts})
	}
	for t := time.Duration(0); t < lasts; t += changeInterval {
		plan = append(plan, disruption{at: at + t + changeDelay, kind: newSettings})
	}
	return plan
}

// drawStandstills returns standstills of some daemons at once, never of all.
func drawStandstills(seed uint64, length time.Duration, daemons int) []disruption {
	var plan []disruption
	if daemons < 2 {
		return nil
	}
	rng := rand.New(rand.NewPCG(seed, 12))
	for at := time.Duration(rng.ExpFloat64() * float64(standstillInterval)); at < length; at += time.Duration(rng.ExpFloat64() * float64(standstillInterval)) {
		lasts := minStandstill + time.Duration(rng.Int64N(int64(maxStandstill-minStandstill)))
		plan = append(plan, standstill(at, lasts, rng.Perm(daemons)[:1+rng.IntN(daemons-1)])...)
	}
	return plan
}

// TestSettingsApplyBesideDaemonsThatStandStill guards against a daemon that refuses a key or a route
// that was added while those that it reads from accept connections and say nothing: each of four
// daemons is once the only one that runs, and the store answers.
func TestSettingsApplyBesideDaemonsThatStandStill(t *testing.T) {
	t.Parallel()
	const daemons, lasts, alone, rest = 4, 4 * time.Second, 1600 * time.Millisecond, 5 * time.Second
	p := scenario{seed: 1, daemons: daemons, servers: 4, length: 3 * time.Second, recovery: recoveryWait, settingsWithin: 2 * time.Second}
	for i := range daemons { // connections to the next sources are opened and stay
		p.plan = append(p.plan, disruption{at: p.length, kind: freezeDaemon, target: i, duration: alone})
		p.length += alone + time.Second
	}
	p.length += rest
	for runs := range daemons {
		var still []int
		for i := range daemons {
			if i != runs {
				still = append(still, i)
			}
		}
		p.plan = append(p.plan, standstill(p.length, lasts, still)...)
		p.length += lasts + rest
	}
	p.sortPlan()
	reportFindings(t, p, p.run(t))
}
