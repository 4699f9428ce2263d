package membership

import (
	"bytes"
	"math/rand/v2"
	"slices"
	"time"
)

// Outgoing is a message for the caller to send. Exactly one of Request and Push
// is set.
type Outgoing struct {
	Address string
	Request *Request // its response goes to HandleResponse
	Push    *Push
}

const (
	leaveFanout = 3 // number of hosts that each host passes a leave on to
	// publishFanout is the number of hosts that each host passes new sections on to. About one
	// host in a hundred is missed and gets them by an exchange, which is rare in the large
	// domains where sections are pushed.
	publishFanout = 5
	// maxPushedEntries is the number of hosts up to which their new sections are pushed.
	maxPushedEntries = 8
	aloneProbes      = 3 // addresses probed in a tick while no other host is known
	failureBackoff   = 30 * time.Second
)

// Tick raises this host's version when a heartbeat is due and returns the exchanges
// to open now: one inside the domain, one with each other domain when this host is
// a gateway and they are due, and from time to time a probe of a silent or
// unknown address.
func (m *Members) Tick(now time.Time, rng *rand.Rand) []Outgoing {
	m.advance(now)
	if !now.Before(m.nextHeartbeat) {
		m.nextHeartbeat = now.Add(m.scaleInterval(m.cfg.HeartbeatInterval))
		m.self.advanceHeartbeat()
		m.forgetDead()
	}
	var out []Outgoing
	partner := m.nextPartner(rng)
	if partner != nil {
		out = append(out, m.exchange(partner.id.Address, rng))
	}
	if !now.Before(m.nextGateway) {
		m.nextGateway = now.Add(m.cfg.GatewayInterval)
		out = append(out, m.gatewayExchanges(rng)...)
	}
	return append(out, m.probes(rng, partner == nil)...)
}

// DeliveryFailed records that a message to an address could not be delivered.
func (m *Members) DeliveryFailed(now time.Time, address string) {
	m.advance(now)
	for _, e := range m.order {
		if e.id.Address == address && e != m.self {
			e.failedAt = now
		}
	}
}

// exchange opens an exchange inside this domain, or with an address whose host is
// unknown.
func (m *Members) exchange(address string, rng *rand.Rand) Outgoing {
	r := &Request{From: m.self.id, Other: m.pickOtherDomain(rng)}
	for _, e := range m.order {
		covered := m.isLocal(e) || e.id.Domain == r.Other
		if covered && m.state(e) != Dead {
			r.Have.add(e.key, e.version)
		}
	}
	return Outgoing{Address: address, Request: r}
}

// crossExchange opens an exchange with another domain, whose response covers only
// its own hosts.
func (m *Members) crossExchange(address, domain string) Outgoing {
	r := &Request{From: m.self.id}
	for _, e := range m.order {
		if e.id.Domain == domain && m.state(e) != Dead {
			r.Have.add(e.key, e.version)
		}
	}
	return Outgoing{Address: address, Request: r}
}

// pickOtherDomain returns a random other domain or, at times, an empty string,
// to learn of domains not known here. A random choice eventually pairs each
// domain with each partner, which two round robins of fixed lengths need not do.
func (m *Members) pickOtherDomain(rng *rand.Rand) string {
	domains := append(m.otherDomains(), "")
	return domains[rng.IntN(len(domains))]
}

func (m *Members) otherDomains() []string {
	domains := make([]string, 0, len(m.domains))
	for d := range m.domains {
		domains = append(domains, d)
	}
	slices.Sort(domains)
	return domains
}

// nextPartner returns the next of a small set of hosts of this domain, nil when
// none is known. The set is random and changes slowly: a few connections serve
// all exchanges, and no group of hosts stays isolated.
func (m *Members) nextPartner(rng *rand.Rand) *entry {
	m.partners = slices.DeleteFunc(m.partners, func(host string) bool {
		e := m.byHost[host]
		return e == nil || !m.reachable(e)
	})
	if len(m.partners) > 1 && !m.clock.Before(m.nextRotate) {
		m.nextRotate = m.clock.Add(m.scaleInterval(m.cfg.RotateInterval))
		m.partners = m.partners[1:]
	}
	m.fillPartners(rng)
	if len(m.partners) == 0 {
		return nil
	}
	m.partnerIndex = (m.partnerIndex + 1) % len(m.partners)
	return m.byHost[m.partners[m.partnerIndex]]
}

// fillPartners fills the set of partners at random: with near hosts, and up to FarPartners far
// ones, which connect the near hosts to all others. Where there are not enough hosts of one
// kind, it takes more of the other.
//
// Exchanges between failure domains cost more than those inside one, but heartbeats have to reach
// all hosts before their sender becomes suspect.
func (m *Members) fillPartners(rng *rand.Rand) {
	var near, far []string
	for _, e := range m.order {
		switch {
		case !m.isLocal(e) || !m.reachable(e) || slices.Contains(m.partners, e.id.Host):
		case m.isNear(e):
			near = append(near, e.id.Host)
		default:
			far = append(far, e.id.Host)
		}
	}
	shuffle(near, rng)
	shuffle(far, rng)
	m.dropFarPartners(len(near))
	n := min(max(m.cfg.FarPartners-m.countFarPartners(), 0), len(far))
	for _, host := range slices.Concat(far[:n], near, far[n:]) {
		if len(m.partners) >= m.cfg.Partners {
			return
		}
		m.partners = append(m.partners, host)
	}
}

func shuffle(hosts []string, rng *rand.Rand) {
	rng.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
}

func (m *Members) countFarPartners() int {
	n := 0
	for _, host := range m.partners {
		if m.isFar(host) {
			n++
		}
	}
	return n
}

// dropFarPartners drops the oldest far partners above FarPartners, such as those discovered first at
// a start, but at most as many as there are near hosts to replace them.
func (m *Members) dropFarPartners(limit int) {
	excess := min(m.countFarPartners()-m.cfg.FarPartners, limit)
	m.partners = slices.DeleteFunc(m.partners, func(host string) bool {
		if excess <= 0 || !m.isFar(host) {
			return false
		}
		excess--
		return true
	})
}

func (m *Members) isFar(host string) bool {
	e := m.byHost[host]
	return e != nil && !m.isNear(e)
}

// isNear reports whether a host is near this one. A host that does not publish the LocalitySection
// counts as far.
func (m *Members) isNear(e *entry) bool {
	if m.cfg.LocalitySection == "" {
		return true
	}
	own, ok := m.self.sections[m.cfg.LocalitySection]
	other, published := e.sections[m.cfg.LocalitySection]
	return ok && published && bytes.Equal(own.Data, other.Data)
}

func (m *Members) isLocal(e *entry) bool {
	return e.id.Domain == m.self.id.Domain
}

// reachable reports whether a call to a host is likely to succeed.
func (m *Members) reachable(e *entry) bool {
	if e == m.self || m.state(e) == Dead {
		return false
	}
	return e.failedAt.IsZero() || m.clock.Sub(e.failedAt) >= failureBackoff
}

// gateways returns the hosts of a domain that exchange with other domains.
func (m *Members) gateways(domain string) []Member {
	return LocalRank("gateway/"+domain, domain, m.view(), m.cfg.Gateways)
}

func (m *Members) isGateway() bool {
	for _, g := range m.gateways(m.self.id.Domain) {
		if g.Host == m.self.id.Host {
			return true
		}
	}
	return false
}

func (m *Members) gatewayExchanges(rng *rand.Rand) []Outgoing {
	if !m.isGateway() {
		return nil
	}
	var out []Outgoing
	for _, domain := range m.otherDomains() {
		if address := m.pickGateway(domain, rng); address != "" {
			out = append(out, m.crossExchange(address, domain))
		}
	}
	return out
}

// pickGateway returns an address of another domain: that of a gateway as far as
// it can be determined from here, else any known address of the domain, else an
// empty string.
func (m *Members) pickGateway(domain string, rng *rand.Rand) string {
	var reachable []Member
	var others []string
	for _, e := range m.order {
		if e.id.Domain != domain {
			continue
		}
		if m.reachable(e) {
			candidate := m.member(e)
			candidate.State = Live // a suspect is worth a try
			reachable = append(reachable, candidate)
		}
		others = append(others, e.id.Address)
	}
	others = append(others, m.hints[domain]...)
	if ranked := Rank("gateway/"+domain, reachable, m.cfg.Gateways); len(ranked) > 0 {
		return ranked[rng.IntN(len(ranked))].Address
	}
	for _, c := range m.sortedContacts() {
		if c.domain == domain {
			others = append(others, c.address)
		}
	}
	if len(others) == 0 {
		return ""
	}
	return others[rng.IntN(len(others))]
}

// probes returns exchanges with addresses that are silent or were never heard
// from. Through them hosts discover each other at first and after a partition.
func (m *Members) probes(rng *rand.Rand, alone bool) []Outgoing {
	if !alone && m.clock.Before(m.nextProbe) {
		return nil
	}
	m.nextProbe = m.clock.Add(m.cfg.ProbeInterval)
	candidates := m.silentAddresses()
	n := 1
	if alone {
		n = aloneProbes
	}
	var out []Outgoing
	for ; n > 0 && len(candidates) > 0; n-- {
		i := rng.IntN(len(candidates))
		out = append(out, m.exchange(candidates[i], rng))
		candidates = slices.Delete(candidates, i, i+1)
	}
	return out
}

// silentAddresses returns the addresses of this domain or of unknown domains from
// which no host is heard. Gateways handle the other known domains.
func (m *Members) silentAddresses() []string {
	seen := make(map[string]bool, len(m.order))
	var silent []string
	for _, e := range m.order {
		if e == m.self || m.reachable(e) {
			seen[e.id.Address] = true
			continue
		}
		if m.isLocal(e) {
			seen[e.id.Address] = true
			silent = append(silent, e.id.Address)
		}
	}
	for _, c := range m.sortedContacts() {
		elsewhere := m.domains[c.domain] && c.domain != m.self.id.Domain
		if !seen[c.address] && !elsewhere {
			seen[c.address] = true
			silent = append(silent, c.address)
		}
	}
	for _, address := range m.hints[m.self.id.Domain] {
		if !seen[address] {
			seen[address] = true
			silent = append(silent, address)
		}
	}
	return silent
}

func (m *Members) sortedContacts() []contact {
	contacts := make([]contact, 0, len(m.contacts))
	for _, c := range m.contacts {
		contacts = append(contacts, c)
	}
	slices.SortFunc(contacts, func(a, b contact) int {
		if a.address < b.address {
			return -1
		}
		return 1
	})
	return contacts
}
