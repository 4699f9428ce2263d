package status

import (
	"cmp"
	"slices"
)

// Sum is the sum over the daemons of one site that answered.
type Sum struct {
	Hosts            int           `json:"hosts"`
	Keepers          []string      `json:"keepers"` // of these hosts, those that keep a book
	BookAttempts     int           `json:"book_attempts"`
	RequestsInFlight int           `json:"requests_in_flight"`
	Waiting          []Waiting     `json:"waiting"`
	Refusals         []Refusal     `json:"refusals"`
	Services         []Service     `json:"services"`
	Demand           Demand        `json:"demand"`
	Customers        []Customer    `json:"customers"`
	PlainServers     []PlainServer `json:"plain_servers"`
	Upstreams        []Upstream    `json:"upstreams"` // with the highest factor that a daemon has for each
}

// Add returns the sum over some daemons. What only keepers know as a whole (the book, services,
// demand, customers and plain servers) is taken from the daemons that keep a book; without one among
// them it is empty. While two daemons keep books with the same engines, these count twice.
func Add(all []*Status) Sum {
	sum := Sum{Hosts: len(all), Keepers: []string{}}
	d := newDemandSum()
	waiting := map[Waiting]int{}
	refusals := map[Refusal]int64{}
	services := map[string]Service{}
	customers := map[[2]string]Customer{}
	servers := map[string]PlainServer{}
	upstreams := map[string]Upstream{}
	for _, s := range all {
		sum.RequestsInFlight += s.RequestsInFlight
		addWaiting(waiting, s.Waiting)
		addRefusals(refusals, s.Refusals)
		keepSlowest(upstreams, s.Upstreams)
		if !s.KeepsBook {
			continue
		}
		sum.Keepers = append(sum.Keepers, s.Host)
		sum.BookAttempts += s.BookAttempts
		addServices(services, s.Services)
		addDemand(d, &s.Demand)
		addCustomers(customers, s.Customers)
		addPlainServers(servers, s.PlainServers)
	}
	slices.Sort(sum.Keepers)
	sum.Waiting = sortedWaiting(waiting)
	sum.Refusals = sortedRefusals(refusals)
	sum.Services = sortedValues(services, func(a, b Service) int { return cmp.Compare(a.Service, b.Service) })
	sum.Demand = d.demand()
	sum.Customers = sortedValues(customers, func(a, b Customer) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(b.UseMs, a.UseMs), cmp.Compare(a.Customer, b.Customer))
	})
	sum.PlainServers = sortedValues(servers, func(a, b PlainServer) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Upstream, b.Upstream))
	})
	sum.Upstreams = sortedValues(upstreams, func(a, b Upstream) int {
		return cmp.Or(cmp.Compare(b.Factor, a.Factor), cmp.Compare(a.Upstream, b.Upstream))
	})
	return sum
}

// sortedValues returns the values of a map in an order.
func sortedValues[K comparable, V any](values map[K]V, order func(a, b V) int) []V {
	list := make([]V, 0, len(values))
	for _, v := range values {
		list = append(list, v)
	}
	slices.SortFunc(list, order)
	return list
}

// addWaiting adds rows to sums by row without its number.
func addWaiting(sums map[Waiting]int, rows []Waiting) {
	for _, w := range rows {
		sums[Waiting{Service: w.Service, Rank: w.Rank}] += w.Requests
	}
}

func sortedWaiting(sums map[Waiting]int) []Waiting {
	list := make([]Waiting, 0, len(sums))
	for w, n := range sums {
		w.Requests = n
		list = append(list, w)
	}
	slices.SortFunc(list, func(a, b Waiting) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Rank, b.Rank))
	})
	return list
}

// addRefusals adds rows to sums by row without its number.
func addRefusals(sums map[Refusal]int64, rows []Refusal) {
	for _, r := range rows {
		sums[Refusal{Service: r.Service, Code: r.Code, Rank: r.Rank}] += r.Last60S
	}
}

func sortedRefusals(sums map[Refusal]int64) []Refusal {
	list := make([]Refusal, 0, len(sums))
	for r, n := range sums {
		r.Last60S = n
		list = append(list, r)
	}
	slices.SortFunc(list, func(a, b Refusal) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Rank, b.Rank), cmp.Compare(a.Code, b.Code))
	})
	return list
}

func addServices(sums map[string]Service, rows []Service) {
	for _, s := range rows {
		sum := sums[s.Service]
		sum.Service = s.Service
		sum.Engines += s.Engines
		sum.Slots += s.Slots
		sum.SlotsUsed += s.SlotsUsed
		sum.SlotsFree += s.SlotsFree
		sums[s.Service] = sum
	}
}

func addDemand(sum *demandSum, d *Demand) {
	for _, row := range d.ByDomain {
		sum.addDomain(row)
	}
	for _, row := range d.ByCustomer {
		sum.addCustomer(row)
	}
	sum.addRest(d.Rest)
}

func addCustomers(sums map[[2]string]Customer, rows []Customer) {
	for _, c := range rows {
		k := [2]string{c.Service, c.Customer}
		sum := sums[k]
		sum.Service, sum.Customer = c.Service, c.Customer
		sum.UseMs += c.UseMs
		sum.FairShareMs += c.FairShareMs
		sum.Waiting += c.Waiting
		sums[k] = sum
	}
}

// addPlainServers adds leases and waiting requests; the slots of a server are its own, whoever
// leases them.
func addPlainServers(sums map[string]PlainServer, rows []PlainServer) {
	for _, p := range rows {
		sum := sums[p.Upstream]
		sum.Upstream, sum.Service, sum.Slots = p.Upstream, p.Service, p.Slots
		sum.Leased += p.Leased
		sum.Waiting += p.Waiting
		sums[p.Upstream] = sum
	}
}

// keepSlowest keeps the row with the highest factor of each upstream.
func keepSlowest(kept map[string]Upstream, rows []Upstream) {
	for _, u := range rows {
		if former, ok := kept[u.Upstream]; !ok || u.Factor > former.Factor {
			kept[u.Upstream] = u
		}
	}
}
