package daemon

import "github.com/VictoriaMetrics/metrics"

// connectionsRefused counts connections of callers and operators that were closed for lack of room.
var connectionsRefused = metrics.NewCounter("buckthorndock_connections_refused_total")
