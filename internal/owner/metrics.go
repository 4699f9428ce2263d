package owner

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"github.com/buckthorndock/buckthorndock/internal/core/ledger"
)

var (
	metricGrants      = metrics.NewCounter("buckthorndock_owner_grants_total")
	metricDeferred    = metrics.NewCounter("buckthorndock_owner_deferred_calls_total")
	metricRenewals    = metrics.NewCounter("buckthorndock_owner_renewals_total")
	metricEndsGivenUp = metrics.NewCounter("buckthorndock_owner_ends_given_up_total")
	metricDigestBytes = metrics.NewCounter("buckthorndock_owner_digest_bytes_total")
	metricOrders      = metrics.NewCounter("buckthorndock_owner_orders_total")
	metricBooksRead   = metrics.NewCounter("buckthorndock_owner_books_read_total")
)

func metricEnds(c ledger.Cause) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf(`buckthorndock_owner_ends_total{cause=%q}`, string(c)))
}

func metricDenials(r ledger.Reason) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf(`buckthorndock_owner_denials_total{reason=%q}`, string(r)))
}
