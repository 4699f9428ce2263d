package bench

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Bounds of the histograms in microseconds, from one to an hour, and their number of
// significant digits.
const (
	histogramMin    = 1
	histogramMax    = int64(time.Hour / time.Microsecond)
	histogramDigits = 3
)

// Quantiles holds quantiles of durations in milliseconds, all zero when Count is zero.
type Quantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50"`
	P95   float64 `json:"p95"`
	P99   float64 `json:"p99"`
	Max   float64 `json:"max"`
}

// histogram counts durations by microseconds.
type histogram struct {
	h *hdrhistogram.Histogram
}

func newHistogram() *histogram {
	return &histogram{h: hdrhistogram.New(histogramMin, histogramMax, histogramDigits)}
}

// record adds a duration, clamped to the bounds of the histogram.
func (h *histogram) record(d time.Duration) {
	us := min(max(d.Microseconds(), histogramMin), histogramMax)
	_ = h.h.RecordValue(us) // only a value out of bounds is an error
}

func (h *histogram) quantiles() Quantiles {
	if h.h.TotalCount() == 0 {
		return Quantiles{}
	}
	return Quantiles{
		Count: h.h.TotalCount(),
		P50:   toMs(h.h.ValueAtQuantile(50)),
		P95:   toMs(h.h.ValueAtQuantile(95)),
		P99:   toMs(h.h.ValueAtQuantile(99)),
		Max:   toMs(h.h.Max()),
	}
}

func toMs(us int64) float64 {
	return float64(us) / 1000
}
