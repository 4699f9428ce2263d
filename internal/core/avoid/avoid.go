// Package avoid remembers which upstreams failed a daemon lately, so that they are
// left alone for a while and let back in slowly. It goes by the outcomes of
// requests, for health answers may be wrong either way. When several upstreams of a
// group cannot be reached at all, the way to the group is taken to be cut. It is pure: no I/O,
// goroutines or clocks.
package avoid

import "time"

// Options configure a Tracker.
type Options struct {
	First time.Duration // how long an upstream is avoided after one failure
	Most  time.Duration // the longest; each failure in a row doubles the time
	// Forget is how long after the last failure they count as in a row.
	Forget time.Duration
	// CutAt is how many upstreams of a group have to be unreachable, with none reached
	// in between, until the whole group is avoided; zero: never.
	CutAt int
}

type record struct {
	streak int
	last   time.Time
	until  time.Time
}

// Tracker is the memory of one daemon. It is not safe for concurrent use.
type Tracker struct {
	opts   Options
	byID   map[string]*record
	groups map[string]*group
}

// group is a failure domain as it is reached from here.
type group struct {
	missed map[string]bool // upstreams that could not be reached since one was
	record record
}

// New returns a Tracker without failures.
func New(o Options) *Tracker {
	return &Tracker{opts: o, byID: map[string]*record{}, groups: map[string]*group{}}
}

// Failed notes a failure and returns for how long the upstream is avoided. Failures
// of attempts that began before it was avoided count as one.
func (t *Tracker) Failed(id string, now time.Time) time.Duration {
	r := t.byID[id]
	if r == nil {
		r = &record{}
		t.byID[id] = r
	}
	return t.fail(r, now)
}

func (t *Tracker) fail(r *record, now time.Time) time.Duration {
	if now.Before(r.until) {
		return r.until.Sub(now)
	}
	if now.Sub(r.last) > t.opts.Forget {
		r.streak = 0
	}
	span := min(t.opts.First<<min(r.streak, 16), t.opts.Most)
	r.streak++
	r.last = now
	r.until = now.Add(span)
	return span
}

// Unreached notes that no connection to an upstream of a group could be made. It
// returns for how long the whole group is avoided, zero when it is not.
func (t *Tracker) Unreached(id, in string, now time.Time) time.Duration {
	g := t.groups[in]
	if g == nil {
		g = &group{missed: map[string]bool{}}
		t.groups[in] = g
	}
	if now.Sub(g.record.last) > t.opts.Forget && len(g.missed) == 0 {
		g.record = record{}
	}
	g.missed[id] = true
	if t.opts.CutAt == 0 || len(g.missed) < t.opts.CutAt {
		return 0
	}
	return t.fail(&g.record, now)
}

// Reached notes that an upstream of a group answered.
func (t *Tracker) Reached(in string) { delete(t.groups, in) }

// Cut reports whether a whole group is avoided now.
func (t *Tracker) Cut(in string, now time.Time) bool {
	g := t.groups[in]
	return g != nil && now.Before(g.record.until)
}

// Succeeded ends a streak of failures.
func (t *Tracker) Succeeded(id string, now time.Time) {
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
		case now.Sub(r.last) > t.opts.Forget:
			delete(t.byID, id)
		}
	}
	return ids
}
