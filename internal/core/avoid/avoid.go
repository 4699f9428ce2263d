// Package avoid remembers which upstreams failed a daemon lately, so that they are
// left alone for a while and let back in slowly. It goes by the outcomes of
// requests, for health answers may be wrong either way. It is pure: no I/O, goroutines or
// clocks.
package avoid

import "time"

// Options configure a Tracker.
type Options struct {
	Initial time.Duration // how long an upstream is avoided after one failure
	Max     time.Duration // the longest; each failure in a row doubles the time
	// ResetAfter is how long after the last failure they count as in a row.
	ResetAfter time.Duration
}

type record struct {
	streak int
	last   time.Time
	until  time.Time
}

// Tracker is the memory of one daemon. It is not safe for concurrent use.
type Tracker struct {
	opts Options
	byID map[string]*record
}

// New returns a Tracker without failures.
func New(o Options) *Tracker {
	return &Tracker{opts: o, byID: map[string]*record{}}
}

// RecordFailure notes a failure and returns for how long the upstream is avoided. Failures
// of attempts that began before it was avoided count as one.
func (t *Tracker) RecordFailure(id string, now time.Time) time.Duration {
	r := t.byID[id]
	if r == nil {
		r = &record{}
		t.byID[id] = r
	}
	if now.Before(r.until) {
		return r.until.Sub(now)
	}
	if now.Sub(r.last) > t.opts.ResetAfter {
		r.streak = 0
	}
	span := min(t.opts.Initial<<min(r.streak, 16), t.opts.Max)
	r.streak++
	r.last = now
	r.until = now.Add(span)
	return span
}

// ClearFailures forgets the failures of an upstream since a time: what was at fault was not the
// upstream.
func (t *Tracker) ClearFailures(id string, since time.Time) {
	if r := t.byID[id]; r != nil && !r.last.Before(since) {
		delete(t.byID, id)
	}
}

// RecordSuccess ends a streak of failures.
func (t *Tracker) RecordSuccess(id string, now time.Time) {
	if r := t.byID[id]; r != nil && !now.Before(r.until) {
		delete(t.byID, id)
	}
}

// Avoided returns the upstreams to leave alone now, and forgets old failures.
func (t *Tracker) Avoided(now time.Time) []string {
	var ids []string
	for id, r := range t.byID {
		switch {
		case now.Before(r.until):
			ids = append(ids, id)
		case now.Sub(r.last) > t.opts.ResetAfter:
			delete(t.byID, id)
		}
	}
	return ids
}
