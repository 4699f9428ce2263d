package edge

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/buckthorndock/buckthorndock/internal/wait"
)

const (
	// lagInterval is the time between two measurements of how late this process runs.
	lagInterval = 50 * time.Millisecond
	// maxLag is how much later than due a timer may run in a process that has processor time left.
	maxLag = 60 * time.Millisecond
	// Of the last lagWindow measurements, minLateMeasurements have to be late for the process to count
	// as overloaded: a machine that stood still has one.
	lagWindow           = 5
	minLateMeasurements = 3
)

// lagMonitor measures whether this process gets too little processor time for its work. The zero
// value is ready for use. overloaded is safe for concurrent use.
type lagMonitor struct {
	late  [lagWindow]bool
	next  int // index of the oldest measurement in late
	state atomic.Bool
}

// run measures, and logs changes, until the context ends.
func (m *lagMonitor) run(ctx context.Context, log *logrus.Entry) error {
	for {
		due := time.Now().Add(lagInterval)
		if !wait.For(ctx, lagInterval) {
			return nil
		}
		before, lag := m.overloaded(), time.Since(due)
		switch now := m.record(lag); {
		case now && !before:
			log.WithField("lag_ms", lag.Milliseconds()).Warn("overloaded")
		case before && !now:
			log.Info("no_longer_overloaded")
		}
	}
}

// record adds a measurement. It reports whether the process counts as overloaded now.
func (m *lagMonitor) record(lag time.Duration) bool {
	m.late[m.next] = lag > maxLag
	m.next = (m.next + 1) % lagWindow
	n := 0
	for _, late := range m.late {
		if late {
			n++
		}
	}
	m.state.Store(n >= minLateMeasurements)
	return n >= minLateMeasurements
}

func (m *lagMonitor) overloaded() bool { return m.state.Load() }
