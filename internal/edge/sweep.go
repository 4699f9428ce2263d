package edge

import (
	"context"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/core/fleet"
	"github.com/buckthorndock/buckthorndock/internal/wait"
)

// sweep closes kept connections that are over, drops lapsed upstreams and forgets what
// those that have gone have said.
func (p *process) sweep(ctx context.Context) error {
	wait.Every(ctx, sweepInterval, func(now time.Time) {
		p.pool.Sweep(now, p.addressListed())
		p.expireLapsed(now)
		p.notices.RetainListed(p.list.Load())
	})
	return nil
}

func (p *process) addressListed() func(string) bool {
	listed := map[string]bool{}
	for _, u := range p.list.Load().Upstreams {
		listed[u.Address] = true
	}
	return func(address string) bool { return listed[address] }
}

func (p *process) expireLapsed(now time.Time) {
	p.changeList(func(l *fleet.List) bool { return l.Expire(now) })
}
