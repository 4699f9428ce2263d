package owner

import (
	"time"

	"github.com/buckthorndock/buckthorndock/internal/core/option"
	"github.com/buckthorndock/buckthorndock/internal/core/order"
	"github.com/buckthorndock/buckthorndock/internal/core/settings"
)

// DefaultMaxOrderTime is the longest time that an order may take in pools whose
// settings do not set one.
const DefaultMaxOrderTime = 5 * time.Minute

// EnginesOf returns the engines of a failure domain in the pools of the settings. A
// Catalog returns this list.
func EnginesOf(pools []settings.Pool, domain string) []Engine {
	var engines []Engine
	for _, p := range pools {
		if p.Kind != settings.PoolEngine {
			continue
		}
		for _, u := range p.Upstreams {
			if u.Domain == domain {
				engines = append(engines, Engine{Name: u.Name, Address: u.Address, Pool: p.Name})
			}
		}
	}
	return engines
}

// OrderPoolsOf returns the engine pools of a failure domain with their desired
// state from the settings. A pool without engines there or without models is left
// out.
func OrderPoolsOf(pools []settings.Pool, models []settings.Model, domain string) []OrderPool {
	var out []OrderPool
	for _, p := range pools {
		engines := EnginesOf([]settings.Pool{p}, domain)
		desired := desiredOf(p.Name, models)
		if len(engines) == 0 || len(desired.Models) == 0 {
			continue
		}
		longest := time.Duration(p.MaxOrderMs) * time.Millisecond
		option.Default(&longest, DefaultMaxOrderTime)
		out = append(out, OrderPool{
			Name:          p.Name,
			ChecksFencing: p.ChecksFencing,
			MaxOrderTime:  longest,
			Desired:       desired,
			Engines:       engines,
		})
	}
	return out
}

// desiredOf returns the models that the engines of a pool are to serve.
func desiredOf(pool string, models []settings.Model) order.Desired {
	var d order.Desired
	for _, m := range models {
		if m.Pool != pool {
			continue
		}
		d.Models = append(d.Models, order.Model{Name: m.Name, Version: m.Version, Adapters: m.Adapters, Urgent: m.Urgent})
	}
	return d
}
