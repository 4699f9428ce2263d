package placement

import (
	"math"
	"math/bits"
)

// NumBands is the number of length bands: one for each power of two from
// firstBand tokens up. The last has no upper end.
const NumBands = 13

// firstBand is the upper end of the first band in tokens.
const firstBand = 512

// Work is the work offered to a pool in a failure domain: uncached prompt tokens by band
// of prompt length, decayed with Options.WorkHalfLife.
type Work [NumBands]float64

// band returns the band of a prompt length.
func band(tokens int) int {
	return min(bits.Len64(uint64(max(tokens, 0)/firstBand)), NumBands-1)
}

// bandEnds returns the lower and upper end of a band in tokens.
func bandEnds(i int) (low, high float64) {
	high = float64(uint64(firstBand) << i)
	if i == 0 {
		return 0, high
	}
	return high / 2, high
}

func (w *Work) scale(factor float64) {
	for i := range w {
		w[i] *= factor
	}
}

func (w *Work) add(other *Work) {
	for i := range w {
		w[i] += other[i]
	}
}

// Total returns the sum over all bands.
func (w *Work) Total() float64 {
	sum := 0.0
	for _, tokens := range w {
		sum += tokens
	}
	return sum
}

// quantile returns the length in tokens up to which prompts make up the share of the work,
// interpolated linearly within a band. Without work it is infinite.
func (w *Work) quantile(share float64) float64 {
	left := share * w.Total()
	if !(left > 0) {
		return math.Inf(1)
	}
	for i, tokens := range w {
		if tokens >= left {
			low, high := bandEnds(i)
			return low + (high-low)*left/tokens
		}
		left -= tokens
	}
	return math.Inf(1)
}

// distance returns the largest difference between the cumulative distributions of the two
// works over length, from 0 to 1. It is 1 when one of them is zero.
func (w *Work) distance(other *Work) float64 {
	a, b := w.Total(), other.Total()
	if a == 0 || b == 0 {
		return 1
	}
	var sum, largest float64
	for i := range w {
		sum += w[i]/a - other[i]/b
		largest = max(largest, math.Abs(sum))
	}
	return largest
}

// shareBelow returns the share of the work that is of prompts shorter than length, or 0
// without any work.
func (w *Work) shareBelow(length float64) float64 {
	total := w.Total()
	if !(total > 0) {
		return 0
	}
	sum := 0.0
	for i, tokens := range w {
		low, high := bandEnds(i)
		part := (length - low) / (high - low)
		sum += tokens * min(max(part, 0), 1)
	}
	return sum / total
}
