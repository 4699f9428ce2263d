package admission

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Usage is a host's recent demand for limits, as published to other hosts. A
// gateway may send the sum of its domain instead.
type Usage struct {
	Host   string // empty in the sum of a domain
	Domain string
	Hosts  int         // number of hosts in the sum; 1 for a single host
	Nodes  []NodeUsage // in ascending order of Node
}

// NodeUsage is the demand for the limits of one node of the settings.
type NodeUsage struct {
	Node     uint32 // NodeID of its name
	Requests uint32 // decaying sum, in hundredths of a request
	Tokens   uint32 // decaying sum
}

// requestUnit is the number of units of NodeUsage.Requests per request.
const requestUnit = 100

// NodeID returns the number that identifies a node's name in digests.
func NodeID(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// find returns the demand for a node, zero if the digest does not contain it.
func (u *Usage) find(id uint32) NodeUsage {
	i, ok := slices.BinarySearchFunc(u.Nodes, id, func(n NodeUsage, id uint32) int { return cmp.Compare(n.Node, id) })
	if !ok {
		return NodeUsage{}
	}
	return u.Nodes[i]
}

// digest is a Usage with the time at which it was received.
type digest struct {
	Usage
	hash uint64 // of the host's name
	at   time.Time
}

type digestKey struct{ domain, host string }

// view is what a Limiter knows of the hosts that share the limits.
type view struct {
	host, domain string
	peers        map[digestKey]*digest
	hosts        []*digest // of the own domain, including this host, by name
	isolated     bool      // all other hosts of the own domain are silent
	domains      []domainView
}

// domainView is one failure domain in the division of limits. The list is kept while
// another domain is silent or this host is isolated: see refresh.
type domainView struct {
	name  string
	hash  uint64
	hosts int
	parts []*digest
}

// apply stores digests of other hosts; this host's own is ignored.
func (v *view) apply(us []Usage, now time.Time) {
	for _, u := range us {
		if u.Domain == "" || u.Host == v.host && u.Domain == v.domain {
			continue
		}
		u.Hosts = max(u.Hosts, 1)
		if !slices.IsSortedFunc(u.Nodes, compareNodes) {
			u.Nodes = slices.SortedFunc(slices.Values(u.Nodes), compareNodes)
		}
		v.peers[digestKey{u.Domain, u.Host}] = &digest{Usage: u, hash: hashName(u.Host), at: now}
	}
}

func compareNodes(a, b NodeUsage) int { return cmp.Compare(a.Node, b.Node) }

// refresh rebuilds the view. Within the own domain a silent host is dropped,
// because the load balancer sends its callers to the others; if all others are
// silent they are kept, because then it is this host that is isolated. While
// another domain is silent or this host is isolated, the division among domains is
// kept: the other side of a partition does the same, so the parts still add up to
// the limit.
func (v *view) refresh(own *digest, stale, hold time.Duration, now time.Time) {
	for k, d := range v.peers {
		if now.Sub(d.at) > hold {
			delete(v.peers, k)
		}
	}
	v.refreshHosts(own, stale, now)
	if len(v.domains) > 0 && !v.noneSilent(stale, now) {
		return
	}
	v.refreshDomains(stale, now)
}

func (v *view) refreshHosts(own *digest, stale time.Duration, now time.Time) {
	var fresh, silent []*digest
	for k, d := range v.peers {
		switch {
		case k.domain != v.domain || k.host == "":
		case now.Sub(d.at) <= stale:
			fresh = append(fresh, d)
		default:
			silent = append(silent, d)
		}
	}
	v.isolated = len(fresh) == 0 && len(silent) > 0
	if v.isolated {
		fresh = silent
	}
	v.hosts = append(fresh, own)
	slices.SortFunc(v.hosts, func(a, b *digest) int { return cmp.Compare(a.Host, b.Host) })
}

// noneSilent reports whether a recent digest of each other known domain was received
// and this host is not isolated from the other hosts of its own domain.
func (v *view) noneSilent(stale time.Duration, now time.Time) bool {
	reporting := make(map[string]bool)
	for k, d := range v.peers {
		reporting[k.domain] = reporting[k.domain] || now.Sub(d.at) <= stale
	}
	for domain, ok := range reporting {
		if !ok && (domain != v.domain || v.isolated) {
			return false
		}
	}
	return true
}

func (v *view) refreshDomains(stale time.Duration, now time.Time) {
	byName := map[string]*domainView{v.domain: {name: v.domain, hash: hashName(v.domain), hosts: len(v.hosts), parts: v.hosts}}
	for k, d := range v.peers {
		if k.domain == v.domain || now.Sub(d.at) > stale {
			continue
		}
		if sum, ok := v.peers[digestKey{k.domain, ""}]; ok && now.Sub(sum.at) <= stale && sum != d {
			continue // the sum already covers the domain's hosts
		}
		dv := byName[k.domain]
		if dv == nil {
			dv = &domainView{name: k.domain, hash: hashName(k.domain)}
			byName[k.domain] = dv
		}
		dv.hosts += d.Hosts
		dv.parts = append(dv.parts, d)
	}
	v.domains = v.domains[:0]
	for _, dv := range byName {
		v.domains = append(v.domains, *dv)
	}
	slices.SortFunc(v.domains, func(a, b domainView) int { return cmp.Compare(a.name, b.name) })
}

// knownHosts returns the number of hosts among which limits are divided.
func (v *view) knownHosts() int {
	n := 0
	for _, d := range v.domains {
		n += d.hosts
	}
	return n
}

// sum returns the sum of the digests of the own domain, for a gateway to send.
func (v *view) sum() Usage {
	total := Usage{Domain: v.domain, Hosts: len(v.hosts)}
	at := make(map[uint32]int)
	for _, d := range v.hosts {
		for _, n := range d.Nodes {
			i, ok := at[n.Node]
			if !ok {
				i = len(total.Nodes)
				at[n.Node] = i
				total.Nodes = append(total.Nodes, NodeUsage{Node: n.Node})
			}
			t := &total.Nodes[i]
			t.Requests = saturate(uint64(t.Requests) + uint64(n.Requests))
			t.Tokens = saturate(uint64(t.Tokens) + uint64(n.Tokens))
		}
	}
	slices.SortFunc(total.Nodes, compareNodes)
	return total
}

func saturate(x uint64) uint32 { return uint32(min(x, math.MaxUint32)) }
