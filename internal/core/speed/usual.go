package speed

import (
	"maps"
	"slices"
	"time"
)

// usualSamples is the number of calls whose median is the usual time of a kind.
const usualSamples = 31

// Usual holds the usual times of kinds of calls that have no figures, so that calls of several kinds
// can be compared. It is not safe for concurrent use.
type Usual struct{ byKind map[string][]time.Duration }

// NewUsual returns a Usual that knows no kind.
func NewUsual() *Usual { return &Usual{byKind: map[string][]time.Duration{}} }

// Observe takes in the time of a call and returns the usual time of its kind: the median of the
// latest calls at all upstreams, this one included.
func (u *Usual) Observe(kind string, took time.Duration) time.Duration {
	latest := u.byKind[kind]
	if len(latest) == usualSamples {
		latest = slices.Delete(latest, 0, 1)
	}
	latest = append(latest, took)
	u.byKind[kind] = latest
	sorted := slices.Sorted(slices.Values(latest))
	return sorted[(len(sorted)-1)/2]
}

// Retain drops the kinds that are no longer used.
func (u *Usual) Retain(used func(kind string) bool) {
	maps.DeleteFunc(u.byKind, func(kind string, _ []time.Duration) bool { return !used(kind) })
}
