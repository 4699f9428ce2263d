package follow

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"github.com/buckthorndock/buckthorndock/internal/core/settings"
)

var (
	snapshotsRefused = metrics.NewCounter("buckthorndock_settings_snapshots_refused_total")
	snapshotsAdopted = metrics.NewCounter("buckthorndock_settings_snapshots_adopted_total")
	snapshotsWritten = metrics.NewCounter("buckthorndock_settings_snapshots_written_total")
	divergences      = metrics.NewCounter("buckthorndock_settings_divergences_total")
	logFailures      = metrics.NewCounter("buckthorndock_settings_log_failures_total")
	logBehind        = metrics.NewCounter("buckthorndock_settings_log_behind_total")
	trimmedGaps      = metrics.NewCounter("buckthorndock_settings_trimmed_gaps_total")
	pulls            = metrics.NewCounter("buckthorndock_settings_pulls_total")
	pushes           = metrics.NewCounter("buckthorndock_settings_pushes_total")
	spreadBytes      = metrics.NewCounter("buckthorndock_settings_spread_bytes_total")
)

// RegisterMetrics adds the gauges of this follower to a set, which can hold those of only one
// follower.
func (f *Follower) RegisterMetrics(set *metrics.Set) {
	set.NewGauge("buckthorndock_settings_offset", func() float64 { return float64(f.Offset()) })
	set.NewGauge("buckthorndock_settings_findings", func() float64 { return float64(len(f.Findings())) })
	set.NewGauge("buckthorndock_settings_lag_seconds", func() float64 { return f.Lag(f.o.Now()).Seconds() })
}

func countVerdict(outcome settings.Outcome) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`buckthorndock_settings_records_total{outcome=%q}`, outcome)).Inc()
}
