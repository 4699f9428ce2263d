package membership

import (
	"slices"
	"strings"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/core/option"
)

// Config configures a Members. Zero durations and counts select the defaults.
// All hosts of a site should use the same values.
type Config struct {
	Self Identity

	HeartbeatInterval time.Duration // time between two heartbeats, each of which raises this host's version; default 1 s
	SuspectAfter      time.Duration // silence after which a host of this domain is suspect; default 5 s
	DeadAfter         time.Duration // silence after which it is dead; default 12 s
	RemoteFactor      int           // multiplies both limits for hosts of other domains; default 10
	RemoteQuantum     int           // heartbeats per version step sent to other domains; default 16
	ForgetAfter       time.Duration // silence after which a dead host is forgotten; default 1 h

	Partners int // hosts of this domain that this one exchanges with at a time; default 8
	// LocalitySection names a section: hosts of this domain that publish equal data in it are near each
	// other, such as those of one failure domain where a domain has several. Most partners are
	// near ones. Empty: all hosts count as near.
	LocalitySection string
	FarPartners     int // number of partners that are not near; default 2

	RotateInterval  time.Duration // time after which the oldest partner is replaced; default 10 s
	ProbeInterval   time.Duration // time between two probes of silent or unknown addresses; default 5 s
	Gateways        int           // hosts of a domain that exchange with other domains; default 2
	GatewayInterval time.Duration // time between two exchanges with the same other domain; default 5 s
	MaxDeltaBytes   int           // approximate limit of the delta in one message; default 32 KiB
}

// Defaults of Config.
const (
	defaultHeartbeatInterval = time.Second
	defaultSuspectAfter      = 5 * time.Second
	defaultDeadAfter         = 12 * time.Second
	defaultRemoteFactor      = 10
	defaultRemoteQuantum     = 16
	defaultForgetAfter       = time.Hour
	defaultPartners          = 8
	defaultFarPartners       = 2
	defaultRotateInterval    = 10 * time.Second
	defaultProbeInterval     = 5 * time.Second
	defaultGateways          = 2
	defaultGatewayInterval   = 5 * time.Second
	defaultMaxDeltaBytes     = 32 << 10
)

func (c *Config) setDefaults() {
	option.Default(&c.HeartbeatInterval, defaultHeartbeatInterval)
	option.Default(&c.SuspectAfter, defaultSuspectAfter)
	option.Default(&c.DeadAfter, defaultDeadAfter)
	option.Default(&c.RemoteFactor, defaultRemoteFactor)
	option.Default(&c.RemoteQuantum, defaultRemoteQuantum)
	option.Default(&c.ForgetAfter, defaultForgetAfter)
	option.Default(&c.Partners, defaultPartners)
	option.Default(&c.FarPartners, defaultFarPartners)
	option.Default(&c.RotateInterval, defaultRotateInterval)
	option.Default(&c.ProbeInterval, defaultProbeInterval)
	option.Default(&c.Gateways, defaultGateways)
	option.Default(&c.GatewayInterval, defaultGatewayInterval)
	option.Default(&c.MaxDeltaBytes, defaultMaxDeltaBytes)
}

// entry is what is known about one host's newest incarnation.
type entry struct {
	id            Identity
	key           uint64
	version       uint64 // all sections up to it that are sent to this domain are held
	leaveVersion  uint64
	listedLeaving bool
	lastHeard     time.Time
	failedAt      time.Time          // time of the last failed call to it, zero once it is heard from
	sections      map[string]Section // Age unused
	publishedAt   map[string]time.Time
}

// contact is an address known only from the daemon's configuration or the list.
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
	hints      map[string][]string // by domain: addresses in the last hints
	listed     map[string]bool     // by host: whether the last list has it as leaving
	superseded bool

	localCount      int       // known hosts of this domain, this one included
	grewAt          time.Time // when a message last introduced many hosts at once
	clock           time.Time // latest time passed in
	nextHeartbeat   time.Time
	nextProbe       time.Time
	nextRotate      time.Time
	nextGateway     time.Time
	partners        []string
	partnerIndex    int             // into partners, of the last exchange
	domains         map[string]bool // other known domains
	pendingLeaves   []*entry
	pendingSections map[*entry][]Section // new since the last TakePushes

	sectionsVersion int
}

// New returns a Members that knows only its own host.
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

		pendingSections: make(map[*entry][]Section),
		clock:           now,
		grewAt:          now,
	}
	m.self = m.addEntry(cfg.Self, now)
	m.self.version = 1 << heartbeatShift
	return m
}

// Self returns the identity of this host.
func (m *Members) Self() Identity {
	return m.self.id
}

// Superseded reports whether a newer incarnation of this host exists. This
// process is then a leftover and must stop accepting work.
func (m *Members) Superseded() bool {
	return m.superseded
}

// AddSeeds adds addresses through which to discover other hosts.
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

// ApplyHostList applies a host list read from the platform. It adds addresses to
// probe and marks hosts as leaving when their entry changes to leaving. A host
// missing from the list keeps its state. The mark ends when the list no longer
// has the host as leaving, or with a newer incarnation: the list may refer to
// the previous incarnation.
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
		m.applyListedState(l)
	}
	m.listed = listed
}

func (m *Members) applyListedState(l ListedHost) {
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

// View returns all known members, this host included, ordered by host.
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
	return Member{Identity: e.id, Version: e.version, State: m.state(e), LastHeard: e.lastHeard}
}

func (m *Members) state(e *entry) State {
	silence := m.clock.Sub(e.lastHeard)
	suspect, dead := m.silenceLimits(e)
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

func (m *Members) silenceLimits(e *entry) (suspect, dead time.Duration) {
	factor := m.silenceFactor()
	suspect = time.Duration(factor * float64(m.cfg.SuspectAfter))
	dead = time.Duration(factor * float64(m.cfg.DeadAfter))
	if e.id.Domain != m.self.id.Domain {
		suspect *= time.Duration(m.cfg.RemoteFactor)
		dead *= time.Duration(m.cfg.RemoteFactor)
	}
	return suspect, dead
}

// advance moves the clock forward. A gap far longer than the time between two
// inputs means that this process was paused; it does not count as silence of
// the other hosts.
func (m *Members) advance(now time.Time) {
	gap := now.Sub(m.clock)
	if gap <= 0 {
		return
	}
	if pause := gap - m.maxInputGap(); pause > 0 {
		for _, e := range m.order {
			e.lastHeard = e.lastHeard.Add(pause)
		}
	}
	m.clock = now
	m.self.lastHeard = now
}

// maxInputGap returns the longest time between two inputs of a process that is not paused.
func (m *Members) maxInputGap() time.Duration { return m.scaleInterval(m.cfg.SuspectAfter / 2) }

// addEntry adds an entry for an incarnation and replaces the host's older one.
func (m *Members) addEntry(id Identity, heard time.Time) *entry {
	if old := m.byHost[id.Host]; old != nil {
		m.removeEntry(old)
	}
	e := &entry{
		id:          id,
		key:         id.key(),
		lastHeard:   heard,
		sections:    make(map[string]Section),
		publishedAt: make(map[string]time.Time),
	}
	at, _ := slices.BinarySearchFunc(m.order, id.Host, compareHost)
	m.order = slices.Insert(m.order, at, e)
	m.byHost[id.Host] = e
	m.byKey[e.key] = e
	if id.Domain == m.cfg.Self.Domain {
		m.localCount++
	}
	m.noteDomain(id.Domain)
	return e
}

// heartbeatShift is the number of low bits of a version that count the sections
// published since the last heartbeat. The heartbeat can thus be derived from a version
// however often sections change. More sections than fit only advance the heartbeat.
const heartbeatShift = 6

func (e *entry) advanceHeartbeat() {
	e.version = (e.version>>heartbeatShift + 1) << heartbeatShift
}

// maxDomains limits the number of other domains to exchange with.
const maxDomains = 64

func (m *Members) noteDomain(domain string) {
	if domain != "" && domain != m.cfg.Self.Domain && len(m.domains) < maxDomains {
		m.domains[domain] = true
	}
}

func (m *Members) removeEntry(e *entry) {
	at, _ := slices.BinarySearchFunc(m.order, e.id.Host, compareHost)
	m.order = slices.Delete(m.order, at, at+1)
	delete(m.byHost, e.id.Host)
	delete(m.byKey, e.key)
	if m.isLocal(e) {
		m.localCount--
	}
}

func compareHost(e *entry, host string) int {
	return strings.Compare(e.id.Host, host)
}

// upsertEntry returns the entry of an identity and adds it when it is new. It
// returns nil when a newer incarnation is known or when it is this host.
func (m *Members) upsertEntry(id Identity, heard time.Time) *entry {
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
	fresh := m.addEntry(id, heard)
	// The list may have named the host before it was discovered. For a host that
	// was known, the list refers to the previous incarnation.
	fresh.listedLeaving = e == nil && m.listed[id.Host]
	return fresh
}

// markHeard records that a message came from the host itself.
func (m *Members) markHeard(id Identity) {
	e := m.upsertEntry(id, m.clock)
	if e == nil {
		return
	}
	e.failedAt = time.Time{}
	if e.lastHeard.Before(m.clock) {
		e.lastHeard = m.clock
	}
}

// forgetDead removes the hosts that have been silent for ForgetAfter.
func (m *Members) forgetDead() {
	for _, e := range slices.Clone(m.order) {
		if e != m.self && m.clock.Sub(e.lastHeard) >= m.cfg.ForgetAfter {
			m.removeEntry(e)
		}
	}
}
