package claims

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

var (
	appends         = metrics.GetOrCreateCounter("buckthorndock_claim_appends_total")
	appendedRecords = metrics.GetOrCreateCounter("buckthorndock_claim_appended_records_total")
	logErrors       = metrics.GetOrCreateCounter("buckthorndock_claim_log_errors_total")
	undecodable     = metrics.GetOrCreateCounter("buckthorndock_claim_undecodable_total")
	restarts        = metrics.GetOrCreateCounter("buckthorndock_claim_replay_restarts_total")
	releasesWritten = metrics.GetOrCreateCounter("buckthorndock_claim_releases_total")
	releasesDropped = metrics.GetOrCreateCounter("buckthorndock_claim_releases_dropped_total")
	answersDropped  = metrics.GetOrCreateCounter("buckthorndock_claim_answers_dropped_total")
)

func countVerdict(s State) {
	metrics.GetOrCreateCounter(fmt.Sprintf("buckthorndock_claim_verdicts_total{state=%q}", s)).Inc()
}
