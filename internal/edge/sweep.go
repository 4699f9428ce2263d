package edge

import (
	"context"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/core/fleet"
	"github.com/buckthorndock/buckthorndock/internal/wait"
)

// sweep closes idle connections that have expired, removes lapsed upstreams from the list, drops
// the notices of upstreams that are no longer listed and reports the speeds of plain servers.
func (p *process) sweep(ctx context.Context) error {
	wait.Every(ctx, sweepInterval, func(now time.Time) {
		p.pool.Sweep(now, p.addressListed())
		p.expireLapsed(now)
		p.notices.RetainListed(p.list.Load())
		p.reportSpeeds()
	})
	return nil
}

// addressListed returns a function that reports whether an address is that of a listed upstream.
func (p *process) addressListed() func(string) bool {
	listed := map[string]bool{}
	for _, u := range p.list.Load().Upstreams {
		listed[u.Address] = true
	}
	return func(address string) bool { return listed[address] }
}

// expireLapsed removes the upstreams from the list whose entries have lapsed.
func (p *process) expireLapsed(now time.Time) {
	p.changeList(func(l *fleet.List) bool { return l.Expire(now) })
}
