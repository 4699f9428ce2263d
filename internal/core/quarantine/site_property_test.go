package quarantine

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// lateSends returns how often connected hosts sent a request to an engine after all of them should
// have known the deaths that it caused.
func (s *site) lateSends(w *work) int {
	deaths := s.deaths[w.fingerprint]
	if len(deaths) < knownDeaths {
		return 0
	}
	late := 0
	for _, a := range w.arrivals {
		if a.connected && a.tick > deaths[knownDeaths-1]+spreadTicks {
			late++
		}
	}
	return late
}

// run simulates the site and returns the violations.
func (s *site) run(culprits, innocents, leavers int) []string {
	for i := range culprits {
		s.works = append(s.works, &work{fingerprint: uint64(1 + i), culprit: true})
	}
	n := culprits
	for s.now < siteTicks {
		for range s.rng.IntN(2*(innocents+leavers)/siteTicks + 1) {
			n++
			s.works = append(s.works, &work{fingerprint: uint64(1 + n), callerLeaves: s.rng.IntN(innocents+leavers) < leavers})
		}
		s.step()
	}
	s.heal()
	for end := s.now + recoveryTicks; s.now < end && !s.allServed(); {
		s.step()
	}
	return s.violations()
}

func (s *site) allServed() bool {
	return !slices.ContainsFunc(s.works, func(w *work) bool { return !w.culprit && !w.done })
}

func (s *site) violations() []string {
	var violations []string
	for _, w := range s.works {
		former := slices.ContainsFunc(s.hosts, func(h *siteHost) bool { return h.oldRelease })
		if late := s.lateSends(w); w.culprit && late > maxLateSends && !former {
			violations = append(violations, fmt.Sprintf("culprit %d reached engines %d times late, %d engines died", w.fingerprint, late, len(s.deaths[w.fingerprint])))
		}
		if slices.Contains(s.concurrentTrials, w.fingerprint) {
			violations = append(violations, fmt.Sprintf("%d ran under two trials at once", w.fingerprint))
		}
		if !w.culprit && !w.done {
			violations = append(violations, fmt.Sprintf("innocent %d is not served: %s", w.fingerprint, s.hosts[0].Standing(workOf(w.fingerprint), s.timeAt(s.now))))
		}
	}
	return violations
}

// TestSiteStopsCulpritsAndServesInnocents guards against a culprit that every host runs once more,
// also when evidence is late, lost, out of order, forgotten by restarted hosts, or withheld by
// partitions between hosts or from the store; and against innocents that are refused because
// requests beside them crash engines, or are abandoned by their callers and never return.
func TestSiteStopsCulpritsAndServesInnocents(t *testing.T) {
	for _, c := range []struct {
		name                                                   string
		hosts, engines, oldHosts, culprits, innocents, leavers int
		lossy, noGossip                                        bool
	}{
		{"few others", 6, 8, 0, 1, 30, 30, true, false},
		{"leavers", 6, 8, 0, 1, 60, 600, false, false},
		{"leavers, messages lost", 6, 8, 0, 1, 60, 600, true, false},
		{"two culprits", 6, 8, 0, 2, 300, 600, true, false},
		{"crowded", 8, 4, 0, 1, 60, 600, true, false},
		{"no gossip", 6, 8, 0, 1, 60, 600, false, true},
		{"a host of the previous release", 6, 8, 1, 1, 60, 600, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			params := gopter.DefaultTestParametersWithSeed(52)
			params.MinSuccessfulTests = 40
			props := gopter.NewProperties(params)
			worst := 0
			props.Property("few late sends, all innocents served", prop.ForAll(func(seed uint64) string {
				s := newSite(seed, c.hosts, c.engines, c.oldHosts)
				s.lossy, s.noGossip = c.lossy, c.noGossip
				violations := s.run(c.culprits, c.innocents, c.leavers)
				for _, w := range s.works {
					worst = max(worst, s.lateSends(w))
				}
				return strings.Join(violations, "; ")
			}, gen.UInt64()))
			props.TestingRun(t)
			t.Logf("most late sends: %d", worst)
		})
	}
}
