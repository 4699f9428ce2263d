package suspects

import (
	"time"

	"github.com/buckthorndock/buckthorndock/internal/core/membership"
)

// Group describes the other daemons to SyncWithStore.
type Group interface {
	// HostCount returns the number of known daemons.
	HostCount() int
	// DomainMembers returns the daemons of this failure domain, this one included.
	DomainMembers() []membership.Member
}

// Limits for which daemons read the store. The others get what these read through digests.
const (
	allReadUpTo      = 16 // number of daemons up to which all read it
	readersPerDomain = 4  // daemons of each failure domain that read it otherwise
	// readerTimeout is the age of a reader's last heartbeat from which it counts as unreachable.
	readerTimeout = 2 * time.Second
)

// readsStore reports whether a daemon reads the store: because there are few daemons, because it is
// one of its failure domain's readers, or because it has heard from none of these recently.
func readsStore(host string, group Group, now time.Time) bool {
	if group.HostCount() <= allReadUpTo {
		return true
	}
	heard := false
	for _, m := range membership.Rank("evidence", group.DomainMembers(), readersPerDomain) {
		if m.Host == host {
			return true
		}
		heard = heard || now.Sub(m.LastHeard) < readerTimeout
	}
	return !heard
}
