// Package avoid tracks the upstreams whose requests failed recently, so that they get no
// requests for a time that doubles with each failure in a row. It goes by the outcomes of
// requests, for health checks may be wrong either way. It is pure: no I/O, goroutines or
// clocks.
package avoid

import "time"

// Options configure a Tracker.
type Options struct {
	Initial time.Duration // how long an upstream is avoided after one failure
	Max     time.Duration // the longest time; each failure in a row doubles the time
	// ResetAfter is how long after the last failure the next one still counts as in a row.
	ResetAfter time.Duration
}

type record struct {
	streak int
	last   time.Time
	until  time.Time
}

// Tracker tracks the failures that one daemon has seen. It is not safe for concurrent use.
type Tracker struct {
	opts Options
	byID map[string]*record
}

// New returns a Tracker without failures.
func New(o Options) *Tracker {
	return &Tracker{opts: o, byID: map[string]*record{}}
}

// RecordFailure records a failure and returns for how long the upstream is avoided. Failures
// while it is avoided, of attempts that began before, count as one.
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

// ClearFailures drops the failures of an upstream if the last one is not before since: the
// fault was not the upstream's.
func (t *Tracker) ClearFailures(id string, since time.Time) {
	if r := t.byID[id]; r != nil && !r.last.Before(since) {
		delete(t.byID, id)
	}
}

// RecordSuccess ends a streak of failures; a success while the upstream is avoided does not.
func (t *Tracker) RecordSuccess(id string, now time.Time) {
	if r := t.byID[id]; r != nil && !now.Before(r.until) {
		delete(t.byID, id)
	}
}

// Avoided returns the upstreams to avoid now, and drops old failures.
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
