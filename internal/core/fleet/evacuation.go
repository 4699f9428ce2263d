package fleet

import (
	"maps"
	"slices"
	"time"
)

// EvacuationRecord is a record of the store that begins or ends the evacuation of a failure
// domain.
type EvacuationRecord struct {
	Domain string
	Begin  bool // false ends the evacuation
}

// Evacuations holds the failure domains that operators have evacuated: their upstreams get no
// new work. The zero value is ready for use. It is not safe for concurrent use.
//
// Invariant: an evacuation lasts until a later read shows that it has ended. A failure to
// read the store ends none.
type Evacuations struct {
	domains map[string]bool
}

// Apply applies the records that a read of the store returned, in their order. A whole read
// returns all evacuations in force, except those of unreadable domains, which stay as they
// were. Apply returns the sorted domains whose evacuation has begun and has ended.
func (e *Evacuations) Apply(records []EvacuationRecord, whole bool, unreadable []string) (begun, ended []string) {
	before := e.domains
	after := maps.Clone(before)
	if whole {
		maps.DeleteFunc(after, func(domain string, _ bool) bool { return !slices.Contains(unreadable, domain) })
	}
	if after == nil {
		after = map[string]bool{}
	}
	for _, r := range records {
		if r.Begin {
			after[r.Domain] = true
		} else {
			delete(after, r.Domain)
		}
	}
	e.domains = after
	return difference(after, before), difference(before, after)
}

// difference returns the sorted domains that are in the first set and not in the second.
func difference(set, other map[string]bool) []string {
	var result []string
	for domain := range set {
		if !other[domain] {
			result = append(result, domain)
		}
	}
	slices.Sort(result)
	return result
}

// SetEvacuated records that the evacuation of a failure domain has begun or ended. Upstreams
// may have become cold during an evacuation: at its end each is treated as cold for the time
// that coldFor gives for its service, until its heartbeats report otherwise.
func (l *List) SetEvacuated(domain string, evacuated bool, coldFor func(service string) time.Duration, now time.Time) {
	l.version++
	if evacuated {
		l.evacuated[domain] = true
		return
	}
	if !l.evacuated[domain] {
		return
	}
	delete(l.evacuated, domain)
	l.AssumeCold(domain, coldFor, now)
}
