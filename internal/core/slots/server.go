package slots

import "time"

// adaptInterval is the time in which the number of leasable slots of a server grows by one, and
// the least time between two reductions, so that the first one can take effect.
const adaptInterval = time.Second

// minLeasable is the least number of leasable slots: only calls show that a server has room again.
const minLeasable = 1

// server is a plain server. Its number of leasable slots adapts, because the calls of hosts that
// do not ask for leases are not known.
type server struct {
	service   string
	slots     int
	leasable  int
	leased    int
	lastFull  time.Time // when it last turned a call away; zero: never
	reducedAt time.Time // when leasable was last reduced, or the period of scarcity began
	growFrom  time.Time // from when the time without a call turned away counts
	notBefore time.Time // until then no lease is granted
}

// recoveryTime is how long after a server has turned a call away its leases are spaced by the time
// in which it ends one call. Calls that are turned away hold their leases for milliseconds only, so
// a full server would appear to be the one with the most free slots.
const recoveryTime = time.Second

// Bounds of the time between two leases of a server that has turned a call away, and its value while
// the usual time of a call is not known.
const (
	minSpacing     = 5 * time.Millisecond
	maxSpacing     = 200 * time.Millisecond
	defaultSpacing = 20 * time.Millisecond
)

// spacing returns the time between two leases of a server that has turned a call away: that in which
// it ends one call. hold is the usual time of a call.
func (s *server) spacing(hold time.Duration) time.Duration {
	if hold == 0 {
		return defaultSpacing
	}
	return min(max(hold/time.Duration(s.slots), minSpacing), maxSpacing)
}

// recovering reports whether the server has turned a call away lately.
func (s *server) recovering(now time.Time) bool {
	return !s.lastFull.IsZero() && now.Sub(s.lastFull) < recoveryTime
}

// pause has the next lease wait because the server was full. After a pause leases are possible for
// as long, whatever else the server turns away.
func (s *server) pause(hold time.Duration, now time.Time) {
	spacing := s.spacing(hold)
	if !now.Before(s.notBefore.Add(spacing)) {
		s.notBefore = now.Add(spacing)
	}
}

// grow adds leasable slots for the time in which the server has turned no call away.
func (s *server) grow(now time.Time) {
	if s.leasable >= s.slots {
		return
	}
	n := int(now.Sub(s.growFrom) / adaptInterval)
	if n <= 0 {
		return
	}
	s.leasable = min(s.leasable+n, s.slots)
	s.growFrom = s.growFrom.Add(time.Duration(n) * adaptInterval)
}

// recordFull takes in that the server has turned a call away. The first time begins a period of
// scarcity, in which hosts learn to ask for leases; later ones halve the leasable slots.
func (s *server) recordFull(now time.Time) {
	s.grow(now)
	begins := s.lastFull.IsZero() || now.Sub(s.lastFull) >= ScarceFor
	s.lastFull, s.growFrom = now, now
	switch {
	case begins:
		s.reducedAt = now
	case now.Sub(s.reducedAt) >= adaptInterval:
		s.leasable = max(s.leasable/2, minLeasable)
		s.reducedAt = now
	}
}

// free returns the number of leases that can be granted now.
func (s *server) free(now time.Time) int {
	s.grow(now)
	n := max(s.leasable-s.leased, 0)
	switch {
	case now.Before(s.notBefore):
		return 0
	case s.recovering(now):
		return min(n, 1)
	}
	return n
}

// setSlots changes the number of slots. A change of it resets the number of leasable ones.
func (s *server) setSlots(slots int) {
	if slots != s.slots {
		s.slots, s.leasable = slots, slots
	}
}
