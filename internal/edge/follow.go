package edge

import (
	"cmp"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/buckthorndock/buckthorndock/internal/core/booking"
	"github.com/buckthorndock/buckthorndock/internal/core/fleet"
	"github.com/buckthorndock/buckthorndock/internal/core/route"
	"github.com/buckthorndock/buckthorndock/internal/keyed"
	"github.com/buckthorndock/buckthorndock/internal/platform"
)

// Parts of the time in which news have to be in force that a read may take. A change comes to
// the last daemon by a read of the store, and by an answer for each level between daemons.
const (
	// waitPart is how long a read of the settings stays open, so that a change is heard at
	// once. It is short, for a read that the store has swallowed looks the same.
	waitPart = 0.25
	// peerWaitPart allows for large settings on a slow link.
	peerWaitPart = 0.25
	// settingsPart is between changes that come at once, upstreamsPart between two reads of the
	// list, which changes with every heartbeat of a server.
	settingsPart  = 0.15
	upstreamsPart = 0.2
	// holdPart is how long a peer without news holds its answer back: somewhat over the time
	// between two reads of the store, so that an answer comes with each of these.
	holdPart = 0.3
)

const (
	// slowestWithin bounds the time from which the parts are taken: how soon a daemon that
	// cannot be reached is noticed follows from it too.
	slowestWithin   = 5 * time.Second
	settingsTimeout = 600 * time.Millisecond
	upstreamsWait   = 600 * time.Millisecond
	// upstreamsPeerWait is many round trips, of 1 to 2 ms.
	upstreamsPeerWait = 150 * time.Millisecond
	peerPace          = 100 * time.Millisecond
	// wayAge is the age that what a reader tells gains on its way.
	wayAge = 200 * time.Millisecond
	// startPatience is how long a daemon that knows nothing, and that nobody calls, leaves the
	// store to others: daemons that start together have met by then.
	startPatience = 2 * time.Second
	// Entries may have lapsed because of the store after a time without a read: this one, or as
	// many paces of a reader.
	storeAwayAfter = 1500 * time.Millisecond
	storeAwayPaces = 2.5
	// lapsedReturn is how long after the store's return live servers take to be back
	// in the list.
	lapsedReturn = 2 * time.Second
	// rewrittenByOperators is how long after the store has come back from an older copy operators
	// take at the most to write again what it lost. An evacuation stands meanwhile.
	rewrittenByOperators = 10 * time.Second
	// copyDoubt is how long a record of such a copy is left aside that may be older than what is
	// known: entries of servers that have gone lapse before, and operators have written.
	copyDoubt = 10 * time.Second
)

// within returns a part of the time in which something has to be in force.
func within(ms, part float64) time.Duration {
	whole := min(time.Duration(ms*float64(time.Millisecond)), slowestWithin)
	return time.Duration(part * float64(whole))
}

// awayAfter returns the time without a read after which the store counts as away.
func awayAfter(cfg *Config) time.Duration {
	return max(storeAwayAfter, within(cfg.LeavingWithinMs, storeAwayPaces*upstreamsPart))
}

func (p *process) followSettings() *keyed.Follower {
	ms := p.cfg.SettingsWithinMs
	o := p.followOptions(ms)
	o.Stream = p.provider.SettingsStream()
	o.ReadInterval = within(ms, settingsPart)
	o.LongPoll = within(ms, waitPart)
	o.Timeout = settingsTimeout
	o.PeerTimeout = within(ms, peerWaitPart)
	o.MaxAge = 2*o.ReadInterval + o.LongPoll + wayAge
	o.RankOf = p.provider.SettingsRank
	o.RewriteTime = rewrittenByOperators
	o.Apply = p.applySettings
	return keyed.New(o)
}

// followUpstreams returns the follower of the list. Its short reads notice the store's
// return, of which a read that stays open may never hear.
func (p *process) followUpstreams(regained func()) *keyed.Follower {
	ms := p.cfg.LeavingWithinMs
	o := p.followOptions(ms)
	o.Stream = p.provider.UpstreamsStream()
	o.ReadInterval = within(ms, upstreamsPart)
	o.Timeout = upstreamsWait
	o.PeerTimeout = upstreamsPeerWait
	o.MaxAge = 2*o.ReadInterval + wayAge
	o.RankOf = p.provider.UpstreamRank
	o.RewriteTime = lapsedReturn
	o.IsSignificant = func(before, after []byte) bool { return !p.provider.SameUpstream(before, after) }
	o.OnRegained = regained
	o.Apply = p.applyUpstreams
	return keyed.New(o)
}

// followOptions returns what both followers have in common.
func (p *process) followOptions(ms float64) keyed.Options {
	return keyed.Options{
		Store:            p.store,
		PeerHold:         within(ms, holdPart),
		PeerReadInterval: peerPace,
		StartupDelay:     p.patience(),
		DoubtTime:        copyDoubt,
		Demand:           p.door.Demanded(),
		Feed:             p.spread,
		Log:              p.log,
	}
}

// patience returns how long this daemon leaves the store to others: not at all where it knows
// of none.
func (p *process) patience() time.Duration {
	for _, seed := range p.cfg.Seeds {
		if seed != p.cfg.Listen.Peers {
			return startPatience
		}
	}
	return 0
}

func (p *process) applySettings(b keyed.Batch) {
	p.applyEvacuations(b)
	for _, r := range b.Records {
		if r.Key != p.provider.SettingsKey() || r.Value == nil {
			continue
		}
		p.applyTable(r, b.From)
	}
}

// applyTable takes a table in, as the copy of a host has it, or the store.
func (p *process) applyTable(r platform.KeyedRecord, from string) {
	log := p.log.WithFields(logrus.Fields{"offset": r.Offset, "from": cmp.Or(from, "store")})
	spec, err := p.provider.DecodeSettings(r.Value)
	if err != nil {
		log.WithError(err).Error("settings_unreadable")
		return
	}
	table, found := route.NewTable(spec)
	for _, f := range found {
		log.WithField("finding", f.String()).Warn("settings_fault")
	}
	log = log.WithFields(logrus.Fields{"version": table.Version(), "routes": table.Len()})
	if !p.door.SetTable(table) {
		log.Info("settings_not_newer")
		return
	}
	p.mu.Lock()
	p.services = bookServices(spec)
	p.coldFigures = coldFigures(spec)
	p.mu.Unlock()
	p.spreadList()
	log.Info("settings_applied")
}

// bookServices returns what the schedule needs of the services of engines.
func bookServices(spec route.Spec) []booking.Service {
	var services []booking.Service
	for _, s := range spec.Services {
		if s.Engine == nil {
			continue
		}
		services = append(services, booking.Service{Name: s.Name, Figures: *s.Engine, MinGap: tightGap(spec.Routes, s.Name)})
	}
	return services
}

// tightGap returns the shortest pause that a route to the service bears.
func tightGap(routes []route.Route, service string) time.Duration {
	var tight time.Duration
	for i := range routes {
		r := &routes[i]
		if r.GapObjective <= 0 || tight > 0 && r.GapObjective >= tight {
			continue
		}
		for _, t := range r.Targets {
			if t.Service == service {
				tight = r.GapObjective
			}
		}
	}
	return tight
}

func (p *process) applyUpstreams(b keyed.Batch) {
	changes := make([]fleet.Change, 0, len(b.Records))
	for _, r := range b.Records {
		changes = append(changes, p.change(r))
	}
	p.changeList(func(l *fleet.List) bool {
		if b.Whole {
			l.Replace(changes, b.At)
		} else {
			l.Apply(changes, b.At)
		}
		return true
	})
}

// change reads a record of the list. One that cannot be read names no upstream.
func (p *process) change(r platform.KeyedRecord) fleet.Change {
	if r.Value == nil {
		return fleet.Change{Name: r.Key}
	}
	u, err := p.provider.DecodeUpstream(r.Key, r.Value)
	if err != nil {
		p.unreadable.note(p.log, r.Key, err)
		return fleet.Change{Name: r.Key, Invalid: true}
	}
	return fleet.Change{Name: r.Key, Upstream: u}
}

// spreadList tells all that choose upstreams of a change.
func (p *process) spreadList() {
	p.mu.Lock()
	services, figures, list := p.services, p.coldFigures, p.list.Load()
	p.mu.Unlock()
	p.schedule.Apply(services, list, coldOf(list, figures))
	p.plain.apply(list)
	if p.door.Table() != nil && !list.At.IsZero() {
		p.serving.Store(true)
	}
}
