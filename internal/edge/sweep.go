package edge

import (
	"context"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/core/fleet"
)

// sweep closes kept connections that are over and drops lapsed upstreams.
func (p *process) sweep(ctx context.Context) error {
	ticker := time.NewTicker(sweepEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			p.pool.Sweep(now, p.addressListed())
			p.expireLapsed(now)
		}
	}
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
