package edge

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/buckthorndock/buckthorndock/internal/core/booking"
	"github.com/buckthorndock/buckthorndock/internal/core/fleet"
	"github.com/buckthorndock/buckthorndock/internal/core/route"
	"github.com/buckthorndock/buckthorndock/internal/keyed"
	"github.com/buckthorndock/buckthorndock/internal/platform"
)

// Paces of the followers.
const (
	// settingsWait keeps a read of the settings open, so that a change is heard at
	// once. It is short, for a read that the store has swallowed looks the same.
	settingsWait    = 500 * time.Millisecond
	settingsTimeout = 600 * time.Millisecond
	// settingsPeerWait allows for a large record on a slow link: a quarter of the time in
	// which a change has to be in force.
	settingsPeerWait = 500 * time.Millisecond
	// settingsPace is between two reads from a peer, or between changes that come at
	// once: a seventh of the time in which a change has to be in force.
	settingsPace = 300 * time.Millisecond
	// upstreamsPace is between two reads of the list, which changes with every
	// heartbeat of a server. It is a fifth of the time in which a leaving server may
	// still get requests.
	upstreamsPace    = 400 * time.Millisecond
	upstreamsTimeout = 600 * time.Millisecond
	// upstreamsPeerWait is many round trips, of 1 to 2 ms.
	upstreamsPeerWait = 150 * time.Millisecond
	// peerHold is how long a peer without news holds its answer back: somewhat over the time
	// between two reads of the store, so that an answer comes with each of these.
	peerHold = 600 * time.Millisecond
	peerPace = 100 * time.Millisecond
	// startPatience is how long a daemon that knows nothing, and that nobody calls, leaves the
	// store to others: daemons that start together have met by then.
	startPatience = 2 * time.Second
	// storeAwayAfter is the time without a read from which entries may have lapsed
	// because of the store.
	storeAwayAfter = 1500 * time.Millisecond
	// lapsedReturn is how long after the store's return live servers take to be back
	// in the list.
	lapsedReturn = 2 * time.Second
)

func (p *process) followSettings() *keyed.Follower {
	return keyed.New(keyed.Options{
		Store:    p.store,
		Stream:   p.provider.SettingsStream(),
		Pace:     settingsPace,
		Wait:     settingsWait,
		Timeout:  settingsTimeout,
		PeerWait: settingsPeerWait,
		PeerHold: peerHold,
		PeerPace: peerPace,
		Patience: p.patience(),
		Demand:   p.door.Wanted(),
		Spread:   p.spread,
		Apply:    p.applySettings,
		Log:      p.log,
	})
}

// followUpstreams returns the follower of the list. Its short reads notice the store's
// return, of which a read that stays open may never hear.
func (p *process) followUpstreams(regained func()) *keyed.Follower {
	return keyed.New(keyed.Options{
		Store:    p.store,
		Stream:   p.provider.UpstreamsStream(),
		Pace:     upstreamsPace,
		Timeout:  upstreamsTimeout,
		PeerWait: upstreamsPeerWait,
		PeerHold: peerHold,
		PeerPace: peerPace,
		Patience: p.patience(),
		Demand:   p.door.Wanted(),
		News:     func(before, after []byte) bool { return !p.provider.SameUpstream(before, after) },
		Spread:   p.spread,
		Regained: regained,
		Apply:    p.applyUpstreams,
		Log:      p.log,
	})
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
		p.applyTable(r)
	}
}

func (p *process) applyTable(r platform.KeyedRecord) {
	log := p.log.WithField("offset", r.Offset)
	spec, err := p.provider.DecodeTable(r.Value)
	if err != nil {
		log.WithError(err).Error("settings_unreadable")
		return
	}
	table, found := route.NewTable(spec)
	for _, f := range found {
		log.WithField("finding", f.String()).Warn("settings_fault")
	}
	log = log.WithFields(logrus.Fields{"version": table.Version(), "routes": table.Len()})
	if !p.door.Use(table) {
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
		services = append(services, booking.Service{Name: s.Name, Figures: *s.Engine, TightGap: tightGap(spec.Routes, s.Name)})
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
			l.Read(changes, b.At)
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
		return fleet.Change{Name: r.Key, Void: true}
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
