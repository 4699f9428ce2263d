package gate

import (
	"maps"
	"math"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/core/admission"
)

// allPools returns the pools by name.
func (g *Gate) allPools() map[string]*pool {
	g.poolsMu.RLock()
	defer g.poolsMu.RUnlock()
	return maps.Clone(g.pools)
}

// ownUse returns the use of the pools on this host, as it stands in digests. It must be called
// without the lock of the gate, for pools take that while they hold their own.
func ownUse(pools map[string]*pool, now time.Time) []admission.NodeUsage {
	var all []admission.NodeUsage
	for name, p := range pools {
		for _, u := range p.use(now) {
			all = append(all, admission.NodeUsage{
				Node:   admission.UseID(name, u.Customer),
				Tokens: uint32(min(u.Cost, math.MaxUint32)),
			})
		}
	}
	return all
}

// setPeerUse tells the pools what other hosts have served. It must be called without the lock of the
// gate.
func (g *Gate) setPeerUse(pools map[string]*pool, now time.Time) {
	for name, p := range pools {
		p.setPeerUse(func(customer string) uint64 {
			g.mu.Lock()
			defer g.mu.Unlock()
			return g.limiter.PeerUse(admission.UseID(name, customer), now)
		})
	}
}

func (p *pool) use(now time.Time) []admission.CustomerUse {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.queue.Use(now)
}

// setPeerUse sets the use on other hosts of the customers that are known here.
func (p *pool) setPeerUse(of func(customer string) uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	peers := map[string]uint64{}
	for _, customer := range p.queue.Customers() {
		if cost := of(customer); cost > 0 {
			peers[customer] = cost
		}
	}
	p.queue.SetPeerUse(peers)
}
