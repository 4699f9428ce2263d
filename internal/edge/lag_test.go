package edge

import (
	"testing"
	"time"
)

// TestLagCountsOnlyWhileItLasts guards against a daemon that turns callers off because its machine
// stood still once, and against one that keeps doing so when it has time again.
func TestLagCountsOnlyWhileItLasts(t *testing.T) {
	var m lagMonitor
	lags := []struct {
		lag  time.Duration
		want bool
	}{
		{10 * time.Second, false}, {0, false}, {maxLag, false}, {0, false}, {0, false}, {0, false},
		{2 * maxLag, false}, {2 * maxLag, false}, {2 * maxLag, true}, {0, true}, {0, true}, {0, false},
	}
	for i, l := range lags {
		if got := m.record(l.lag); got != l.want || m.overloaded() != l.want {
			t.Errorf("measurement %d, %s: overloaded %v", i, l.lag, got)
		}
	}
}
