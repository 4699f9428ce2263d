package daemon

import (
	"github.com/buckthorndock/buckthorndock/internal/core/order"
	"github.com/buckthorndock/buckthorndock/internal/core/settings"
	"github.com/buckthorndock/buckthorndock/internal/owner"
)

func (p *process) buildOrders() error {
	me := p.selfHolder()
	p.orders = owner.NewOrders(owner.OrderOptions{
		Domain:    p.cfg.Domain,
		Self:      order.Holder{Host: me.Host, Incarnation: me.Incarnation},
		Log:       p.logService,
		Weights:   p.weights,
		Engines:   p.engines,
		Ownership: p.peers,
		Pools:     p.orderPools,
		Logger:    p.log,
	})
	return nil
}

// orderPools returns the engine pools with the models that the settings require, and
// their engines in this failure domain that are not evacuated. Pools without such
// engines are left out.
func (p *process) orderPools() []owner.OrderPool {
	var pools []owner.OrderPool
	for _, pool := range p.follower.Current().Pools() {
		if pool.Kind != settings.PoolEngine {
			continue
		}
		op := owner.OrderPool{
			Name:          pool.Name,
			ChecksFencing: pool.ChecksFencing,
			MaxOrderTime:  pool.MaxOrderTime,
			Desired:       desiredOf(pool),
		}
		for _, u := range pool.Upstreams {
			if u.Domain == p.cfg.Domain && !u.Evacuated {
				op.Engines = append(op.Engines, owner.Engine{Name: u.Name, Address: u.Address, Pool: pool.Name})
			}
		}
		if len(op.Engines) > 0 {
			pools = append(pools, op)
		}
	}
	return pools
}

// desiredOf returns the models that the settings require on a pool's engines.
func desiredOf(pool *settings.PoolView) order.Desired {
	var d order.Desired
	for _, m := range pool.Models {
		d.Models = append(d.Models, order.Model{Name: m.Name, Version: m.Version, Adapters: m.Adapters, Urgent: m.Urgent})
	}
	return d
}
