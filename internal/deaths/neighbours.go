package deaths

// Neighbours are addresses that tell whether an upstream or the path to it has failed. A few of
// each are tried.
type Neighbours struct {
	SameDomain Addresses // other upstreams of its failure domain
	Elsewhere  Addresses // upstreams of other failure domains
	Daemons    []string  // daemons of its failure domain
}

// Numbers of addresses that are tried, because some of them may have died as well.
const (
	maxUpstreams = 3
	maxDaemons   = 2
)

// Addresses are addresses of upstreams.
type Addresses struct{ healthy, failing []string }

// Add adds an address, with whether its upstream seems to fail.
func (a *Addresses) Add(address string, failing bool) {
	if failing {
		a.failing = append(a.failing, address)
		return
	}
	a.healthy = append(a.healthy, address)
}

// AddNear adds the address of another upstream than u, by its failure domain.
func (n *Neighbours) AddNear(u Upstream, address, domain string, failing bool) {
	switch {
	case address == u.Address:
	case domain == u.Domain:
		n.SameDomain.Add(address, failing)
	default:
		n.Elsewhere.Add(address, failing)
	}
}

func (a *Addresses) count() int { return len(a.healthy) + len(a.failing) }

// toTry returns the addresses to try, those of healthy upstreams first.
func (a *Addresses) toTry() []string {
	all := append(a.healthy[:len(a.healthy):len(a.healthy)], a.failing...)
	return all[:min(maxUpstreams, len(all))]
}

// daemonsToTry returns the addresses of daemons to try.
func (n *Neighbours) daemonsToTry() []string { return n.Daemons[:min(maxDaemons, len(n.Daemons))] }
