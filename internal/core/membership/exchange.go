package membership

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Approximate encoded sizes, for bounding the size of a message.
const (
	heartbeatBytes = 16
	recordBytes    = 128
	sectionBytes   = 32
)

// Numbers of addresses in a response to a requester of another domain.
const (
	ownHints   = 2 // of the requester's domain
	thirdHints = 1 // of a third domain
)

// HandleRequest responds to an exchange opened by another host. It returns
// ErrMalformed for an invalid request.
func (m *Members) HandleRequest(now time.Time, req *Request, rng *rand.Rand) (*Response, error) {
	if err := req.Have.check(); err != nil || !req.From.valid() {
		return nil, ErrMalformed
	}
	m.advance(now)
	m.markHeard(req.From)
	resp := &Response{From: m.self.id}
	local := req.From.Domain == m.self.id.Domain
	w := m.newDeltaBuilder(req.From.Domain)
	asked := make(map[uint64]bool, len(req.Have.Keys))
	for i, key := range req.Have.Keys {
		have := req.Have.Versions[i]
		asked[key] = true
		e := m.byKey[key]
		switch {
		case e == nil && local:
			resp.Want.add(key, 0)
		case e == nil:
		case local && have > e.version:
			resp.Want.add(key, e.version)
		default:
			w.add(e, have, true)
		}
	}
	for _, e := range m.order {
		covered := m.isLocal(e) || local && e.id.Domain == req.Other
		if covered && !asked[e.key] {
			w.add(e, 0, false)
		}
	}
	resp.News = w.delta
	if !local {
		resp.Hints = m.pickHints(&req.From, rng)
	}
	if local && req.Other == "" {
		resp.Domains = m.otherDomains()
	}
	return resp, nil
}

// pickHints returns two random hosts of the requester's domain and one of a
// third domain. They connect hosts that know only this domain, and groups of a
// domain that have lost contact with each other.
func (m *Members) pickHints(asker *Identity, rng *rand.Rand) []Hint {
	third := m.pickThirdDomain(asker.Domain, rng)
	var own, other []Hint
	for _, e := range m.order {
		if e.id.Host == asker.Host || m.state(e) == Dead {
			continue
		}
		hint := Hint{Domain: e.id.Domain, Address: e.id.Address}
		switch e.id.Domain {
		case asker.Domain:
			own = append(own, hint)
		case third:
			other = append(other, hint)
		}
	}
	return append(pick(own, ownHints, rng), pick(other, thirdHints, rng)...)
}

// pickThirdDomain returns a random domain other than this host's and the requester's.
func (m *Members) pickThirdDomain(asker string, rng *rand.Rand) string {
	domains := slices.DeleteFunc(m.otherDomains(), func(d string) bool { return d == asker })
	if len(domains) == 0 {
		return ""
	}
	return domains[rng.IntN(len(domains))]
}

// pick returns up to n random elements of from, which it reorders.
func pick[T any](from []T, n int, rng *rand.Rand) []T {
	n = min(n, len(from))
	for i := range n {
		j := i + rng.IntN(len(from)-i)
		from[i], from[j] = from[j], from[i]
	}
	return from[:n]
}

func (m *Members) storeHints(hints []Hint) {
	hints = hints[:min(len(hints), ownHints+thirdHints)]
	for _, h := range hints {
		delete(m.hints, h.Domain)
	}
	for _, h := range hints {
		if h.Domain == "" || h.Address == "" {
			continue
		}
		m.hints[h.Domain] = append(m.hints[h.Domain], h.Address)
		m.noteDomain(h.Domain)
	}
}

// HandleResponse applies the response to a request of this host. It returns a
// push with the records that the responder wants, nil when it wants none, or
// ErrMalformed for an invalid response.
func (m *Members) HandleResponse(now time.Time, resp *Response) (*Push, error) {
	if resp.News.check() != nil || resp.Want.check() != nil || !resp.From.valid() {
		return nil, ErrMalformed
	}
	m.advance(now)
	m.markHeard(resp.From)
	m.apply(&resp.News, resp.From.Domain)
	for _, d := range resp.Domains {
		m.noteDomain(d)
	}
	m.storeHints(resp.Hints)
	w := m.newDeltaBuilder(resp.From.Domain)
	for i, key := range resp.Want.Keys {
		if e := m.byKey[key]; e != nil {
			have := resp.Want.Versions[i]
			w.add(e, have, have > 0)
		}
	}
	if w.delta.empty() {
		return nil, nil
	}
	return &Push{From: m.self.id, News: w.delta}, nil
}

// HandlePush applies records that another host pushed, unasked or because this
// host wanted them. It returns ErrMalformed for an invalid push.
func (m *Members) HandlePush(now time.Time, push *Push) error {
	if push.News.check() != nil || !push.From.valid() {
		return ErrMalformed
	}
	m.advance(now)
	m.markHeard(push.From)
	m.apply(&push.News, push.From.Domain)
	return nil
}

// Leave marks this host as leaving for the rest of its incarnation.
func (m *Members) Leave(now time.Time) {
	m.advance(now)
	if m.self.leaveVersion > 0 {
		return
	}
	m.self.version++
	m.self.leaveVersion = m.self.version
	m.pendingLeaves = append(m.pendingLeaves, m.self)
}

// TakePushes returns the pushes that pass on what was learned since the last call and must not
// wait for exchanges: leaves and published sections. They go to a few hosts of this domain. A
// gateway or a leaving host also pushes the leaves of its domain's hosts to one host of each other
// domain.
func (m *Members) TakePushes(rng *rand.Rand) []Outgoing {
	out := m.takeSectionPushes(rng)
	if len(m.pendingLeaves) == 0 {
		return out
	}
	left := m.pendingLeaves
	m.pendingLeaves = nil
	for _, address := range m.pickLocalAddresses(rng, leaveFanout) {
		out = append(out, m.leavePush(address, m.self.id.Domain, left))
	}
	if !m.isGateway() && m.self.leaveVersion == 0 {
		return out
	}
	for _, domain := range m.otherDomains() {
		if address := m.pickGateway(domain, rng); address != "" {
			out = append(out, m.leavePush(address, domain, left))
		}
	}
	return out
}

// takeSectionPushes returns pushes of the new sections of hosts of this domain, with the hosts'
// identities: where exchanges are rare, new sections and new hosts reach all hosts without delay.
// Sections of many hosts at once, as when all start, are left to exchanges.
func (m *Members) takeSectionPushes(rng *rand.Rand) []Outgoing {
	published := m.pendingSections
	if len(published) == 0 {
		return nil
	}
	m.pendingSections = make(map[*entry][]Section)
	if m.intervalFactor() == 1 || !m.settled() || len(published) > maxPushedEntries {
		return nil // exchanges are frequent enough, or need fewer bytes
	}
	p := &Push{From: m.self.id}
	for e, sections := range published {
		if m.byHost[e.id.Host] != e || !m.isLocal(e) || m.state(e) == Dead {
			continue
		}
		// Version 0: the receiver may lack other sections of this host.
		p.News.Records = append(p.News.Records, Record{
			Key: e.key, ID: &e.id, LeaveVersion: e.leaveVersion, Age: encodeAge(m.clock.Sub(e.lastHeard)), Sections: sections,
		})
	}
	if len(p.News.Records) == 0 {
		return nil
	}
	var out []Outgoing
	for _, address := range m.pickLocalAddresses(rng, publishFanout) {
		out = append(out, Outgoing{Address: address, Push: p})
	}
	return out
}

func (m *Members) leavePush(address, domain string, leaving []*entry) Outgoing {
	p := &Push{From: m.self.id}
	for _, e := range leaving {
		if !m.mayShare(e, domain) {
			continue
		}
		// Version 0: the record carries no sections.
		p.News.Records = append(p.News.Records, Record{
			Key:          e.key,
			ID:           &e.id,
			LeaveVersion: e.leaveVersion,
			Age:          encodeAge(m.clock.Sub(e.lastHeard)),
		})
	}
	return Outgoing{Address: address, Push: p}
}

func (m *Members) pickLocalAddresses(rng *rand.Rand, n int) []string {
	var addresses []string
	for _, e := range m.order {
		if m.isLocal(e) && m.reachable(e) {
			addresses = append(addresses, e.id.Address)
		}
	}
	return pick(addresses, n, rng)
}

// mayShare reports whether an entry may be sent from here to a host of a domain.
func (m *Members) mayShare(e *entry, domain string) bool {
	if m.state(e) == Dead {
		return false
	}
	return domain == m.self.id.Domain || m.isLocal(e)
}

// deltaBuilder collects the delta for one receiver.
type deltaBuilder struct {
	m         *Members
	domain    string // the receiver's
	remaining int
	delta     Delta
}

func (m *Members) newDeltaBuilder(domain string) *deltaBuilder {
	return &deltaBuilder{m: m, domain: domain, remaining: m.cfg.MaxDeltaBytes}
}

// add adds what a receiver that holds version have of a host lacks. A receiver
// that does not know the host also gets its identity.
func (w *deltaBuilder) add(e *entry, have uint64, known bool) {
	if w.remaining <= 0 || !w.m.mayShare(e, w.domain) {
		return
	}
	version := w.exportedVersion(e)
	leaveNews := e.leaveVersion > have
	if known && version <= have && !leaveNews {
		return
	}
	age := encodeAge(w.m.clock.Sub(e.lastHeard))
	sections := w.m.newerSections(e, have, w.domain)
	if known && len(sections) == 0 && !leaveNews {
		w.delta.Keys = append(w.delta.Keys, e.key)
		w.delta.Versions = append(w.delta.Versions, version)
		w.delta.Ages = append(w.delta.Ages, age)
		w.remaining -= heartbeatBytes
		return
	}
	r := Record{Key: e.key, Version: version, LeaveVersion: e.leaveVersion, Age: age}
	if !known {
		r.ID = &e.id
	}
	w.addSections(&r, sections)
	w.remaining -= recordBytes
	w.delta.Records = append(w.delta.Records, r)
}

// addSections adds sections, oldest first, until the message is full. The
// record's version is then the one before the first section left out.
func (w *deltaBuilder) addSections(r *Record, sections []Section) {
	for i, s := range sections {
		if i > 0 && w.remaining < len(s.Data)+sectionBytes {
			r.Version = min(r.Version, s.Version-1)
			return
		}
		w.remaining -= len(s.Data) + sectionBytes
		r.Sections = append(r.Sections, s)
	}
}

// exportedVersion returns the version of a host that is sent to the receiver.
// Other domains get heartbeats in steps, so that gateways do not pass on each of
// them; leaves and wide sections are sent without that delay.
func (w *deltaBuilder) exportedVersion(e *entry) uint64 {
	if w.domain == w.m.self.id.Domain {
		return e.version
	}
	step := uint64(w.m.cfg.RemoteQuantum) << heartbeatShift
	version := max(e.version/step*step, e.leaveVersion)
	for _, s := range e.sections {
		if s.Wide {
			version = max(version, s.Version)
		}
	}
	// A leave may be known before the version at which it was announced.
	return min(version, e.version)
}

func (m *Members) apply(d *Delta, from string) {
	defer m.noteGrowth(len(m.order))
	for i, key := range d.Keys {
		e := m.byKey[key]
		if e == nil || !m.accepts(e, from) || d.Versions[i] <= e.version {
			continue
		}
		m.raiseVersion(e, d.Versions[i], d.Ages[i])
	}
	for i := range d.Records {
		m.applyRecord(&d.Records[i], from)
	}
}

func (m *Members) applyRecord(r *Record, from string) {
	e := m.byKey[r.Key]
	if r.ID != nil && (from == m.self.id.Domain || from == r.ID.Domain) {
		e = m.upsertEntry(*r.ID, m.clock.Add(-decodeAge(r.Age)))
	}
	if e == nil || e == m.self {
		return
	}
	if r.LeaveVersion > 0 && e.leaveVersion == 0 {
		e.leaveVersion = r.LeaveVersion
		m.pendingLeaves = append(m.pendingLeaves, e)
	}
	if !m.accepts(e, from) {
		return
	}
	if taken := e.applySections(r.Sections, m.clock); len(taken) > 0 {
		m.pendingSections[e] = append(m.pendingSections[e], taken...)
		m.sectionsVersion++
	}
	if r.Version > e.version {
		m.raiseVersion(e, r.Version, r.Age)
	}
}

// accepts reports whether a sender of a domain may raise the version of a host.
// A sender of another domain holds only wide sections, so it may not raise the
// versions of hosts of this domain.
func (m *Members) accepts(e *entry, from string) bool {
	if e == m.self {
		return false
	}
	return from == m.self.id.Domain || from == e.id.Domain
}

func (m *Members) raiseVersion(e *entry, version uint64, age uint32) {
	e.version = version
	if heard := m.clock.Add(-decodeAge(age)); heard.After(e.lastHeard) {
		e.lastHeard = heard
	}
}
