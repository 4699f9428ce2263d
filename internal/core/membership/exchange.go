package membership

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Rough sizes on the wire, for the bound of a message.
const (
	beatBytes    = 16
	recordBytes  = 128
	sectionBytes = 32
)

// Numbers of addresses that an asker of another domain is told.
const (
	ownHints   = 2 // of its own domain
	thirdHints = 1 // of a third one
)

// HandleRequest answers an exchange opened by another host.
func (m *Members) HandleRequest(now time.Time, req *Request, rng *rand.Rand) (*Response, error) {
	if err := req.Have.check(); err != nil || !req.From.valid() {
		return nil, ErrMalformed
	}
	m.advance(now)
	m.meet(req.From)
	resp := &Response{From: m.self.id}
	local := req.From.Domain == m.self.id.Domain
	w := m.writer(req.From.Domain)
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
			w.tell(e, have, true)
		}
	}
	for _, e := range m.order {
		covered := m.local(e) || local && e.id.Domain == req.Other
		if covered && !asked[e.key] {
			w.tell(e, 0, false)
		}
	}
	resp.News = w.delta
	if !local {
		resp.Hints = m.someHints(&req.From, rng)
	}
	if local && req.Other == "" {
		resp.Domains = m.otherDomains()
	}
	return resp, nil
}

// someHints tells an asker two random hosts of its own domain and one of a
// third. So hosts meet that know only this domain, and groups of a domain that
// have lost sight of each other.
func (m *Members) someHints(asker *Identity, rng *rand.Rand) []Hint {
	third := m.thirdDomain(asker.Domain, rng)
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

// thirdDomain returns a random domain that is neither the own nor the asker's.
func (m *Members) thirdDomain(asker string, rng *rand.Rand) string {
	domains := slices.DeleteFunc(m.otherDomains(), func(d string) bool { return d == asker })
	if len(domains) == 0 {
		return ""
	}
	return domains[rng.IntN(len(domains))]
}

// pick returns up to n random elements. It reorders what it is given.
func pick[T any](from []T, n int, rng *rand.Rand) []T {
	n = min(n, len(from))
	for i := range n {
		j := i + rng.IntN(len(from)-i)
		from[i], from[j] = from[j], from[i]
	}
	return from[:n]
}

func (m *Members) takeHints(hints []Hint) {
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

// HandleResponse takes the answer to an own request and returns what the other
// side wants, nil when that is nothing.
func (m *Members) HandleResponse(now time.Time, resp *Response) (*Push, error) {
	if resp.News.check() != nil || resp.Want.check() != nil || !resp.From.valid() {
		return nil, ErrMalformed
	}
	m.advance(now)
	m.meet(resp.From)
	m.apply(&resp.News, resp.From.Domain)
	for _, d := range resp.Domains {
		m.noteDomain(d)
	}
	m.takeHints(resp.Hints)
	w := m.writer(resp.From.Domain)
	for i, key := range resp.Want.Keys {
		if e := m.byKey[key]; e != nil {
			have := resp.Want.Versions[i]
			w.tell(e, have, have > 0)
		}
	}
	if w.delta.empty() {
		return nil, nil
	}
	return &Push{From: m.self.id, News: w.delta}, nil
}

// HandlePush takes news that came unasked or was wanted.
func (m *Members) HandlePush(now time.Time, push *Push) error {
	if push.News.check() != nil || !push.From.valid() {
		return ErrMalformed
	}
	m.advance(now)
	m.meet(push.From)
	m.apply(&push.News, push.From.Domain)
	return nil
}

// Leave marks the own host as leaving, for the rest of this incarnation.
func (m *Members) Leave(now time.Time) {
	m.advance(now)
	if m.self.leaveVersion > 0 {
		return
	}
	m.self.version++
	m.self.leaveVersion = m.self.version
	m.newlyLeft = append(m.newlyLeft, m.self)
}

// TakePushes returns the pushes that pass on what was learned since the last call and must not
// wait for exchanges: leaves, and what hosts have published. They go to a few hosts of the own
// domain, those of leaves from a gateway also to one host of each other domain when the leaving
// host is of the own one.
func (m *Members) TakePushes(rng *rand.Rand) []Outgoing {
	out := m.publishedPushes(rng)
	if len(m.newlyLeft) == 0 {
		return out
	}
	left := m.newlyLeft
	m.newlyLeft = nil
	for _, address := range m.someLocal(rng, leaveFanout) {
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

// publishedPushes passes on sections of hosts of the own domain, with the hosts: where exchanges
// are rare, what one publishes, and a host that is new, reach all at once. Those of many hosts,
// as when all start, are left to exchanges.
func (m *Members) publishedPushes(rng *rand.Rand) []Outgoing {
	published := m.published
	if len(published) == 0 {
		return nil
	}
	m.published = make(map[*entry][]Section)
	if m.stretch() == 1 || !m.settled() || len(published) > mostToldAtOnce {
		return nil // exchanges are soon enough, or do it with less
	}
	p := &Push{From: m.self.id}
	for e, sections := range published {
		if m.byHost[e.id.Host] != e || !m.local(e) || m.state(e) == Dead {
			continue
		}
		// Version 0: the receiver may lack others of its sections.
		p.News.Records = append(p.News.Records, Record{
			Key: e.key, ID: &e.id, LeaveVersion: e.leaveVersion, Age: toAge(m.clock.Sub(e.heard)), Sections: sections,
		})
	}
	if len(p.News.Records) == 0 {
		return nil
	}
	var out []Outgoing
	for _, address := range m.someLocal(rng, publishFanout) {
		out = append(out, Outgoing{Address: address, Push: p})
	}
	return out
}

func (m *Members) leavePush(address, domain string, left []*entry) Outgoing {
	p := &Push{From: m.self.id}
	for _, e := range left {
		if !m.mayTell(e, domain) {
			continue
		}
		// Version 0: the receiver holds no section by this record.
		p.News.Records = append(p.News.Records, Record{
			Key:          e.key,
			ID:           &e.id,
			LeaveVersion: e.leaveVersion,
			Age:          toAge(m.clock.Sub(e.heard)),
		})
	}
	return Outgoing{Address: address, Push: p}
}

func (m *Members) someLocal(rng *rand.Rand, n int) []string {
	var addresses []string
	for _, e := range m.order {
		if m.local(e) && m.reachable(e) {
			addresses = append(addresses, e.id.Address)
		}
	}
	return pick(addresses, n, rng)
}

// mayTell tells whether a host of a domain may hear of an entry from here.
func (m *Members) mayTell(e *entry, domain string) bool {
	if m.state(e) == Dead {
		return false
	}
	return domain == m.self.id.Domain || m.local(e)
}

// writer collects news for one host.
type writer struct {
	m      *Members
	domain string // of the receiver
	room   int
	delta  Delta
}

func (m *Members) writer(domain string) *writer {
	return &writer{m: m, domain: domain, room: m.cfg.MaxDeltaBytes}
}

// tell adds what a receiver that holds a version of a host lacks. A receiver
// that does not know the host gets its identity too.
func (w *writer) tell(e *entry, have uint64, known bool) {
	if w.room <= 0 || !w.m.mayTell(e, w.domain) {
		return
	}
	version := w.exported(e)
	leaveNews := e.leaveVersion > have
	if known && version <= have && !leaveNews {
		return
	}
	age := toAge(w.m.clock.Sub(e.heard))
	sections := w.m.newer(e, have, w.domain)
	if known && len(sections) == 0 && !leaveNews {
		w.delta.Keys = append(w.delta.Keys, e.key)
		w.delta.Versions = append(w.delta.Versions, version)
		w.delta.Ages = append(w.delta.Ages, age)
		w.room -= beatBytes
		return
	}
	r := Record{Key: e.key, Version: version, LeaveVersion: e.leaveVersion, Age: age}
	if !known {
		r.ID = &e.id
	}
	w.addSections(&r, sections)
	w.room -= recordBytes
	w.delta.Records = append(w.delta.Records, r)
}

// addSections adds sections, oldest first, until the message is full. The
// record's version then ends before the first one that is left out.
func (w *writer) addSections(r *Record, sections []Section) {
	for i, s := range sections {
		if i > 0 && w.room < len(s.Data)+sectionBytes {
			r.Version = min(r.Version, s.Version-1)
			return
		}
		w.room -= len(s.Data) + sectionBytes
		r.Sections = append(r.Sections, s)
	}
}

// exported returns the version of a host that is told to the receiver. Other
// domains are told of beats in steps, so that gateways do not carry each of
// them; a leave and wide sections go at once.
func (w *writer) exported(e *entry) uint64 {
	if w.domain == w.m.self.id.Domain {
		return e.version
	}
	step := uint64(w.m.cfg.RemoteQuantum) << beatShift
	version := max(e.version/step*step, e.leaveVersion)
	for _, s := range e.sections {
		if s.Wide {
			version = max(version, s.Version)
		}
	}
	// A leave may be known before the version at which it was said.
	return min(version, e.version)
}

func (m *Members) apply(d *Delta, from string) {
	defer m.noteGrowth(len(m.order))
	for i, key := range d.Keys {
		e := m.byKey[key]
		if e == nil || !m.accepts(e, from) || d.Versions[i] <= e.version {
			continue
		}
		m.raise(e, d.Versions[i], d.Ages[i])
	}
	for i := range d.Records {
		m.applyRecord(&d.Records[i], from)
	}
}

func (m *Members) applyRecord(r *Record, from string) {
	e := m.byKey[r.Key]
	if r.ID != nil && (from == m.self.id.Domain || from == r.ID.Domain) {
		e = m.introduce(*r.ID, m.clock.Add(-fromAge(r.Age)))
	}
	if e == nil || e == m.self {
		return
	}
	if r.LeaveVersion > 0 && e.leaveVersion == 0 {
		e.leaveVersion = r.LeaveVersion
		m.newlyLeft = append(m.newlyLeft, e)
	}
	if !m.accepts(e, from) {
		return
	}
	if taken := e.takeSections(r.Sections, m.clock); len(taken) > 0 {
		m.published[e] = append(m.published[e], taken...)
		m.publishedCount++
	}
	if r.Version > e.version {
		m.raise(e, r.Version, r.Age)
	}
}

// accepts tells whether a sender's domain may raise the version of a host. A
// sender of another domain holds only wide sections, so it cannot vouch for the
// versions of hosts of this domain.
func (m *Members) accepts(e *entry, from string) bool {
	if e == m.self {
		return false
	}
	return from == m.self.id.Domain || from == e.id.Domain
}

func (m *Members) raise(e *entry, version uint64, age uint32) {
	e.version = version
	if heard := m.clock.Add(-fromAge(age)); heard.After(e.heard) {
		e.heard = heard
	}
}
