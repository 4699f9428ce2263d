package status

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/core/demand"
)

// TopCustomers is the number of customers whose demand is listed one by one.
const TopCustomers = 50

// Sections has the parts of a status that the components which divide scarce capacity know. The
// methods are called for each status request: they must be cheap and safe for concurrent use.
type Sections interface {
	// CustomerShares returns the customers that use or wait for engines.
	CustomerShares(now time.Time) []Customer
	// PlainServers returns the plain servers whose slots are leased.
	PlainServers(now time.Time) []PlainServer
	// UpstreamSpeeds returns the upstreams that are faster or slower than their figures say.
	UpstreamSpeeds(now time.Time) []Upstream
}

// AddSections sets the sections of s and replaces nil lists by empty ones.
func (s *Status) AddSections(from Sections, now time.Time) {
	s.Customers = from.CustomerShares(now)
	s.PlainServers = from.PlainServers(now)
	s.Upstreams = from.UpstreamSpeeds(now)
	s.fillNilLists()
}

// fillNilLists replaces nil lists by empty ones, which JSON does not write as null.
func (s *Status) fillNilLists() {
	s.Waiting = notNil(s.Waiting)
	s.Refusals = notNil(s.Refusals)
	s.Services = notNil(s.Services)
	s.Demand.ByDomain = notNil(s.Demand.ByDomain)
	s.Demand.ByCustomer = notNil(s.Demand.ByCustomer)
	s.Customers = notNil(s.Customers)
	s.PlainServers = notNil(s.PlainServers)
	s.Upstreams = notNil(s.Upstreams)
}

func notNil[T any](list []T) []T {
	if list == nil {
		return []T{}
	}
	return list
}

// NewDemand returns the demand of some cells.
func NewDemand(cells []demand.Cell) Demand {
	d := newDemandSum()
	for _, c := range cells {
		ms := millis(c.EngineTime)
		d.addDomain(DomainDemand{c.Domain, c.Service, ms, c.Requests})
		d.addCustomer(CustomerDemand{c.Customer, ms, c.Requests})
	}
	return d.demand()
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// roundTo3 returns a number with three decimals.
func roundTo3(x float64) float64 { return math.Round(x*1000) / 1000 }

// demandSum adds up demand.
type demandSum struct {
	domains   map[domainService]DomainDemand
	customers map[string]CustomerDemand
	rest      RestDemand
}

type domainService struct{ domain, service string }

func newDemandSum() *demandSum {
	return &demandSum{domains: map[domainService]DomainDemand{}, customers: map[string]CustomerDemand{}}
}

func (s *demandSum) addDomain(d DomainDemand) {
	k := domainService{d.Domain, d.Service}
	sum := s.domains[k]
	sum.Domain, sum.Service = d.Domain, d.Service
	sum.EngineTimeMs += d.EngineTimeMs
	sum.Requests += d.Requests
	s.domains[k] = sum
}

func (s *demandSum) addCustomer(d CustomerDemand) {
	sum := s.customers[d.Customer]
	sum.Customer = d.Customer
	sum.EngineTimeMs += d.EngineTimeMs
	sum.Requests += d.Requests
	s.customers[d.Customer] = sum
}

func (s *demandSum) addRest(r RestDemand) {
	s.rest.Customers += r.Customers
	s.rest.EngineTimeMs += r.EngineTimeMs
	s.rest.Requests += r.Requests
}

// demand returns the sums: all failure domains, and the customers with the most demand.
func (s *demandSum) demand() Demand {
	d := Demand{WindowS: demand.Window.Seconds(), ByDomain: []DomainDemand{}, ByCustomer: []CustomerDemand{}, Rest: s.rest}
	for _, row := range s.domains {
		row.EngineTimeMs = roundTo3(row.EngineTimeMs)
		d.ByDomain = append(d.ByDomain, row)
	}
	slices.SortFunc(d.ByDomain, func(a, b DomainDemand) int {
		return cmp.Or(cmp.Compare(a.Domain, b.Domain), cmp.Compare(a.Service, b.Service))
	})
	for _, row := range s.customers {
		row.EngineTimeMs = roundTo3(row.EngineTimeMs)
		d.ByCustomer = append(d.ByCustomer, row)
	}
	slices.SortFunc(d.ByCustomer, func(a, b CustomerDemand) int {
		return cmp.Or(cmp.Compare(b.EngineTimeMs, a.EngineTimeMs), cmp.Compare(a.Customer, b.Customer))
	})
	for _, row := range d.ByCustomer[min(TopCustomers, len(d.ByCustomer)):] {
		d.Rest.Customers++
		d.Rest.EngineTimeMs += row.EngineTimeMs
		d.Rest.Requests += row.Requests
	}
	d.Rest.EngineTimeMs = roundTo3(d.Rest.EngineTimeMs)
	d.ByCustomer = d.ByCustomer[:min(TopCustomers, len(d.ByCustomer))]
	return d
}
