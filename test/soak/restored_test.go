package soak

import (
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"github.com/buckthorndock/buckthorndock/platform/standin"
)

const (
	restoreInterval = 8 * time.Second
	// storeAway is how long the store refuses all calls before it is restored from its copy.
	storeAway = 300 * time.Millisecond
	// settingsDelay is the max time until settings are in force at an undisrupted daemon, unless the
	// scenario names another.
	settingsDelay = 5 * time.Second
)

// drawRestores returns restores of the store from older copies.
func drawRestores(seed uint64, length time.Duration) []disruption {
	return drawEach(seed, 8, restoreInterval, length, func(rng *rand.Rand) disruption {
		return disruption{kind: restoreStore, duration: minDuration + time.Duration(rng.Int64N(int64(maxDuration)))}
	})
}

// restore has the store lose what is written in the next age, and writes again, as operators and
// the platform do, what was lost: settings, evacuations, and the removals of servers. The entries
// of live servers are written again with their heartbeats.
func (r *rig) restore(age time.Duration) {
	r.sendCommand(r.store, command{Op: "save"})
	time.Sleep(age)
	r.setStoreFault("refuses")
	time.Sleep(storeAway)
	r.sendCommand(r.store, command{Op: "restore"})
	r.setStoreFault("")
	r.mu.Lock()
	defer r.mu.Unlock()
	r.putSettings()
	for domain, text := range r.wishes {
		r.sendCommand(r.store, command{Op: "put", Stream: standin.Settings, Key: standin.EvacuationKey(domain), Value: text})
	}
	for _, id := range r.gone {
		r.sendCommand(r.store, command{Op: "put", Stream: standin.Servers, Key: id})
	}
}

// checkInForce checks that a key that was added more than settingsWithin ago, and that the newest
// settings allow, is not refused.
func (h *history) checkInForce(add findingFunc) {
	for _, o := range h.outcomes {
		if o.status != http.StatusUnauthorized || o.abandoned || o.key < h.versionAt(o.done)-1 || o.key > h.versionAt(o.sent.Add(-h.settingsWithin)) {
			continue
		}
		touched := func(target string) bool { return target == o.daemon || target == "store" }
		if !h.disrupted(o.sent.Add(-h.settingsWithin), o.done, touched) {
			add("settings are in force in time", "%s refused %s with the key of version %d", o.daemon, o.id, o.key)
			return // one finding is enough; each later request would give another
		}
	}
}

// versionAt returns the newest version of the settings that was written before at.
func (h *history) versionAt(at time.Time) int {
	newest := 0
	for version, written := range h.written {
		if written.Before(at) {
			newest = max(newest, version)
		}
	}
	return newest
}

// TestStoreRestoredFromAnOlderCopy guards against daemons that go on using offsets from before
// the restore: three times in a row, with settings, an evacuation, servers that leave and start,
// and a daemon that starts meanwhile.
func TestStoreRestoredFromAnOlderCopy(t *testing.T) {
	t.Parallel()
	p := scenario{seed: 1, length: 20 * time.Second, daemons: 3, servers: 4, domains: numDomains, recovery: recoveryWait}
	for i := range 3 {
		at := time.Duration(i) * 6 * time.Second
		p.plan = append(p.plan,
			disruption{at: at, kind: restoreStore, duration: 2 * time.Second},
			disruption{at: at + 400*time.Millisecond, kind: newSettings},
			disruption{at: at + 500*time.Millisecond, kind: rollServer, target: 2 * i},
			disruption{at: at + 600*time.Millisecond, kind: evacuateDomain, param: domainName(i % numDomains), duration: 1500 * time.Millisecond},
			disruption{at: at + 700*time.Millisecond, kind: newSettings},
			disruption{at: at + 2*time.Second, kind: killDaemon, target: i, duration: 400 * time.Millisecond},
			disruption{at: at + 2600*time.Millisecond, kind: newSettings},
		)
	}
	reportFindings(t, p, p.run(t))
}
