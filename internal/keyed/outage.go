package keyed

import (
	"sync"
	"time"
)

// outage records whether the store fails to answer this daemon, and which other daemons say that it
// fails to answer them. The zero value is ready for use; it is safe for concurrent use.
type outage struct {
	mu       sync.Mutex
	failedAt time.Time            // end of the last read that failed; zero: the last one succeeded
	lastAt   time.Time            // when the store was last known not to answer; zero: never
	open     map[int]time.Time    // by number: when reads in progress are overdue
	reads    int                  // number of the last read
	reports  map[string]time.Time // by host: the last report that the store fails
}

const (
	// overdueFraction of Options.Within is how long a read of the store takes at most while the
	// store is sound, beyond the time for which it may be kept open.
	overdueFraction = 0.08
	// outageSpans times Options.Within is how long a failed read counts if none follows: a daemon that
	// gets fresh data from others does not read the store.
	outageSpans = 4
	// minOutageReports is the number of daemons whose word counts as an outage of the store.
	minOutageReports = 3
)

// begin records a read of the store that is overdue at a time. The returned function records its
// end: answered says whether the store has answered, and ignore that the read was canceled.
func (o *outage) begin(overdue time.Time) (end func(answered, ignore bool)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.open == nil {
		o.open = map[int]time.Time{}
	}
	o.reads++
	number := o.reads
	o.open[number] = overdue
	return func(answered, ignore bool) {
		o.mu.Lock()
		defer o.mu.Unlock()
		delete(o.open, number)
		now := time.Now()
		if now.After(overdue) || !answered && !ignore {
			o.lastAt = now
		}
		switch {
		case answered:
			o.failedAt = time.Time{}
		case !ignore:
			o.failedAt = now
		}
	}
}

// last returns when the store was last known not to answer this daemon, zero for never.
func (o *outage) last() time.Time {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	for _, overdue := range o.open {
		if now.After(overdue) {
			return now
		}
	}
	return o.lastAt
}

// recordReported records that the store does not answer this daemon's sources, so that it does not
// read the store itself.
func (o *outage) recordReported() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.lastAt = time.Now()
}

// failing reports whether the store has failed to answer this daemon: a read is overdue, or the last
// one failed within outageSpans times the given time.
func (o *outage) failing(within time.Duration) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	for _, overdue := range o.open {
		if now.After(overdue) {
			return true
		}
	}
	return !o.failedAt.IsZero() && now.Sub(o.failedAt) < outageSpans*within
}

// report records a daemon's word on whether the store fails to answer it.
func (o *outage) report(host string, failing bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !failing {
		delete(o.reports, host)
		return
	}
	if o.reports == nil {
		o.reports = map[string]time.Time{}
	}
	o.reports[host] = time.Now()
}

// reported reports whether enough daemons, this one included, find that the store fails. The word of
// others counts for half of the given time: they may be silent since.
func (o *outage) reported(within time.Duration) bool {
	failing := o.failing(within)
	o.mu.Lock()
	defer o.mu.Unlock()
	now, n := time.Now(), 0
	if failing {
		n++
	}
	for host, at := range o.reports {
		if now.Sub(at) > within/2 {
			delete(o.reports, host)
			continue
		}
		n++
	}
	return n >= minOutageReports
}
