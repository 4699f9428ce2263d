package membership

import (
	"math"
	"time"
)

const (
	// fullRate is the number of hosts of a domain up to which they beat and exchange as Config
	// says. With more, each does so more rarely in proportion: what one sends a second stays the
	// same, and news of silence takes longer. A leave and a host that is new are told at once.
	fullRate = 100
	// settleAfter is the time without many new hosts after which exchanges become rare.
	settleAfter = 2 * time.Second
	// manyNew is the share of the known hosts that are many at once.
	manyNew = 1.0 / 8
)

// stretch returns how many times more rarely than in a small domain hosts beat.
func (m *Members) stretch() float64 { return max(1, float64(m.locals)/fullRate) }

// ExchangeIntervalFactor returns how many times more rarely than in a small domain this host is to exchange.
// While it meets many others, as when all start, it does so as often as in a small one.
func (m *Members) ExchangeIntervalFactor() float64 {
	if !m.settled() {
		return 1
	}
	return m.stretch()
}

// settled reports whether no message has told of many new hosts of late.
func (m *Members) settled() bool { return m.clock.Sub(m.grew) >= settleAfter }

// stretched returns a time that is in proportion to the time between beats.
func (m *Members) stretched(d time.Duration) time.Duration {
	return time.Duration(float64(d) * m.stretch())
}

// silenceFactor returns how many times longer than in a small domain a host may be silent: news
// takes more steps, and each is rarer.
func (m *Members) silenceFactor() float64 {
	steps := math.Log(float64(max(m.locals, fullRate))) / math.Log(fullRate)
	return m.stretch() * steps
}

// noteGrowth notes how many hosts a message has told of for the first time.
func (m *Members) noteGrowth(before int) {
	if grown := len(m.order) - before; float64(grown) > manyNew*float64(before) {
		m.grew = m.clock
	}
}
