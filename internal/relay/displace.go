package relay

import (
	"slices"

	"github.com/VictoriaMetrics/metrics"
	"github.com/ansel1/merry/v2"
	"github.com/sirupsen/logrus"
)

// errDisplaced cancels an attempt whose stream is moved because its engine is about to
// prefill a long prompt, which would pause the stream for longer than its gap objective
// allows.
var errDisplaced = merry.Sentinel("the engine is about to read a long prompt")

var displacedStreams = metrics.GetOrCreateCounter(`buckthorndock_displaced_streams_total`)

// Displace tries to move streams to other engines and returns how many were moved. attempts
// are their names in the book. A stream is moved only if its first event has arrived and if
// it may be repeated.
func (r *Relay) Displace(attempts []string) int {
	moved := 0
	for _, t := range r.running.filter(func(t *attempt) bool { return slices.Contains(attempts, t.id) }) {
		if t.streaming.Load() && t.silence.move(errDisplaced) {
			moved++
			displacedStreams.Inc()
			r.log.WithFields(logrus.Fields{"request": t.req.ID, "attempt": t.id, "upstream": t.upstream.ID}).Info("stream_displaced")
		}
	}
	return moved
}
