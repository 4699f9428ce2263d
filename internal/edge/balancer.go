package edge

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/core/fleet"
	"github.com/buckthorndock/buckthorndock/internal/core/placement"
	"github.com/buckthorndock/buckthorndock/internal/core/settings"
)

// plainBalancer chooses servers of plain services, those without engines, by the placement core.
// It implements relay.Balancer.
type plainBalancer struct {
	domain string

	mu      sync.Mutex
	view    *placement.View
	rng     *rand.Rand
	list    *fleet.Snapshot
	pools   map[string]bool // services in the view
	domains []string        // failure domains of the list other than the own
	picked  uint64          // number of calls placed, the source of their IDs
	speeds  plainSpeeds
}

func newPlainBalancer(domain string, seed uint64) *plainBalancer {
	return &plainBalancer{
		domain: domain,
		view:   placement.NewView(placement.Options{}),
		rng:    rand.New(rand.NewPCG(seed, seed)),
		list:   &fleet.Snapshot{},
		pools:  map[string]bool{},
		speeds: newPlainSpeeds(),
	}
}

// apply sets the list of upstreams.
func (p *plainBalancer) apply(list *fleet.Snapshot) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.list = list
	specs := map[string][]placement.Spec{}
	domains := map[string]bool{}
	for _, u := range list.Upstreams {
		domains[u.Domain] = true
		specs[u.Service] = append(specs[u.Service], placement.Spec{Name: u.ID, Address: u.Address, Domain: u.Domain})
	}
	for pool := range p.pools {
		if specs[pool] == nil {
			p.view.SetPool(pool, nil)
			delete(p.pools, pool)
		}
	}
	for pool, list := range specs {
		p.view.SetPool(pool, list)
		p.pools[pool] = true
	}
	for _, u := range list.Upstreams {
		state := placement.Live
		if !u.TakesWork() {
			state = placement.Leaving
		}
		p.view.SetState(u.ID, state)
	}
	p.speeds.tracker.Retain(p.isListed)
	delete(domains, p.domain)
	p.domains = p.domains[:0]
	for d := range domains {
		p.domains = append(p.domains, d)
	}
}

// maxInFlightTime limits how long a call counts as in flight if its end is not recorded.
const maxInFlightTime = time.Minute

// Pick implements relay.Balancer.
func (p *plainBalancer) Pick(service string, exclude []string) (fleet.Upstream, func(), bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	d, err := placement.PlaceService(p.view, placement.ServiceRequest{
		Pool:         service,
		Domain:       p.domain,
		Exclude:      exclude,
		Spill:        settings.SpillOverload,
		SpillDomains: p.domains,
		Factor:       func(id string) float64 { return p.speeds.tracker.Factor(id, now) },
	}, now, p.rng)
	if err != nil || d.Verdict != placement.Placed {
		return fleet.Upstream{}, nil, false
	}
	u, ok := p.list.Get(d.Chosen.Name)
	if !ok {
		return fleet.Upstream{}, nil, false
	}
	p.picked++
	id := placement.ID{Attempt: int(p.picked)}
	p.view.NotePlaced(placement.Placement{ID: id, Upstream: u.ID, Deadline: now.Add(maxInFlightTime)}, now)
	return u, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.view.NoteFinished(id, placement.End{Complete: true}, time.Now())
	}, true
}
