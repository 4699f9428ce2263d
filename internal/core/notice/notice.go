package notice

import (
	"maps"
	"slices"
	"time"
)

// Notice is what one answer of an upstream says of the upstream itself.
type Notice struct {
	Limited bool    // it names a limit
	Limit   float64 // requests a second that it takes from all hosts together
}

// Limit is the limit of one upstream as a host has heard it.
type Limit struct {
	Upstream  string  // ID of the life
	Limited   bool    // false: it has taken its limit back
	PerSecond float64 // requests from all hosts together
	At        time.Time
}

// Tracker has what one host has heard. It is not safe for concurrent use.
//
// Invariant: a limit stands until an answer to what was sent after it was heard names none.
// Answers on different connections may overtake each other.
type Tracker struct {
	limits map[string]Limit
}

// New returns a Tracker that has heard nothing.
func New() *Tracker { return &Tracker{limits: map[string]Limit{}} }

// Limits returns all limits that were heard, those that were taken back among them.
func (t *Tracker) Limits() []Limit { return slices.Collect(maps.Values(t.limits)) }

// Heard takes in what an answer says that came now to what was sent at a time. It reports
// whether the limit of the upstream changed.
func (t *Tracker) Heard(id string, n Notice, sent, now time.Time) (changed bool) {
	before, known := t.limits[id]
	if !n.Limited && (!known || sent.Before(before.At)) {
		return false
	}
	t.limits[id] = Limit{Upstream: id, Limited: n.Limited, PerSecond: n.Limit, At: now}
	return !known || before.Limited != n.Limited || before.PerSecond != n.Limit
}

// LimitOf returns the limit of an upstream; ok is false when none stands.
func (t *Tracker) LimitOf(id string) (l Limit, ok bool) {
	l = t.limits[id]
	return l, l.Limited
}

// Keep forgets the upstreams for which ok does not hold.
func (t *Tracker) Keep(ok func(id string) bool) {
	for id := range t.limits {
		if !ok(id) {
			delete(t.limits, id)
		}
	}
}
