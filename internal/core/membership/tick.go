package membership

import (
	"bytes"
	"math/rand/v2"
	"slices"
	"time"
)

// Outgoing is a message that the caller has to send. Exactly one of Request and
// Push is set.
type Outgoing struct {
	Address string
	Request *Request // the answer goes to HandleResponse
	Push    *Push
}

const (
	leaveFanout = 3 // hosts that each host passes a leave on to
	// publishFanout is the hosts that each host passes on what one publishes: one in a
	// hundred is left to exchanges, which are rare where this is done.
	publishFanout = 5
	// mostToldAtOnce is the hosts whose sections are passed on at once.
	mostToldAtOnce = 8
	aloneProbes    = 3 // addresses tried in a tick while no other host is known
	failureQuiet   = 30 * time.Second
)

// Tick raises the own version when a beat is due and returns the exchanges to
// open now: one inside the domain, one with each other domain when this host is
// a gateway and their time has come, and now and then a probe of a silent or
// unknown address.
func (m *Members) Tick(now time.Time, rng *rand.Rand) []Outgoing {
	m.advance(now)
	if !now.Before(m.nextBeat) {
		m.nextBeat = now.Add(m.stretched(m.cfg.HeartbeatInterval))
		m.self.beat()
		m.forget()
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

// DeliveryFailed notes that a message to an address could not be delivered.
func (m *Members) DeliveryFailed(now time.Time, address string) {
	m.advance(now)
	for _, e := range m.order {
		if e.id.Address == address && e != m.self {
			e.failed = now
		}
	}
}

// exchange opens an exchange inside the own domain, or with an address of which
// nothing is known.
func (m *Members) exchange(address string, rng *rand.Rand) Outgoing {
	r := &Request{From: m.self.id, Other: m.pickOther(rng)}
	for _, e := range m.order {
		covered := m.local(e) || e.id.Domain == r.Other
		if covered && m.state(e) != Dead {
			r.Have.add(e.key, e.version)
		}
	}
	return Outgoing{Address: address, Request: r}
}

// crossExchange opens an exchange with another domain, which tells of its own
// hosts only.
func (m *Members) crossExchange(address, domain string) Outgoing {
	r := &Request{From: m.self.id}
	for _, e := range m.order {
		if e.id.Domain == domain && m.state(e) != Dead {
			r.Have.add(e.key, e.version)
		}
	}
	return Outgoing{Address: address, Request: r}
}

// pickOther returns one of the other domains, now and then none, to be told of
// domains that are not known here. A random choice pairs each domain with each
// partner in time, as two turns of fixed lengths do not.
func (m *Members) pickOther(rng *rand.Rand) string {
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

// nextPartner returns the next of a small set of hosts of the own domain, nil
// when none is known. The set is random and changes slowly: a few connections
// serve all exchanges, and no group of hosts stays by itself.
func (m *Members) nextPartner(rng *rand.Rand) *entry {
	m.partners = slices.DeleteFunc(m.partners, func(host string) bool {
		e := m.byHost[host]
		return e == nil || !m.reachable(e)
	})
	if len(m.partners) > 1 && !m.clock.Before(m.nextRotate) {
		m.nextRotate = m.clock.Add(m.stretched(m.cfg.RotateInterval))
		m.partners = m.partners[1:]
	}
	m.fillPartners(rng)
	if len(m.partners) == 0 {
		return nil
	}
	m.turn = (m.turn + 1) % len(m.partners)
	return m.byHost[m.partners[m.turn]]
}

// fillPartners draws partners for the free places: near ones, but for a few that join what
// the near ones know to what all others do. Where there are not enough of one sort, the
// other fills the places.
//
// Exchanges between failure domains cost more than those inside one, and news still has to
// reach all hosts before one is suspect.
func (m *Members) fillPartners(rng *rand.Rand) {
	var near, far []string
	for _, e := range m.order {
		switch {
		case !m.local(e) || !m.reachable(e) || slices.Contains(m.partners, e.id.Host):
		case m.near(e):
			near = append(near, e.id.Host)
		default:
			far = append(far, e.id.Host)
		}
	}
	shuffle(near, rng)
	shuffle(far, rng)
	m.dropFarPartners(len(near))
	n := min(max(m.cfg.FarPartners-m.farPartners(), 0), len(far))
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

func (m *Members) farPartners() int {
	n := 0
	for _, host := range m.partners {
		if m.isFar(host) {
			n++
		}
	}
	return n
}

// dropFarPartners drops the oldest far partners that are too many, as those are that were
// met first at a start, up to the number of near hosts that can take their places.
func (m *Members) dropFarPartners(most int) {
	excess := min(m.farPartners()-m.cfg.FarPartners, most)
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
	return e != nil && !m.near(e)
}

// near reports whether a host is near the own one. One that has not told where it is counts
// as far.
func (m *Members) near(e *entry) bool {
	if m.cfg.LocalitySection == "" {
		return true
	}
	own, ok := m.self.sections[m.cfg.LocalitySection]
	other, told := e.sections[m.cfg.LocalitySection]
	return ok && told && bytes.Equal(own.Data, other.Data)
}

func (m *Members) local(e *entry) bool {
	return e.id.Domain == m.self.id.Domain
}

// reachable tells whether a call to a host has a fair chance.
func (m *Members) reachable(e *entry) bool {
	if e == m.self || m.state(e) == Dead {
		return false
	}
	return e.failed.IsZero() || m.clock.Sub(e.failed) >= failureQuiet
}

// Gateways returns the hosts of a domain that exchange with other domains.
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

// pickGateway returns an address of another domain: a gateway of it as far as
// that can be told from here, else any address that was ever told.
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

// probes returns exchanges with addresses that are silent or were never heard:
// this is how hosts meet first, and again after a cut.
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

// silentAddresses returns where nobody is heard: of the own domain, or of an
// unknown one. Known other domains are the gateways' business.
func (m *Members) silentAddresses() []string {
	heard := make(map[string]bool, len(m.order))
	var silent []string
	for _, e := range m.order {
		if e == m.self || m.reachable(e) {
			heard[e.id.Address] = true
			continue
		}
		if m.local(e) {
			heard[e.id.Address] = true
			silent = append(silent, e.id.Address)
		}
	}
	for _, c := range m.sortedContacts() {
		elsewhere := m.domains[c.domain] && c.domain != m.self.id.Domain
		if !heard[c.address] && !elsewhere {
			heard[c.address] = true
			silent = append(silent, c.address)
		}
	}
	for _, address := range m.hints[m.self.id.Domain] {
		if !heard[address] {
			heard[address] = true
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
