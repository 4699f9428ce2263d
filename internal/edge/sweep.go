package edge

import (
	"context"
	"time"
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
	p.mu.Lock()
	before := p.list.Load()
	changed := p.upstreams.Expire(now)
	if changed {
		p.list.Store(p.upstreams.Snapshot())
	}
	p.mu.Unlock()
	if changed && p.logListChange(before, p.list.Load()) {
		p.spreadList()
	}
}
