package suspects

import (
	"time"

	"github.com/buckthorndock/buckthorndock/internal/core/membership"
)

// Group is what keeping evidence needs of the other daemons.
type Group interface {
	// HostCount returns the number of all daemons that are known.
	HostCount() int
	// DomainMembers returns the daemons of the own failure domain, this one among them.
	DomainMembers() []membership.Member
}

// Which daemons read the store. What they read reaches the others by digests.
const (
	readersAll  = 16 // daemons up to which all do
	readersNear = 4  // in each failure domain otherwise
	// readerSilent is the age of a reader's last heartbeat from which it counts as cut off.
	readerSilent = 2 * time.Second
)

// reads reports whether a daemon reads the store: where daemons are few, as one of the first of its
// failure domain, or because it hears none of these.
func reads(host string, group Group, now time.Time) bool {
	if group.HostCount() <= readersAll {
		return true
	}
	heard := false
	for _, m := range membership.Rank("evidence", group.DomainMembers(), readersNear) {
		if m.Host == host {
			return true
		}
		heard = heard || now.Sub(m.LastHeard) < readerSilent
	}
	return !heard
}
