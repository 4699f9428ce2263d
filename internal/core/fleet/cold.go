package fleet

import "time"

// beatsToBelieve is how many heartbeats of an upstream after a doubt tell how it is now: the
// first may have been on its way.
const beatsToBelieve = 2

// AssumeCold makes the upstreams of a failure domain count as cold until they say otherwise,
// for what they said last may be over: the domain was not in use, or could not be reached.
func (l *List) AssumeCold(domain string, coldFor func(service string) time.Duration, now time.Time) {
	for _, e := range l.byName {
		if e.Domain != domain {
			continue
		}
		l.changes++
		e.coldUntil = later(e.coldUntil, now.Add(coldFor(e.Service)))
		e.believeFrom = e.Heartbeat + beatsToBelieve
	}
}

// UpdateCold notes what an answer of an upstream says: for how long it stays cold. It returns
// false when that is known, or the upstream is not.
func (l *List) UpdateCold(id string, left time.Duration, now time.Time) bool {
	until := now.Add(left)
	for _, e := range l.byName {
		if e.ID != id {
			continue
		}
		if until.Sub(e.coldUntil) < coldSlack {
			return false
		}
		l.changes++
		e.coldUntil = until
		e.believeFrom = e.Heartbeat + beatsToBelieve
		return true
	}
	return false
}

// coldSlack is the difference between two words on how long an upstream stays cold that is
// none: they were written at different times.
const coldSlack = 300 * time.Millisecond

// ColdChanged reports whether it matters that an upstream was cold until one time and is so
// until another now.
func ColdChanged(before, after, now time.Time) bool {
	if !before.After(now) && !after.After(now) {
		return false
	}
	return after.Sub(before).Abs() >= coldSlack
}

// takeCold takes in for how long the entry of an upstream, read at a time, says that it stays
// cold. Where the entry is the one that was known, time goes on.
func (e *entry) takeCold(u *Upstream, fresh bool, now time.Time) {
	var told time.Time
	if u.ColdFor > 0 {
		told = now.Add(u.ColdFor)
	}
	switch {
	case u.Heartbeat < e.believeFrom:
		e.coldUntil = later(e.coldUntil, told)
	case fresh:
		e.coldUntil = told
	}
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
