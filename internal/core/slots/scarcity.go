package slots

import (
	"maps"
	"slices"
	"time"
)

// Scarcity is what a host knows of the services that are scarce for it. The zero value knows
// none. It is not safe for concurrent use.
type Scarcity struct {
	until map[string]time.Time // by service
}

// Begin records that a service is scarce. It returns true if it was not scarce before.
func (s *Scarcity) Begin(service string, now time.Time) bool {
	if s.until == nil {
		s.until = map[string]time.Time{}
	}
	_, known := s.until[service]
	s.until[service] = now.Add(ScarceFor)
	return !known
}

// Scarce reports whether a service is scarce.
func (s *Scarcity) Scarce(service string, now time.Time) bool {
	return now.Before(s.until[service])
}

// Ended returns the services that have ceased to be scarce since the last call, sorted.
func (s *Scarcity) Ended(now time.Time) []string {
	var ended []string
	for service, until := range s.until {
		if !now.Before(until) {
			ended = append(ended, service)
		}
	}
	slices.Sort(ended)
	maps.DeleteFunc(s.until, func(_ string, until time.Time) bool { return !now.Before(until) })
	return ended
}
