package slots

import (
	"time"

	"github.com/buckthorndock/buckthorndock/internal/core/window"
)

// A rank whose requests get slots much less often than all requests do is starved: its requests then
// count as of the most urgent rank. Aging alone does not prevent that while more urgent requests need
// all slots, because those that have aged wait behind each other until their deadlines.
const (
	// starvedShare is the part of the share of all granted requests below which a rank is starved:
	// the least that each rank is to get. More would be taken from the most urgent rank.
	starvedShare = 0.25
	// minAsked is the number of requests of a rank below which its share says nothing.
	minAsked = 4
	// grantBuckets and grantSpan are the window over which requests are counted.
	grantBuckets = 10
	grantSpan    = time.Second
)

// grantCount counts the requests for slots of one rank.
type grantCount struct{ asked, granted *window.Sum }

// grantCounts counts the requests for slots of a service by rank.
type grantCounts map[int]grantCount

func (c grantCounts) of(rank int) grantCount {
	count, known := c[rank]
	if !known {
		count = grantCount{window.NewSum(grantBuckets, grantSpan), window.NewSum(grantBuckets, grantSpan)}
		c[rank] = count
	}
	return count
}

// starved returns the ranks that are starved.
func (c grantCounts) starved(now time.Time) map[int]bool {
	var asked, granted int64
	for _, count := range c {
		asked += count.asked.Total(now)
		granted += count.granted.Total(now)
	}
	var starved map[int]bool
	for rank, count := range c {
		n := count.asked.Total(now)
		if n < minAsked || float64(count.granted.Total(now))*float64(asked) >= starvedShare*float64(granted)*float64(n) {
			continue
		}
		if starved == nil {
			starved = map[int]bool{}
		}
		starved[rank] = true
	}
	return starved
}
