package daemon

import (
	"testing"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/router"
)

// TestStaleAgeFollowsMedian checks that an engine whose reports stop is noticed early
// where the other reports are fresh, and not suspected where all are old.
func TestStaleAgeFollowsMedian(t *testing.T) {
	aged := func(ages ...time.Duration) []router.UpstreamStatus {
		var all []router.UpstreamStatus
		for _, age := range ages {
			all = append(all, router.UpstreamStatus{Reported: true, ReportAge: age})
		}
		return append(all, router.UpstreamStatus{}) // an engine without any report
	}
	const ms = time.Millisecond
	for _, c := range []struct {
		engines []router.UpstreamStatus
		want    time.Duration
	}{
		{aged(100*ms, 200*ms, 5000*ms), minStaleAge},
		{aged(900*ms, 800*ms, 700*ms), 2400 * ms},
		{aged(3000*ms, 3000*ms, 3000*ms), maxStaleAgeBase + 4*staleAgePerEngine},
		{aged(), maxStaleAgeBase + staleAgePerEngine},
	} {
		if got := staleAge(c.engines); got != c.want {
			t.Errorf("%v: stale after %v, want %v", c.engines, got, c.want)
		}
	}
}
