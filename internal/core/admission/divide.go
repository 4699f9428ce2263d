package admission

import (
	"github.com/buckthorndock/buckthorndock/internal/core/settings"
	"github.com/cespare/xxhash/v2"
)

// division is the input for dividing one node's limits.
type division struct {
	id      uint32
	floor   float64 // fraction of the limit that is divided evenly
	domains []demand
	hosts   []demand
}

// demand is the recent demand of a host or domain for a node's limits.
type demand struct{ requests, tokens uint64 }

func (d *demand) add(n NodeUsage) {
	d.requests += uint64(n.Requests)
	d.tokens += uint64(n.Tokens)
}

func ofRequests(d demand) uint64 { return d.requests }

func ofTokens(d demand) uint64 { return d.tokens }

// divide returns this host's share of a node's limits.
func (v *view) divide(limits settings.Limits, id uint32, floorShare float64, expected int) settings.Limits {
	if limits == (settings.Limits{}) {
		return limits
	}
	if v.knownHosts()*2 < expected {
		// Just started: too few digests to divide by demand.
		return settings.Limits{
			RequestsInFlight:     limits.RequestsInFlight / expected,
			PromptTokensInFlight: limits.PromptTokensInFlight / expected,
			TokensPerSecond:      limits.TokensPerSecond / expected,
		}
	}
	d := division{id: id, floor: floorShare, domains: make([]demand, len(v.domains)), hosts: make([]demand, len(v.hosts))}
	for i, dv := range v.domains {
		for _, p := range dv.parts {
			d.domains[i].add(p.find(id))
		}
	}
	for i, h := range v.hosts {
		d.hosts[i].add(h.find(id))
	}
	return settings.Limits{
		RequestsInFlight:     v.limitShare(limits.RequestsInFlight, &d, ofRequests),
		PromptTokensInFlight: v.limitShare(limits.PromptTokensInFlight, &d, ofTokens),
		TokensPerSecond:      v.limitShare(limits.TokensPerSecond, &d, ofTokens),
	}
}

// limitShare returns this host's share of one limit, from 0 to limit. First the limit is
// divided among domains, then the own domain's part among its hosts, each time by
// recent demand above a floor. Each host gets at least one unit if there are
// enough.
func (v *view) limitShare(limit int, d *division, weight func(demand) uint64) int {
	if limit <= 0 {
		return 0
	}
	known := v.knownHosts()
	floor := int(float64(limit) * d.floor / float64(known))
	if limit >= known {
		floor = max(floor, 1)
	}
	return v.hostPart(v.domainPart(limit, d, weight, floor), d, weight, floor)
}

func (v *view) domainPart(limit int, d *division, weight func(demand) uint64, floor int) int {
	claims := make([]claim, len(v.domains))
	own := 0
	var weights uint64
	for i, dv := range v.domains {
		claims[i] = claim{floor: dv.hosts * floor, weight: weight(d.domains[i]), tieBreak: tieBreak(d.id, dv.hash)}
		weights += claims[i].weight
		if dv.name == v.domain {
			own = i
		}
	}
	if weights == 0 {
		for i, dv := range v.domains {
			claims[i].weight = uint64(dv.hosts)
		}
	}
	return allocate(limit, claims)[own]
}

func (v *view) hostPart(part int, d *division, weight func(demand) uint64, floor int) int {
	claims := make([]claim, len(v.hosts))
	own := 0
	for i, h := range v.hosts {
		claims[i] = claim{floor: min(floor, part/len(v.hosts)), tieBreak: tieBreak(d.id, h.hash)}
		if !v.isolated { // an isolated host takes an equal part among the last known hosts
			claims[i].weight = weight(d.hosts[i])
		}
		if h.Host == v.host {
			own = i
		}
	}
	return allocate(part, claims)[own]
}

func hashName(name string) uint64 { return xxhash.Sum64String(name) }

// tieBreak returns the rank by which a host gets the last unit of an equal division.
// It depends on the node, so that the units of many nodes spread over the hosts.
func tieBreak(id uint32, hash uint64) uint64 {
	return (hash ^ uint64(id)) * 0x9e3779b97f4a7c15
}
