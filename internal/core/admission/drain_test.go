package admission

import (
	"testing"
	"time"
)

// TestDrainIgnoresTheFill: what leaves the queue in its first moments goes into room
// that was left, and does not count as the lasting rate.
func TestDrainIgnoresTheFill(t *testing.T) {
	var d DrainRate
	now := time.Unix(1_000_000, 0)
	d.SetBacklogged(true, now)
	d.RecordServed(1_000_000, now)
	if _, ok := d.DrainTime(1000, now.Add(fillTime)); ok {
		t.Error("a rate is known after the fill alone")
	}
	for range 20 { // 100 in a tenth of a second
		now = now.Add(100 * time.Millisecond)
		d.RecordServed(100, now)
	}
	wait, ok := d.DrainTime(1000, now)
	if !ok || wait < 900*time.Millisecond || wait > 1100*time.Millisecond {
		t.Errorf("1000 at 1000 a second take %v", wait)
	}
	// A short gap begins no new backlog.
	d.SetBacklogged(false, now)
	now = now.Add(quietTime / 2)
	d.SetBacklogged(true, now)
	d.RecordServed(1000, now)
	if shorter, _ := d.DrainTime(1000, now); shorter >= wait {
		t.Errorf("what was served right after a short gap does not count: %v", shorter)
	}
}
