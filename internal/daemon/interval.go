package daemon

import (
	"time"

	"github.com/buckthorndock/buckthorndock/internal/core/membership"
)

// shareInterval is the time between two digests of a host to all others of its
// failure domain. It grows with the domain, since each host receives all digests.
type shareInterval struct {
	min     time.Duration
	perHost time.Duration // for each host of the domain, if that is more than min
	max     time.Duration
}

func (s shareInterval) forHosts(hosts int) time.Duration {
	return min(max(time.Duration(hosts)*s.perHost, s.min), s.max)
}

// domainInterval returns the interval for the present size of this failure domain.
func (p *process) domainInterval(s shareInterval) time.Duration {
	return s.forHosts(len(membership.InDomain(p.node.Members(), p.cfg.Domain)))
}
