package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/buckthorndock/buckthorndock/platform/standin"
)

// numDomains is the number of failure domains of the daemons, and of the servers in scenarios
// that evacuate a domain.
const numDomains = 2

func domainName(i int) string { return fmt.Sprintf("z%d", 1+i) }

// Bounds of what evacuated and cold servers get.
const (
	evacuationDelay = 3 * time.Second // from an operator's order to the last new request there
	coldDelay       = time.Second     // from a server's report that it is cold until all daemons know
	coldWindow      = time.Second
	maxCold         = 1.5*standin.ColdPerSecond + 5 // requests in coldWindow
)

// evacuation is a period in which operators evacuated a failure domain.
type evacuation struct {
	domain   string
	from, to time.Time // to is zero while it lasts
}

// coldPeriod is a period in which a server was cold.
type coldPeriod struct {
	server   string
	from, to time.Time
}

// Times of evacuations and cold servers.
const (
	evacuationInterval = 12 * time.Second
	meanEvacuation     = 5 * time.Second
	coldInterval       = 6 * time.Second
)

// drawEvacuations returns evacuations of failure domains.
func drawEvacuations(seed uint64, length time.Duration) []disruption {
	return drawEach(seed, 6, evacuationInterval, length, func(rng *rand.Rand) disruption {
		lasts := minDuration + time.Duration(rng.Int64N(int64(2*meanEvacuation)))
		return disruption{kind: evacuateDomain, param: domainName(rng.IntN(numDomains)), duration: lasts}
	})
}

// drawColds returns periods in which running servers become cold.
func drawColds(seed uint64, length time.Duration, servers int) []disruption {
	return drawEach(seed, 7, coldInterval, length, func(rng *rand.Rand) disruption {
		lasts := minDuration + time.Duration(rng.Int64N(int64(2*standin.ColdFor)))
		return disruption{kind: coldServer, target: rng.IntN(servers), duration: lasts}
	})
}

// evacuate evacuates a failure domain, as operators do, for the duration of the disruption. A store
// that is restored meanwhile gets the order again.
func (r *rig) evacuate(dis disruption) {
	order := func(text string) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.wishes[dis.param] = text
		r.sendCommand(r.store, command{Op: "put", Stream: standin.Settings, Key: standin.EvacuationKey(dis.param), Value: text})
	}
	order(standin.Evacuation)
	r.history.beginEvacuation(dis.param)
	time.Sleep(dis.duration)
	order("")
	r.history.endEvacuation(dis.param)
}

// makeCold has a server report, in its entry and its answers, that it is cold for a time.
func (r *rig) makeCold(s *server, lasts time.Duration) {
	r.mu.Lock()
	s.cold = time.Now().Add(lasts)
	r.updateEntry(s)
	r.sendCommand(s.proc, command{Op: "cool", Number: lasts.Seconds()})
	r.mu.Unlock()
	time.Sleep(lasts)
}

// recordDomain records the failure domain of a server.
func (h *history) recordDomain(server, domain string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.domains[server] = domain
}

func (h *history) beginEvacuation(domain string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.evacuated = append(h.evacuated, evacuation{domain: domain, from: time.Now()})
}

func (h *history) endEvacuation(domain string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i, e := range h.evacuated {
		if e.domain == domain && e.to.IsZero() {
			h.evacuated[i].to = time.Now()
		}
	}
}

// addCold records that a server is cold for r.Number seconds.
func (h *history) addCold(r report) {
	h.mu.Lock()
	defer h.mu.Unlock()
	from := time.Unix(0, r.At)
	h.colds = append(h.colds, coldPeriod{r.Server, from, from.Add(time.Duration(r.Number * float64(time.Second)))})
}

// checkEvacuated checks that an evacuated failure domain gets nothing new from a daemon that the
// operators' order could reach.
func (h *history) checkEvacuated(add findingFunc) {
	for _, e := range h.evacuated {
		for _, o := range h.outcomes {
			for _, r := range h.runs[o.id] {
				late := r.at.After(e.from.Add(evacuationDelay)) && (e.to.IsZero() || r.at.Before(e.to))
				if !late || h.domains[r.server] != e.domain || o.sent.Before(e.from) {
					continue
				}
				touched := func(target string) bool { return target == o.daemon || target == "store" }
				if !h.disrupted(e.from.Add(-aftermath), r.at, touched) {
					add("nothing new for an evacuated failure domain", "%s ran at %s in %s %s after the order", o.id, r.server, e.domain, r.at.Sub(e.from))
					return // one finding is enough; each later request would give another
				}
			}
		}
	}
}

// checkCold checks that a cold server gets no more than maxCold requests in coldWindow, in total
// over all daemons.
func (h *history) checkCold(add findingFunc) {
	for _, c := range h.colds {
		var at []time.Time
		for _, runs := range h.runs {
			for _, r := range runs {
				if r.server == c.server && r.at.After(c.from.Add(coldDelay)) && r.at.Before(c.to) {
					at = append(at, r.at)
				}
			}
		}
		slices.SortFunc(at, time.Time.Compare)
		for i, first := range at {
			n := 0
			for n < len(at)-i && at[i+n].Sub(first) <= coldWindow {
				n++
			}
			if float64(n) > maxCold && !h.disrupted(first.Add(-coldWindow), first.Add(coldWindow), h.targetIsServer(c.server)) {
				add("a cold server gets no more than its rate", "%s got %d requests in %s, %s after it became cold", c.server, n, coldWindow, first.Sub(c.from))
				break
			}
		}
	}
}

// targetIsServer returns a match for the disruptions of a server: one that was frozen, or whose
// link was, runs at once what arrived meanwhile.
func (h *history) targetIsServer(id string) func(string) bool {
	return func(target string) bool { return strings.HasPrefix(id, "i-"+target+"-") }
}

// endCold records that a server has ended: its next incarnation is not cold. The caller holds the
// lock.
func (h *history) endCold(server string, at time.Time) {
	for i, c := range h.colds {
		if c.server == server && c.to.After(at) {
			h.colds[i].to = at
		}
	}
}

// TestEvacuatedDomainGetsNothingFromAnyDaemon includes a daemon that starts meanwhile and an
// outage of the store.
func TestEvacuatedDomainGetsNothingFromAnyDaemon(t *testing.T) {
	t.Parallel()
	p := scenario{seed: 1, length: 10 * time.Second, daemons: 3, servers: 4, domains: numDomains, recovery: recoveryWait}
	p.plan = []disruption{
		{at: 100 * time.Millisecond, kind: evacuateDomain, param: domainName(0), duration: 9 * time.Second},
		{at: 2 * time.Second, kind: killDaemon, target: 1, duration: 300 * time.Millisecond},
		{at: 7 * time.Second, kind: disruptStore, param: "hangs", duration: time.Second},
	}
	reportFindings(t, p, p.run(t))
}

// TestColdServersStayWithinTheirRateAcrossAllDaemons guards against daemons that each apply the
// rate of a cold server alone, so that together they exceed it.
func TestColdServersStayWithinTheirRateAcrossAllDaemons(t *testing.T) {
	t.Parallel()
	p := scenario{seed: 1, length: 6 * time.Second, daemons: 3, servers: 3, recovery: recoveryWait}
	for target := range 2 * p.servers {
		p.plan = append(p.plan, disruption{at: 200 * time.Millisecond, kind: coldServer, target: target, duration: p.length})
	}
	reportFindings(t, p, p.run(t))
}
