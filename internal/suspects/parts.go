package suspects

import (
	"slices"

	"github.com/VictoriaMetrics/metrics"
)

// maxLoggedSets limits the number of refused sets of parts that are remembered as logged.
const maxLoggedSets = 256

// logProvedParts logs the sets of parts that are refused since the last call, and those that no longer
// are. The caller holds the lock.
func (t *Tracker) logProvedParts() {
	proved := t.core.ProvedParts()
	known := func(sets [][]uint64, set []uint64) bool {
		return slices.ContainsFunc(sets, func(s []uint64) bool { return slices.Equal(s, set) })
	}
	for _, set := range proved {
		if !known(t.provedParts, set) {
			t.log.WithField("parts", formatHashes(set)).Warn("parts_refused")
			partsRefused.Inc()
		}
	}
	for _, set := range t.provedParts {
		if !known(proved, set) {
			t.log.WithField("parts", formatHashes(set)).Info("parts_no_longer_refused")
		}
	}
	t.provedParts = proved[:min(len(proved), maxLoggedSets)]
}

var partsRefused = metrics.GetOrCreateCounter("buckthorndock_parts_refused_total")
