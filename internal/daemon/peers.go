package daemon

import (
	"math/rand/v2"
	"slices"
	"strconv"

	"github.com/sirupsen/logrus"

	"github.com/buckthorndock/buckthorndock/internal/claims"
	"github.com/buckthorndock/buckthorndock/internal/core/membership"
	"github.com/buckthorndock/buckthorndock/internal/follow"
	"github.com/buckthorndock/buckthorndock/internal/peer"
)

// numTailers is the number of hosts of a failure domain that read the settings
// from the log; the others get them from peers.
const numTailers = 2

// tailerKey is the key for which the tailers rank first.
const tailerKey = "settings-tailer"

// peers adapts the node to the interfaces of the packages that use it.
type peers struct {
	*peer.Node
	host   string
	domain string
	// upstreamDomain returns the failure domain of an upstream, empty for any
	// other key.
	upstreamDomain func(key string) string
}

// Tailer implements follow.Peers.
func (p *peers) Tailer() bool {
	for _, m := range p.LocalRank(tailerKey, numTailers) {
		if m.Host == p.host {
			return true
		}
	}
	return false
}

// Sample implements follow.Peers.
func (p *peers) Sample(n int) []follow.PeerRef {
	live := p.others()
	rand.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	refs := make([]follow.PeerRef, 0, n)
	for _, m := range live[:min(n, len(live))] {
		refs = append(refs, follow.PeerRef{Name: m.Host, Address: m.Address})
	}
	return refs
}

// HostCount implements suspects.Group.
func (p *peers) HostCount() int { return len(p.Members()) }

// DomainMembers implements suspects.Group.
func (p *peers) DomainMembers() []membership.Member {
	return slices.DeleteFunc(slices.Clone(p.Members()), func(m membership.Member) bool { return m.Domain != p.domain })
}

// others returns the hosts that are not dead, without this one.
func (p *peers) others() []membership.Member {
	return slices.DeleteFunc(slices.Clone(p.Members()), func(m membership.Member) bool {
		return m.Host == p.host || m.State == membership.Dead
	})
}

// Owner implements owner.Ownership: the live host that ranks first for a key, in the
// failure domain of the upstream that the key names, else in this one.
func (p *peers) Owner(key string) (host, address string, self bool) {
	domain := p.upstreamDomain(key)
	if domain == "" {
		domain = p.domain
	}
	m, ok := membership.LocalOwner(key, domain, p.Members())
	return m.Host, m.Address, ok && m.Host == p.host
}

// reachableDomains returns the other failure domains with a live host.
func (p *peers) reachableDomains() []string {
	var domains []string
	for _, m := range p.Members() {
		if m.Domain != p.domain && m.State == membership.Live && !slices.Contains(domains, m.Domain) {
			domains = append(domains, m.Domain)
		}
	}
	slices.Sort(domains)
	return domains
}

// numCombiners is the number of hosts offered as combiners of a partition.
const numCombiners = 3

// Combiners implements claims.Peers: the live hosts of the whole site that rank first
// for a partition, so that it has one combiner as long as all hosts see each other.
func (p *peers) Combiners(partition int) []claims.PeerRef {
	var refs []claims.PeerRef
	for _, m := range p.Rank("claims-"+strconv.Itoa(partition), numCombiners) {
		refs = append(refs, claims.PeerRef{Host: m.Host, Address: m.Address})
	}
	return refs
}

// Address implements claims.Peers.
func (p *peers) Address(host string) (address string, ok bool) {
	for _, m := range p.Members() {
		if m.Host == host && m.State != membership.Dead {
			return m.Address, true
		}
	}
	return "", false
}

// publisher implements owner.Publisher.
type publisher struct {
	node *peer.Node
	log  *logrus.Entry
}

// Publish implements owner.Publisher.
func (p *publisher) Publish(section string, data []byte) {
	if err := p.node.Publish(section, data); err != nil {
		p.log.WithError(err).WithField("section", section).Error("section_not_published")
	}
}
