package booking

import "time"

// arrivalWindow is the time over which arrivals are counted: long enough for a stable rate on a
// small site, and shorter than the seconds within which a load turns.
const (
	arrivalWindow  = time.Second
	arrivalBuckets = 10
	bucketSpan     = arrivalWindow / arrivalBuckets
)

// arrivals counts the short prompts that arrived lately, by service.
type arrivals struct {
	byService map[string]*arrivalCount
	waiting   map[string]time.Time // attempts that were told to ask again, and when
}

// arrivalRanks is the number of ranks that are counted apart. Less urgent ranks count as the last.
const arrivalRanks = 10

// arrivalCount counts arrivals in a ring of buckets.
type arrivalCount struct {
	buckets [arrivalBuckets][arrivalRanks]int
	newest  int64 // number of the newest bucket, in bucketSpan since the epoch
}

func newArrivals() *arrivals {
	return &arrivals{byService: map[string]*arrivalCount{}, waiting: map[string]time.Time{}}
}

// record counts an attempt unless it has asked before.
func (a *arrivals) record(r *Request, now time.Time) {
	if _, again := a.waiting[r.ID]; again {
		return
	}
	c := a.byService[r.Service]
	if c == nil {
		c = &arrivalCount{}
		a.byService[r.Service] = c
	}
	c.advance(now)
	c.buckets[c.newest%arrivalBuckets][arrivalRank(r.Rank)]++
}

func arrivalRank(rank int) int { return min(max(rank, 0), arrivalRanks-1) }

// noteVerdict records whether an attempt is to ask again.
func (a *arrivals) noteVerdict(attempt string, v Verdict, now time.Time) {
	if v == Yield || v == Full {
		a.waiting[attempt] = now
		return
	}
	delete(a.waiting, attempt)
}

// expire drops attempts that have not asked again.
func (a *arrivals) expire(now time.Time) {
	for id, asked := range a.waiting {
		if now.Sub(asked) > arrivalWindow {
			delete(a.waiting, id)
		}
	}
}

// perSecond returns the rate of arrivals of a rank and of more urgent ones.
func (a *arrivals) perSecond(service string, rank int, now time.Time) float64 {
	c := a.byService[service]
	if c == nil {
		return 0
	}
	c.advance(now)
	sum := 0
	for i := range c.buckets {
		for _, n := range c.buckets[i][:arrivalRank(rank)+1] {
			sum += n
		}
	}
	return float64(sum) / arrivalWindow.Seconds()
}

// advance makes the bucket of now the newest one. A clock that goes back counts as now.
func (c *arrivalCount) advance(now time.Time) {
	at := now.UnixNano() / int64(bucketSpan)
	for steps := min(at-c.newest, arrivalBuckets); steps > 0; steps-- {
		clear(c.buckets[(at-steps+1)%arrivalBuckets][:])
	}
	c.newest = max(c.newest, at)
}
