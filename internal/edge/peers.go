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

// Sections that a daemon tells the others.
const (
	shareSection  = "cpu"    // its share of a core
	domainSection = "domain" // its failure domain
)

// rankLife is how long a ranking is kept: changes of the membership take longer to
// spread.
const rankLife = 100 * time.Millisecond

// peers ranks the daemons for tasks that one of them does for all: those with more of
// a processor come first, in an order that depends on the task. It implements
// schedule.Peers and keyed.Peers.
type peers struct {
	node   *peer.Node
	domain string // failure domain of this daemon

	mu      sync.Mutex
	ranks   map[string]ranking
	domains map[string]string // by host, as of at
	at      time.Time
}

type ranking struct {
	members []membership.Member
	at      time.Time
}

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

// Domain returns the failure domain of a daemon, empty while it is not known.
func (p *peers) Domain(host string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now := time.Now(); p.domains == nil || now.Sub(p.at) > rankLife {
		p.domains, p.at = map[string]string{}, now
		for _, s := range p.node.Sections(domainSection) {
			p.domains[s.Host] = string(s.Data)
		}
	}
	return p.domains[host]
}

// Near reports whether a daemon is in this one's failure domain.
func (p *peers) Near(host string) bool { return p.Domain(host) == p.domain }

// Members returns all known daemons.
func (p *peers) Members() []membership.Member { return p.node.Members() }

// Call calls a method of a daemon.
func (p *peers) Call(ctx context.Context, address, method string, args, reply any) error {
	return p.node.Call(ctx, address, method, args, reply)
}

// Rank returns up to n live daemons in their order for a task.
func (p *peers) Rank(task string, n int) []membership.Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	r := p.ranks[task]
	if r.members == nil || now.Sub(r.at) > rankLife {
		r = ranking{members: p.rank(task), at: now}
		p.ranks[task] = r
	}
	return r.members[:min(n, len(r.members))]
}

func (p *peers) rank(task string) []membership.Member {
	classes := map[string]int{}
	for _, s := range p.node.Sections(shareSection) {
		classes[s.Host] = shareClass(string(s.Data))
	}
	members := p.node.Rank(task, len(p.node.Members()))
	slices.SortStableFunc(members, func(a, b membership.Member) int {
		return cmp.Compare(classes[b.Host], classes[a.Host])
	})
	return members
}

// shareClass puts shares of a core into classes, each half as wide as the next, so
// that small differences do not decide. Zero is the class of unknown shares.
func shareClass(text string) int {
	share, err := strconv.ParseFloat(text, 64)
	if err != nil || !(share > 0) {
		return 0
	}
	const smallest = 1.0 / 64 // of a core
	return 1 + int(max(math.Log2(share/smallest), 0))
}
