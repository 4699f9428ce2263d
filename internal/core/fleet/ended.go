package fleet

import "time"

// revivalDelay is how long after the proof of its end an incarnation's heartbeats may still be ones
// that it wrote before. Later ones show that the proof was wrong.
const revivalDelay = 10 * time.Second

// endProof is the proof that an incarnation has ended although its entry is registered. The zero
// value means that there is none.
type endProof struct {
	at        time.Time
	heartbeat int64 // the newest heartbeat that the incarnation may have written before its end
}

func (p endProof) exists() bool { return !p.at.IsZero() }

// afterHeartbeat returns the proof as it stands after a heartbeat that was read at now.
func (p endProof) afterHeartbeat(heartbeat int64, now time.Time) endProof {
	switch {
	case !p.exists() || heartbeat <= p.heartbeat:
		return p
	case now.Sub(p.at) < revivalDelay:
		p.heartbeat = heartbeat
		return p
	}
	return endProof{}
}

// RecordEnd records that the incarnation u, an upstream of a snapshot, has ended: another server
// answers at its address. u is in no snapshot until its server registers a later incarnation or
// another address, or goes on to write heartbeats. It returns false when this changes nothing: u is
// not registered, its end is known, or u shares its address with others, so that RecordResponder
// decides.
func (l *List) RecordEnd(u Upstream, now time.Time) bool {
	e, listed := l.byName[u.Name]
	if !listed || e.ID != u.ID || e.Address != u.Address || e.endProof.exists() || l.sharesAddress(e) {
		return false
	}
	e.endProof = endProof{at: now, heartbeat: e.Heartbeat}
	l.version++
	return true
}

// sharesAddress reports whether another incarnation that may be running is registered at an entry's
// address.
func (l *List) sharesAddress(e *entry) bool {
	for _, other := range l.byName {
		if other != e && other.Address == e.Address && !other.endProof.exists() && !other.replaced && l.isUsed(other.Service) {
			return true
		}
	}
	return false
}
