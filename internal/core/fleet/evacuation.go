package fleet

import (
	"maps"
	"slices"
	"time"
)

// EvacuationRecord is a record of the store about the evacuation of a failure domain.
type EvacuationRecord struct {
	Domain string
	Begin  bool // else it has been taken back
}

// Evacuations are the failure domains whose upstreams are to get nothing new, as operators
// wish. The zero value is ready for use. It is not safe for concurrent use.
//
// Invariant: an evacuation that was read stands until a later read says that it was taken
// back; that the store cannot be read ends none.
type Evacuations struct {
	domains map[string]bool
}

// Apply takes in the wishes that a read of the store brought, in their order. A whole read has
// all that stand, but for those of unreadable domains: nothing new is known of them. It
// returns the domains whose evacuation began and ended.
func (e *Evacuations) Apply(wishes []EvacuationRecord, whole bool, unreadable []string) (begun, ended []string) {
	before := e.domains
	after := maps.Clone(before)
	if whole {
		maps.DeleteFunc(after, func(domain string, _ bool) bool { return !slices.Contains(unreadable, domain) })
	}
	if after == nil {
		after = map[string]bool{}
	}
	for _, w := range wishes {
		if w.Begin {
			after[w.Domain] = true
		} else {
			delete(after, w.Domain)
		}
	}
	e.domains = after
	return missing(after, before), missing(before, after)
}

// missing returns the domains of one set that another lacks, in order.
func missing(of, in map[string]bool) []string {
	var some []string
	for domain := range of {
		if !in[domain] {
			some = append(some, domain)
		}
	}
	slices.Sort(some)
	return some
}

// SetEvacuated notes that the evacuation of a failure domain has begun or ended. Upstreams of
// a domain that comes back may have become cold meanwhile: each counts as cold, for the time
// that coldFor gives its service, until it says otherwise.
func (l *List) SetEvacuated(domain string, evacuated bool, coldFor func(service string) time.Duration, now time.Time) {
	l.changes++
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
