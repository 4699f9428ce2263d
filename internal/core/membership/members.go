package membership

import (
	"slices"
	"strings"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/core/option"
)

// Config sets a Members up. Zero durations and counts take the defaults. All
// hosts of a site should use the same values.
type Config struct {
	Self Identity

	HeartbeatInterval time.Duration // between two beats of the own version; default 1 s
	SuspectAfter      time.Duration // silence after which a host of the own domain is suspect; default 5 s
	DeadAfter         time.Duration // silence after which it is dead; default 12 s
	RemoteFactor      int           // the two limits times this hold for other domains; default 10
	RemoteQuantum     int           // beats told to other domains at once; default 16
	ForgetAfter       time.Duration // silence after which a dead host is forgotten; default 1 h

	Partners int // hosts of the own domain that exchanges go to at a time; default 8
	// LocalitySection names a section by whose data hosts of the own domain are near each other, as
	// those of one failure domain where a domain has several: most partners are near. Empty:
	// all are alike.
	LocalitySection string
	FarPartners     int // of the partners, those that are not near; default 2

	RotateInterval  time.Duration // after which the oldest partner is replaced; default 10 s
	ProbeInterval   time.Duration // between tries of a silent or unknown address; default 5 s
	Gateways        int           // hosts of a domain that exchange with others; default 2
	GatewayInterval time.Duration // between two exchanges with one other domain; default 5 s
	MaxDeltaBytes   int           // rough bound of the news in one message; default 32 KiB
}

// Defaults of Config.
const (
	defaultBeat          = time.Second
	defaultSuspectAfter  = 5 * time.Second
	defaultDeadAfter     = 12 * time.Second
	defaultRemoteFactor  = 10
	defaultRemoteQuantum = 16
	defaultForgetAfter   = time.Hour
	defaultPartners      = 8
	defaultFarPartners   = 2
	defaultRotateEvery   = 10 * time.Second
	defaultProbeEvery    = 5 * time.Second
	defaultGateways      = 2
	defaultGatewayEvery  = 5 * time.Second
	defaultMaxDeltaBytes = 32 << 10
)

func (c *Config) setDefaults() {
	option.Default(&c.HeartbeatInterval, defaultBeat)
	option.Default(&c.SuspectAfter, defaultSuspectAfter)
	option.Default(&c.DeadAfter, defaultDeadAfter)
	option.Default(&c.RemoteFactor, defaultRemoteFactor)
	option.Default(&c.RemoteQuantum, defaultRemoteQuantum)
	option.Default(&c.ForgetAfter, defaultForgetAfter)
	option.Default(&c.Partners, defaultPartners)
	option.Default(&c.FarPartners, defaultFarPartners)
	option.Default(&c.RotateInterval, defaultRotateEvery)
	option.Default(&c.ProbeInterval, defaultProbeEvery)
	option.Default(&c.Gateways, defaultGateways)
	option.Default(&c.GatewayInterval, defaultGatewayEvery)
	option.Default(&c.MaxDeltaBytes, defaultMaxDeltaBytes)
}

// entry is what is known of one host's newest incarnation.
type entry struct {
	id            Identity
	key           uint64
	version       uint64 // every section up to it that reaches this domain is held
	leaveVersion  uint64
	listedLeaving bool
	heard         time.Time
	failed        time.Time          // last call to it that failed, zero once it is heard
	sections      map[string]Section // Age unused
	publishedAt   map[string]time.Time
}

// contact is an address that is known only by the daemon file or the list.
type contact struct {
	address string
	host    string // empty for a seed
	domain  string // empty for a seed
}

// Members is the state machine. It is not safe for concurrent use.
type Members struct {
	cfg        Config
	self       *entry
	order      []*entry // by host
	byHost     map[string]*entry
	byKey      map[uint64]*entry
	contacts   map[string]contact  // by address
	hints      map[string][]string // by domain: addresses that another domain told last
	listed     map[string]bool     // by host: leaving, as the list last said
	superseded bool

	locals      int       // known hosts of the own domain, the own one among them
	grew        time.Time // when many hosts were last told of for the first time
	clock       time.Time // newest time seen
	nextBeat    time.Time
	nextProbe   time.Time
	nextRotate  time.Time
	nextGateway time.Time
	partners    []string
	turn        int             // of partners
	domains     map[string]bool // other domains that were heard of
	newlyLeft   []*entry
	published   map[*entry][]Section // learned since the last Forwards

	publishedCount int
}

// New returns a state machine that knows only its own host.
func New(cfg Config, now time.Time) *Members {
	cfg.setDefaults()
	m := &Members{
		cfg:      cfg,
		byHost:   make(map[string]*entry),
		byKey:    make(map[uint64]*entry),
		contacts: make(map[string]contact),
		listed:   make(map[string]bool),
		domains:  make(map[string]bool),
		hints:    make(map[string][]string),

		published: make(map[*entry][]Section),
		clock:     now,
		grew:      now,
	}
	m.self = m.put(cfg.Self, now)
	m.self.version = 1 << beatShift
	return m
}

// Self returns the own identity.
func (m *Members) Self() Identity {
	return m.self.id
}

// Superseded tells whether a newer incarnation of the own host was heard of.
// The process then is a leftover and has to stop taking work.
func (m *Members) Superseded() bool {
	return m.superseded
}

// AddSeeds adds addresses to start from.
func (m *Members) AddSeeds(addresses []string) {
	for _, a := range addresses {
		if a == m.self.id.Address {
			continue
		}
		if _, ok := m.contacts[a]; !ok {
			m.contacts[a] = contact{address: a}
		}
	}
}

// ApplyHostList takes a list that was read from the platform. It adds addresses to
// try and marks hosts as leaving when their entry turns to leaving. A host that
// is missing loses nothing, and a mark by the list ends with the list's own
// word or a newer incarnation: the list may be about the host's former life.
func (m *Members) ApplyHostList(now time.Time, list []ListedHost) {
	m.advance(now)
	for addr, c := range m.contacts {
		if c.host != "" {
			delete(m.contacts, addr)
		}
	}
	listed := make(map[string]bool, len(list))
	for _, l := range list {
		if l.Host == "" || l.Address == "" || l.Host == m.self.id.Host {
			continue
		}
		m.noteDomain(l.Domain)
		listed[l.Host] = l.Leaving
		m.contacts[l.Address] = contact{address: l.Address, host: l.Host, domain: l.Domain}
		m.markListed(l)
	}
	m.listed = listed
}

func (m *Members) markListed(l ListedHost) {
	e := m.byHost[l.Host]
	if e == nil {
		return
	}
	if !l.Leaving {
		e.listedLeaving = false
		return
	}
	if before := m.listed[l.Host]; !before {
		e.listedLeaving = true
	}
}

// View returns all members that are not forgotten, the own host among them,
// ordered by host.
func (m *Members) View(now time.Time) []Member {
	m.advance(now)
	return m.view()
}

func (m *Members) view() []Member {
	view := make([]Member, 0, len(m.order))
	for _, e := range m.order {
		view = append(view, m.member(e))
	}
	return view
}

func (m *Members) member(e *entry) Member {
	return Member{Identity: e.id, Version: e.version, State: m.state(e), LastHeard: e.heard}
}

func (m *Members) state(e *entry) State {
	silence := m.clock.Sub(e.heard)
	suspect, dead := m.limits(e)
	switch {
	case e != m.self && silence >= dead:
		return Dead
	case e.leaveVersion > 0 || e.listedLeaving:
		return Leaving
	case e != m.self && silence >= suspect:
		return Suspect
	}
	return Live
}

func (m *Members) limits(e *entry) (suspect, dead time.Duration) {
	factor := m.silenceFactor()
	suspect = time.Duration(factor * float64(m.cfg.SuspectAfter))
	dead = time.Duration(factor * float64(m.cfg.DeadAfter))
	if e.id.Domain != m.self.id.Domain {
		suspect *= time.Duration(m.cfg.RemoteFactor)
		dead *= time.Duration(m.cfg.RemoteFactor)
	}
	return suspect, dead
}

// advance moves the clock. A gap that is far longer than the time between two
// inputs means that this process was paused: the others' silence is then not
// counted against them.
func (m *Members) advance(now time.Time) {
	gap := now.Sub(m.clock)
	if gap <= 0 {
		return
	}
	if pause := gap - m.mostQuiet(); pause > 0 {
		for _, e := range m.order {
			e.heard = e.heard.Add(pause)
		}
	}
	m.clock = now
	m.self.heard = now
}

// mostQuiet is the longest time between two inputs of a process that is not paused.
func (m *Members) mostQuiet() time.Duration { return m.stretched(m.cfg.SuspectAfter / 2) }

// put makes an entry the newest of its host.
func (m *Members) put(id Identity, heard time.Time) *entry {
	if old := m.byHost[id.Host]; old != nil {
		m.drop(old)
	}
	e := &entry{
		id:          id,
		key:         id.key(),
		heard:       heard,
		sections:    make(map[string]Section),
		publishedAt: make(map[string]time.Time),
	}
	at, _ := slices.BinarySearchFunc(m.order, id.Host, compareHost)
	m.order = slices.Insert(m.order, at, e)
	m.byHost[id.Host] = e
	m.byKey[e.key] = e
	if id.Domain == m.cfg.Self.Domain {
		m.locals++
	}
	m.noteDomain(id.Domain)
	return e
}

// beatShift is the number of low bits of a version that count the sections
// published since the last beat. So the beat can be told from a version however
// often sections change. More sections than fit only bring a beat forward.
const beatShift = 6

func (e *entry) beat() {
	e.version = (e.version>>beatShift + 1) << beatShift
}

// maxDomains bounds the domains that are exchanged with.
const maxDomains = 64

func (m *Members) noteDomain(domain string) {
	if domain != "" && domain != m.cfg.Self.Domain && len(m.domains) < maxDomains {
		m.domains[domain] = true
	}
}

func (m *Members) drop(e *entry) {
	at, _ := slices.BinarySearchFunc(m.order, e.id.Host, compareHost)
	m.order = slices.Delete(m.order, at, at+1)
	delete(m.byHost, e.id.Host)
	delete(m.byKey, e.key)
	if m.local(e) {
		m.locals--
	}
}

func compareHost(e *entry, host string) int {
	return strings.Compare(e.id.Host, host)
}

// introduce returns the entry of an identity, nil when a newer incarnation of
// it is known or when it is the own host.
func (m *Members) introduce(id Identity, heard time.Time) *entry {
	if id.Host == m.self.id.Host {
		m.superseded = m.superseded || id.Incarnation > m.self.id.Incarnation
		return nil
	}
	e := m.byHost[id.Host]
	if e != nil && id.Incarnation < e.id.Incarnation {
		return nil
	}
	if e != nil && id.Incarnation == e.id.Incarnation {
		return e
	}
	fresh := m.put(id, heard)
	// The list may have told of the host before it was heard of. Of a host that
	// was known the list's word is about the former incarnation.
	fresh.listedLeaving = e == nil && m.listed[id.Host]
	return fresh
}

// meet notes that a host was heard directly.
func (m *Members) meet(id Identity) {
	e := m.introduce(id, m.clock)
	if e == nil {
		return
	}
	e.failed = time.Time{}
	if e.heard.Before(m.clock) {
		e.heard = m.clock
	}
}

// forget drops the hosts that have been dead for long.
func (m *Members) forget() {
	for _, e := range slices.Clone(m.order) {
		if e != m.self && m.clock.Sub(e.heard) >= m.cfg.ForgetAfter {
			m.drop(e)
		}
	}
}
