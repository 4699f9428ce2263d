package placement

import (
	"math"
	"time"
)

// mean is an average of observations whose weight halves with every half-life.
// As the weight decays, value returns to the prior, so that an engine which was
// slow once is tried again.
type mean struct {
	sum    float64
	weight float64
	at     time.Time
}

func (m *mean) decay(now time.Time, halfLife time.Duration) {
	if !now.After(m.at) {
		return
	}
	factor := decayFactor(now.Sub(m.at), halfLife)
	m.sum *= factor
	m.weight *= factor
	m.at = now
}

func (m *mean) observe(value float64, now time.Time, halfLife time.Duration) {
	m.decay(now, halfLife)
	m.sum += value
	m.weight++
}

// value returns the mean of the observations and a prior that counts as one of them.
func (m *mean) value(prior float64, now time.Time, halfLife time.Duration) float64 {
	if m.weight == 0 {
		return prior
	}
	factor := decayFactor(now.Sub(m.at), halfLife)
	return (m.sum*factor + prior) / (m.weight*factor + 1)
}

func decayFactor(age, halfLife time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return math.Exp2(-float64(age) / float64(halfLife))
}

// maxWait limits times computed from rates, so that sums cannot overflow.
const maxWait = 24 * time.Hour

func timeForTokens(tokens, rate float64) time.Duration {
	if tokens <= 0 {
		return 0
	}
	seconds := tokens / rate
	if !(seconds < maxWait.Seconds()) {
		return maxWait
	}
	return time.Duration(seconds * float64(time.Second))
}
