package relay

import (
	"slices"

	"github.com/VictoriaMetrics/metrics"
	"github.com/ansel1/merry/v2"
	"github.com/sirupsen/logrus"
)

// errDisplaced moves a stream that would pause for longer than it bears, for its engine is
// about to read a long prompt.
var errDisplaced = merry.Sentinel("the engine is about to read a long prompt")

var displaced = metrics.GetOrCreateCounter(`buckthorndock_displaced_streams_total`)

// Displace moves streams to other engines, those that have begun and may be moved, and
// returns how many. They are named as in the book.
func (r *Relay) Displace(attempts []string) int {
	moved := 0
	for _, t := range r.running.of(func(t *attempt) bool { return slices.Contains(attempts, t.id) }) {
		if t.begun.Load() && t.watch.move(errDisplaced) {
			moved++
			displaced.Inc()
			r.log.WithFields(logrus.Fields{"request": t.req.ID, "attempt": t.id, "upstream": t.to.ID}).Info("stream_displaced")
		}
	}
	return moved
}
