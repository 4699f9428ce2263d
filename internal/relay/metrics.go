package relay

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/buckthorndock/buckthorndock/internal/core/request"
)

// observe records a request's outcome and times in the metrics.
func observe(req *Request, first, end time.Time, refusal *request.Refusal) {
	outcome := request.Complete
	if refusal != nil {
		outcome = refusal.Outcome
	}
	labels := fmt.Sprintf(`route=%q,outcome=%q`, req.Route.Name, outcome)
	metrics.GetOrCreateCounter("buckthorndock_relayed_requests_total{" + labels + "}").Inc()
	if !first.IsZero() {
		metrics.GetOrCreateHistogram(fmt.Sprintf(`buckthorndock_relayed_first_byte_seconds{route=%q}`, req.Route.Name)).Update(first.Sub(req.Arrived).Seconds())
	}
	metrics.GetOrCreateHistogram(fmt.Sprintf(`buckthorndock_relayed_request_seconds{route=%q}`, req.Route.Name)).Update(end.Sub(req.Arrived).Seconds())
}
