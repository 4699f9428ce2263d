package membership

import (
	"math"
	"time"
)

const (
	// fullRateHosts is the number of hosts of a domain up to which they send heartbeats and exchange
	// at the configured intervals. In larger domains the intervals grow in proportion: the bytes that
	// a host sends per second stay the same, and silence is detected later. Leaves and new hosts are
	// pushed without delay.
	fullRateHosts = 100
	// settleAfter is the time without many new hosts after which exchanges slow down.
	settleAfter = 2 * time.Second
	// rapidGrowthRatio is the ratio of new to known hosts above which growth counts as rapid.
	rapidGrowthRatio = 1.0 / 8
)

// intervalFactor returns the factor by which heartbeat intervals are longer than in a small domain.
func (m *Members) intervalFactor() float64 { return max(1, float64(m.localCount)/fullRateHosts) }

// ExchangeIntervalFactor returns the factor by which this host's exchange interval is to be longer
// than in a small domain. It is 1 while many new hosts are being discovered, as when all start.
func (m *Members) ExchangeIntervalFactor() float64 {
	if !m.settled() {
		return 1
	}
	return m.intervalFactor()
}

// settled reports whether no message has introduced many new hosts within settleAfter.
func (m *Members) settled() bool { return m.clock.Sub(m.grewAt) >= settleAfter }

// scaleInterval returns d lengthened in proportion to the heartbeat interval.
func (m *Members) scaleInterval(d time.Duration) time.Duration {
	return time.Duration(float64(d) * m.intervalFactor())
}

// silenceFactor returns the factor by which silence limits are longer than in a small domain:
// information takes more hops, and each hop takes longer.
func (m *Members) silenceFactor() float64 {
	steps := math.Log(float64(max(m.localCount, fullRateHosts))) / math.Log(fullRateHosts)
	return m.intervalFactor() * steps
}

// noteGrowth compares the number of known hosts before and after a message, and records the time
// when many were new.
func (m *Members) noteGrowth(before int) {
	if grown := len(m.order) - before; float64(grown) > rapidGrowthRatio*float64(before) {
		m.grewAt = m.clock
	}
}
