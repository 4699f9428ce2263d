package httpwire

import (
	"io"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
)

var (
	headBytesReceived = metrics.GetOrCreateCounter(`buckthorndock_upstream_received_bytes_total{part="head"}`)
	bodyBytesReceived = metrics.GetOrCreateCounter(`buckthorndock_upstream_received_bytes_total{part="body"}`)

	unfinishedHeads atomic.Int64 // bytes received of heads whose end has not come yet
)

func init() {
	metrics.GetOrCreateGauge("buckthorndock_unfinished_heads_bytes", func() float64 { return float64(unfinishedHeads.Load()) })
}

// meteredReader counts the bytes that arrive on a connection by the part of the answer that is being
// read. The first bytes of a body that arrive with the head count as head.
type meteredReader struct {
	r      io.Reader
	inHead bool
	head   int64 // bytes received since beginHead
}

func (m *meteredReader) beginHead() { m.inHead, m.head = true, 0 }

func (m *meteredReader) endHead() {
	m.inHead = false
	unfinishedHeads.Add(-m.head)
}

// Read implements io.Reader.
func (m *meteredReader) Read(p []byte) (int, error) {
	n, err := m.r.Read(p)
	if !m.inHead {
		bodyBytesReceived.Add(n)
		return n, err
	}
	headBytesReceived.Add(n)
	unfinishedHeads.Add(int64(n))
	m.head += int64(n)
	return n, err
}
