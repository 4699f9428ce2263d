package fleet

import "time"

// heartbeatsUntilTrusted is the number of heartbeats after which an upstream's entry may again
// shorten a cold time that was assumed or reported in an answer. The first of them may have been
// sent before that.
const heartbeatsUntilTrusted = 2

// AssumeCold treats the upstreams of a failure domain as cold for at least the time that coldFor
// gives for their service, until their heartbeats report otherwise. What they last reported may
// be out of date, because the domain was not in use or could not be reached.
func (l *List) AssumeCold(domain string, coldFor func(service string) time.Duration, now time.Time) {
	for _, e := range l.byName {
		if e.Domain != domain {
			continue
		}
		l.version++
		e.coldUntil = later(e.coldUntil, now.Add(coldFor(e.Service)))
		e.trustedFrom = e.Heartbeat + heartbeatsUntilTrusted
	}
}

// UpdateCold records for how long an upstream stays cold according to one of its answers. It
// returns false when the upstream is unknown or does not become cold for longer.
func (l *List) UpdateCold(id string, left time.Duration, now time.Time) bool {
	until := now.Add(left)
	for _, e := range l.byName {
		if e.ID != id {
			continue
		}
		if until.Sub(e.coldUntil) < coldTolerance {
			return false
		}
		l.version++
		e.coldUntil = until
		e.trustedFrom = e.Heartbeat + heartbeatsUntilTrusted
		return true
	}
	return false
}

// coldTolerance is the largest difference between two reported ends of a cold time that are
// treated as equal. They differ because the reports were written at different times.
const coldTolerance = 300 * time.Millisecond

// ColdChanged reports whether the end of an upstream's cold time moved significantly from
// before to after. Ends that have both passed at now are equal.
func ColdChanged(before, after, now time.Time) bool {
	if !before.After(now) && !after.After(now) {
		return false
	}
	return after.Sub(before).Abs() >= coldTolerance
}

// updateCold updates the end of the cold time from an entry that was read at now. An entry
// before trustedFrom can only extend it. A later one sets it, unless the same entry was read
// before (not fresh): its remaining time counts from the first read.
func (e *entry) updateCold(u *Upstream, fresh bool, now time.Time) {
	var reported time.Time
	if u.ColdFor > 0 {
		reported = now.Add(u.ColdFor)
	}
	switch {
	case u.Heartbeat < e.trustedFrom:
		e.coldUntil = later(e.coldUntil, reported)
	case fresh:
		e.coldUntil = reported
	}
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
