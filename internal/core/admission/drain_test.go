package admission

import (
	"testing"
	"time"
)

// TestDrainRateIgnoresFillTime checks that entries that leave the queue in the first
// moments of a backlog, into spare capacity, do not count for the sustained rate.
func TestDrainRateIgnoresFillTime(t *testing.T) {
	var d DrainRate
	now := time.Unix(1_000_000, 0)
	d.SetBacklogged(true, now)
	d.RecordServed(1_000_000, now)
	if _, ok := d.DrainTime(1000, now.Add(fillTime)); ok {
		t.Error("a rate is known after the fill time alone")
	}
	for range 20 { // 100 in a tenth of a second
		now = now.Add(100 * time.Millisecond)
		d.RecordServed(100, now)
	}
	wait, ok := d.DrainTime(1000, now)
	if !ok || wait < 900*time.Millisecond || wait > 1100*time.Millisecond {
		t.Errorf("a cost of 1000 at 1000 per second takes %v", wait)
	}
	// After a short gap it is still the same backlog.
	d.SetBacklogged(false, now)
	now = now.Add(quietTime / 2)
	d.SetBacklogged(true, now)
	d.RecordServed(1000, now)
	if shorter, _ := d.DrainTime(1000, now); shorter >= wait {
		t.Errorf("entries served right after a short gap are not counted: %v", shorter)
	}
}
