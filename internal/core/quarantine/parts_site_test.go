package quarantine

import (
	"fmt"
	"strings"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// Parts of the works of a site.
const (
	popularPart  = 1_000_001
	commonPart   = 1_000_002
	strangerPart = 1_000_003
	crashingPart = 2_000_000 // the first
)

// Limits that the site has to keep for parts.
const (
	knownPartDeaths = 5 // deaths under a part after which sends with it count as late
	maxPartSends    = 3 // late sends allowed for each crashing part
	// settledTicks is how long after the last disruption and the deaths of known parts sound works
	// have to be served soon, and soonTicks how soon.
	settledTicks = 60
	soonTicks    = 40
)

// partsCase describes a site to which works with crashing parts come.
type partsCase struct {
	name            string
	hosts, old      int
	kinds           [][]uint64 // parts of the crashing works, of each kind in turn
	crashingPerTick int
	oneIn           int // ticks between crashing works, in the mean
	ownDeaths       int // an engine ends by itself once in so many ticks; 0: none
	quietTicks      int // before the first crashing work
	lossy, noGossip bool
}

// addWorks adds the works that arrive in one tick.
func (s *site) addWorks(c partsCase) {
	sound := [][]uint64{{popularPart}, {popularPart, commonPart}, {strangerPart, commonPart}}
	s.add(&work{parts: sound[s.rng.IntN(len(sound))]})
	if len(c.kinds) > 0 && s.now >= c.quietTicks && s.rng.IntN(c.oneIn) == 0 {
		for range c.crashingPerTick {
			kind := s.rng.IntN(len(c.kinds))
			s.add(&work{parts: c.kinds[kind], crashingPart: crashingOf(c.kinds[kind]), culprit: true})
		}
	}
	if c.ownDeaths > 0 && s.rng.IntN(c.ownDeaths) == 0 {
		s.crashEngine(s.rng.IntN(len(s.incarnations)))
	}
}

// crashingOf returns the part of a work that crashes engines.
func crashingOf(parts []uint64) uint64 {
	for _, p := range parts {
		if p >= crashingPart {
			return p
		}
	}
	return 0
}

// add adds a work, which is sent at once. One with a crashing part is sent twice, the second time
// as if its daemon tried again.
func (s *site) add(w *work) {
	w.fingerprint = uint64(len(s.works) + 1)
	s.works = append(s.works, w)
	if !w.culprit {
		return
	}
	for range 2 {
		s.send(s.rng.IntN(len(s.hosts)), w)
	}
	w.done = true
}

// runParts simulates the site and returns the violations.
func (s *site) runParts(c partsCase) []string {
	for s.now < siteTicks {
		s.addWorks(c)
		s.step()
	}
	s.heal()
	for end := s.now + settledTicks; s.now < end; {
		s.addWorks(c)
		s.step()
	}
	var violations []string
	for cause, sends := range s.latePartSends() {
		if sends > maxPartSends && c.old == 0 {
			violations = append(violations, fmt.Sprintf("part %d reached engines %d times late, %d died", cause, sends, len(s.deaths[cause])))
		}
	}
	for _, w := range s.works {
		w.done = w.done || !w.culprit // those of the disrupted time need not be served
	}
	return append(violations, s.serveAnew(c)...)
}

// serveAnew sends new sound works beside crashing ones and returns a violation if they are not served
// soon.
func (s *site) serveAnew(c partsCase) []string {
	for _, parts := range [][]uint64{{popularPart}, {popularPart, commonPart}, {strangerPart, commonPart}} {
		s.add(&work{parts: parts})
	}
	calm := c
	calm.ownDeaths = 0
	added := s.works[len(s.works)-3:]
	for end := s.now + soonTicks; s.now < end; {
		s.addWorks(calm)
		s.step()
	}
	var violations []string
	for _, w := range added {
		if !w.done {
			violations = append(violations, fmt.Sprintf("sound work with parts %v is not served: %s", w.parts, s.hosts[0].Standing(w.work(), s.timeAt(s.now))))
		}
	}
	return violations
}

// latePartSends returns, for each crashing part, how often connected hosts sent a work with it to an
// engine after all of them should have known it.
func (s *site) latePartSends() map[uint64]int {
	late := map[uint64]int{}
	for _, w := range s.works {
		deaths := s.deaths[w.crashingPart]
		if w.crashingPart == 0 || len(deaths) < knownPartDeaths {
			continue
		}
		for _, a := range w.arrivals {
			if a.connected && a.tick > deaths[knownPartDeaths-1]+spreadTicks {
				late[w.crashingPart]++
			}
		}
	}
	return late
}

// TestSiteKeepsCrashingPartsFromEngines guards against works, each new, that share one crashing part
// and reach engine after engine, also when evidence is late, lost or forgotten, or withheld by
// partitions between hosts or from the store; against sound works that are refused for the parts that
// they share with these; and against popular parts that are blamed when engines end by themselves.
func TestSiteKeepsCrashingPartsFromEngines(t *testing.T) {
	later := [][]uint64{{popularPart, crashingPart}}
	const quiet = siteTicks / 8
	two := [][]uint64{{popularPart, crashingPart}, {popularPart, crashingPart + 1, commonPart}}
	for _, c := range []partsCase{
		{name: "later part", hosts: 6, quietTicks: quiet, kinds: later, crashingPerTick: 2, oneIn: 1, lossy: true},
		{name: "first part", hosts: 6, quietTicks: quiet, kinds: [][]uint64{{crashingPart, commonPart}}, crashingPerTick: 2, oneIn: 1, lossy: true},
		{name: "two parts", hosts: 6, quietTicks: quiet, kinds: two, crashingPerTick: 2, oneIn: 1, lossy: true},
		{name: "many parts beside it", hosts: 6, quietTicks: quiet, kinds: [][]uint64{{popularPart, crashingPart, 11}, {12, crashingPart, 13}, {crashingPart, 11, 13}}, crashingPerTick: 1, oneIn: 1, lossy: true},
		{name: "few requests", hosts: 6, quietTicks: quiet, kinds: later, crashingPerTick: 1, oneIn: 20, lossy: true},
		{name: "bursts", hosts: 6, quietTicks: quiet, kinds: later, crashingPerTick: 10, oneIn: 20, lossy: true},
		{name: "no gossip", hosts: 6, quietTicks: quiet, kinds: later, crashingPerTick: 2, oneIn: 1, noGossip: true},
		{name: "engines end by themselves", hosts: 6, quietTicks: quiet, kinds: later, crashingPerTick: 1, oneIn: 4, ownDeaths: 3, lossy: true},
		{name: "nothing has begun before", hosts: 6, kinds: two, crashingPerTick: 2, oneIn: 1, lossy: true},
		{name: "only engines that end by themselves", hosts: 6, ownDeaths: 2, lossy: true},
		{name: "a host of the previous release", hosts: 6, quietTicks: quiet, old: 1, kinds: later, crashingPerTick: 1, oneIn: 20, lossy: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			params := gopter.DefaultTestParametersWithSeed(50)
			params.MinSuccessfulTests = 15
			props := gopter.NewProperties(params)
			worst := 0
			props.Property("few late sends, sound works served soon", prop.ForAll(func(seed uint64) string {
				const engines = 12
				s := newSite(seed, c.hosts, engines, c.old)
				s.lossy, s.noGossip = c.lossy, c.noGossip
				violations := s.runParts(c)
				for _, n := range s.latePartSends() {
					worst = max(worst, n)
				}
				return strings.Join(violations, "; ")
			}, gen.UInt64()))
			props.TestingRun(t)
			t.Logf("most late sends: %d", worst)
		})
	}
}
