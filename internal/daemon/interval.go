package daemon

import (
	"time"

	"github.com/buckthorndock/buckthorndock/internal/core/membership"
)

// shareInterval is how often a host tells all others of its failure domain something: in a
// large domain less often, since each host hears all of them.
type shareInterval struct {
	min     time.Duration // between two digests
	perHost time.Duration // for each host of the domain, when that is more
	max     time.Duration
}

func (c shareInterval) forHosts(hosts int) time.Duration {
	return min(max(time.Duration(hosts)*c.perHost, c.min), c.max)
}

func (p *process) domainInterval(c shareInterval) time.Duration {
	return c.forHosts(len(membership.InDomain(p.node.Members(), p.cfg.Domain)))
}
