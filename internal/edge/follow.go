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
	// longPollFraction is how long a read of the settings stays open, so that a change is heard at
	// once. It is short, for a read that the store has swallowed looks the same.
	longPollFraction = 0.25
	// peerTimeoutFraction allows for large settings on a slow link.
	peerTimeoutFraction = 0.25
	// settingsReadFraction is between changes that come at once, upstreamsPart between two reads of the
	// list, which changes with every heartbeat of a server.
	settingsReadFraction  = 0.15
	upstreamsReadFraction = 0.2
	// peerHoldFraction is how long a peer without news holds its answer back: somewhat over the time
	// between two reads of the store, so that an answer comes with each of these.
	peerHoldFraction = 0.3
)

const (
	// maxWithin bounds the time from which the parts are taken: how soon a daemon that
	// cannot be reached is noticed follows from it too.
	maxWithin        = 5 * time.Second
	settingsTimeout  = 600 * time.Millisecond
	upstreamsTimeout = 600 * time.Millisecond
	// upstreamsPeerTimeout is many round trips, of 1 to 2 ms.
	upstreamsPeerTimeout = 150 * time.Millisecond
	peerReadInterval     = 100 * time.Millisecond
	// transferTime is the age that what a reader tells gains on its way.
	transferTime = 200 * time.Millisecond
	// startupStoreDelay is how long a daemon that knows nothing, and that nobody calls, leaves the
	// store to others: daemons that start together have met by then.
	startupStoreDelay = 2 * time.Second
	// Entries may have lapsed because of the store after a time without a read: this one, or as
	// many paces of a reader.
	minOutageAfter   = 1500 * time.Millisecond
	outageAfterReads = 2.5
	// relistTime is how long after the store's return live servers take to be back
	// in the list.
	relistTime = 2 * time.Second
	// operatorRewriteTime is how long after the store has come back from an older copy operators
	// take at the most to write again what it lost. An evacuation stands meanwhile.
	operatorRewriteTime = 10 * time.Second
	// restoredCopyDoubt is how long a record of such a copy is left aside that may be older than what is
	// known: entries of servers that have gone lapse before, and operators have written.
	restoredCopyDoubt = 10 * time.Second
)

// fractionOf returns a part of the time in which something has to be in force.
func fractionOf(ms, part float64) time.Duration {
	whole := min(time.Duration(ms*float64(time.Millisecond)), maxWithin)
	return time.Duration(part * float64(whole))
}

// outageAfter returns the time without a read after which the store counts as away.
func outageAfter(cfg *Config) time.Duration {
	return max(minOutageAfter, fractionOf(cfg.LeavingWithinMs, outageAfterReads*upstreamsReadFraction))
}

func (p *process) followSettings() *keyed.Follower {
	ms := p.cfg.SettingsWithinMs
	o := p.followOptions(ms)
	o.Stream = p.provider.SettingsStream()
	o.ReadInterval = fractionOf(ms, settingsReadFraction)
	o.LongPoll = fractionOf(ms, longPollFraction)
	o.Timeout = settingsTimeout
	o.PeerTimeout = fractionOf(ms, peerTimeoutFraction)
	o.MaxAge = 2*o.ReadInterval + o.LongPoll + transferTime
	o.RankOf = p.provider.RankOfSettings
	o.RewriteTime = operatorRewriteTime
	o.Apply = p.applySettings
	return keyed.New(o)
}

// followUpstreams returns the follower of the list. Its short reads notice the store's
// return, of which a read that stays open may never hear.
func (p *process) followUpstreams(regained func()) *keyed.Follower {
	ms := p.cfg.LeavingWithinMs
	o := p.followOptions(ms)
	o.Stream = p.provider.UpstreamsStream()
	o.ReadInterval = fractionOf(ms, upstreamsReadFraction)
	o.Timeout = upstreamsTimeout
	o.PeerTimeout = upstreamsPeerTimeout
	o.MaxAge = 2*o.ReadInterval + transferTime
	o.RankOf = p.provider.RankOfUpstream
	o.RewriteTime = relistTime
	o.IsSignificant = func(before, after []byte) bool { return !p.provider.SameUpstream(before, after) }
	o.OnRegained = regained
	o.Apply = p.applyUpstreams
	return keyed.New(o)
}

// followOptions returns what both followers have in common.
func (p *process) followOptions(ms float64) keyed.Options {
	return keyed.Options{
		Store:            p.store,
		PeerHold:         fractionOf(ms, peerHoldFraction),
		PeerReadInterval: peerReadInterval,
		StartupDelay:     p.startupDelay(),
		DoubtTime:        restoredCopyDoubt,
		Demand:           p.admitter.Demanded(),
		Feed:             p.feed,
		Log:              p.log,
	}
}

// startupDelay returns how long this daemon leaves the store to others: not at all where it knows
// of none.
func (p *process) startupDelay() time.Duration {
	for _, seed := range p.cfg.Seeds {
		if seed != p.cfg.Listen.Peers {
			return startupStoreDelay
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
	if !p.admitter.SetTable(table) {
		log.Info("settings_not_newer")
		return
	}
	p.mu.Lock()
	p.services = bookServices(spec)
	p.coldSettings = coldSettingsOf(spec)
	p.mu.Unlock()
	p.publishList()
	log.Info("settings_applied")
}

// bookServices returns what the schedule needs of the services of engines.
func bookServices(spec route.Spec) []booking.Service {
	var services []booking.Service
	for _, s := range spec.Services {
		if s.Engine == nil {
			continue
		}
		services = append(services, booking.Service{Name: s.Name, Figures: *s.Engine, MinGap: minGap(spec.Routes, s.Name)})
	}
	return services
}

// minGap returns the shortest pause that a route to the service bears.
func minGap(routes []route.Route, service string) time.Duration {
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
		changes = append(changes, p.decodeChange(r))
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

// decodeChange reads a record of the list. One that cannot be read names no upstream.
func (p *process) decodeChange(r platform.KeyedRecord) fleet.Change {
	if r.Value == nil {
		return fleet.Change{Name: r.Key}
	}
	u, err := p.provider.DecodeUpstream(r.Key, r.Value)
	if err != nil {
		p.undecodable.logUndecodable(p.log, r.Key, err)
		return fleet.Change{Name: r.Key, Invalid: true}
	}
	return fleet.Change{Name: r.Key, Upstream: u}
}

// publishList tells all that choose upstreams of a change.
func (p *process) publishList() {
	p.mu.Lock()
	services, figures, list := p.services, p.coldSettings, p.list.Load()
	p.mu.Unlock()
	p.schedule.Apply(services, list, coldLimits(list, figures))
	p.balancer.apply(list)
	if p.admitter.Table() != nil && !list.At.IsZero() {
		p.serving.Store(true)
	}
}
