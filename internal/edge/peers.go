package edge

import (
	"cmp"
	"context"
	"math"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/core/membership"
	"github.com/buckthorndock/buckthorndock/internal/peer"
)

// Sections that a daemon publishes to the others.
const (
	shareSection  = "cpu"    // its share of a core
	domainSection = "domain" // its failure domain
)

// rankingTTL is how long a ranking is cached while the members are the same: sections that they
// publish may still arrive.
const rankingTTL = time.Second

// peers ranks the daemons for tasks that one of them does for all: those with a larger share of a
// core come first, in an order that depends on the task. It implements schedule.Peers and
// keyed.Peers.
type peers struct {
	node   *peer.Node
	domain string // failure domain of this daemon

	mu      sync.Mutex
	ranks   map[string]ranking // by task
	domains map[string]string  // by host
	asOf    version            // of domains
}

// ranking is a cached order of the daemons.
type ranking struct {
	members []membership.Member
	asOf    version
}

// version identifies the list of members that a cached value was computed from, and when that was.
type version struct {
	first *membership.Member // of the node's list, which is replaced as a whole when it changes
	at    time.Time
}

// isCurrent reports whether a value of this version is still valid for the members at a time.
func (v version) isCurrent(members []membership.Member, now time.Time) bool {
	return len(members) > 0 && v.first == &members[0] && now.Sub(v.at) < rankingTTL
}

// versionOf returns the version of values computed from the members at a time.
func versionOf(members []membership.Member, now time.Time) version {
	if len(members) == 0 {
		return version{}
	}
	return version{&members[0], now}
}

// newPeers publishes this daemon's share of a core and its failure domain through the node.
func newPeers(node *peer.Node, share float64, domain string) (*peers, error) {
	text := strconv.FormatFloat(share, 'g', -1, 64)
	if err := node.Publish(shareSection, []byte(text)); err != nil {
		return nil, err
	}
	if err := node.Publish(domainSection, []byte(domain)); err != nil {
		return nil, err
	}
	return &peers{node: node, domain: domain, ranks: map[string]ranking{}}, nil
}

// Domain returns the failure domain of a daemon, or "" while it is not known.
func (p *peers) Domain(host string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	members := p.node.Members()
	if now := time.Now(); !p.asOf.isCurrent(members, now) {
		p.domains, p.asOf = make(map[string]string, len(members)), versionOf(members, now)
		for _, s := range p.node.Sections(domainSection) {
			p.domains[s.Host] = string(s.Data)
		}
	}
	return p.domains[host]
}

// domainAddresses returns the peer addresses of the other live daemons of a failure domain.
func (p *peers) domainAddresses(domain string) []string {
	var all []string
	for _, m := range p.node.Members() {
		if m.Host != p.node.Self().Host && m.State == membership.Live && p.Domain(m.Host) == domain {
			all = append(all, m.Address)
		}
	}
	return all
}

// HostCount returns the number of all known daemons.
func (p *peers) HostCount() int { return len(p.node.Members()) }

// DomainMembers returns the daemons of the own failure domain, including this one.
func (p *peers) DomainMembers() []membership.Member {
	var list []membership.Member
	for _, m := range p.node.Members() {
		if p.SameDomain(m.Host) {
			list = append(list, m)
		}
	}
	return list
}

// SameDomain reports whether a daemon is in this one's failure domain.
func (p *peers) SameDomain(host string) bool { return p.Domain(host) == p.domain }

// Members returns all known daemons.
func (p *peers) Members() []membership.Member { return p.node.Members() }

// Call calls an RPC method of the daemon at an address.
func (p *peers) Call(ctx context.Context, address, method string, args, reply any) error {
	return p.node.Call(ctx, address, method, args, reply)
}

// Rank returns up to n live daemons in their order for a task, which is the same on all daemons
// that know the same members.
func (p *peers) Rank(task string, n int) []membership.Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	members := p.node.Members()
	r := p.ranks[task]
	if !r.asOf.isCurrent(members, now) {
		r = ranking{members: p.computeRanking(task, members), asOf: versionOf(members, now)}
		p.ranks[task] = r
	}
	return r.members[:min(n, len(r.members))]
}

// computeRanking computes the order of all live daemons for a task.
func (p *peers) computeRanking(task string, all []membership.Member) []membership.Member {
	classes := map[string]int{}
	for _, s := range p.node.Sections(shareSection) {
		classes[s.Host] = shareClass(string(s.Data))
	}
	members := membership.Rank(task, all, len(all))
	slices.SortStableFunc(members, func(a, b membership.Member) int {
		return cmp.Compare(classes[b.Host], classes[a.Host])
	})
	return members
}

// shareClass returns the class of a share of a core. Each class is half as wide as the next, so
// that small differences do not affect the order. Unknown shares have class zero.
func shareClass(text string) int {
	share, err := strconv.ParseFloat(text, 64)
	if err != nil || !(share > 0) {
		return 0
	}
	const smallest = 1.0 / 64 // of a core
	return 1 + int(max(math.Log2(share/smallest), 0))
}
