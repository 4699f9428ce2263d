package daemon

import (
	"time"

	"github.com/buckthorndock/buckthorndock/internal/core/membership"
)

// pace is how often a host tells all others of its failure domain something: in a
// large domain less often, since each host hears all of them.
type pace struct {
	least   time.Duration // between two digests
	perHost time.Duration // for each host of the domain, when that is more
	most    time.Duration
}

func (c pace) of(hosts int) time.Duration {
	return min(max(time.Duration(hosts)*c.perHost, c.least), c.most)
}

func (p *process) every(c pace) time.Duration {
	return c.of(len(membership.InDomain(p.node.Members(), p.cfg.Domain)))
}
