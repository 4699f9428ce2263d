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

// Times of reads, as fractions of the time within which a change must be in force. A change
// reaches the last daemon by a read of the store and an answer for each level between daemons.
const (
	// longPollFraction is how long a read of the settings stays open, so that a change is
	// returned at once. It is short because a read whose answer was lost looks the same.
	longPollFraction = 0.25
	// peerTimeoutFraction allows for large settings on a slow link.
	peerTimeoutFraction = 0.25
	// settingsReadFraction is the minimum time between two reads of the settings, which stay open
	// until a change comes, and upstreamsReadFraction between two reads of the list, which changes
	// with every heartbeat of a server.
	settingsReadFraction  = 0.15
	upstreamsReadFraction = 0.2
	// peerHoldFraction is how long a peer that has nothing new holds its answer back: a little
	// longer than the time between two reads of the store, so that each read causes an answer.
	peerHoldFraction = 0.3
	// oldFraction is the age from which data counts as old in logs: more than it reaches while one
	// source is silent.
	oldFraction = 0.75
)

const (
	// maxWithin limits the time that the fractions refer to, because the time until an
	// unreachable daemon is noticed also depends on it.
	maxWithin        = 5 * time.Second
	settingsTimeout  = 600 * time.Millisecond
	upstreamsTimeout = 600 * time.Millisecond
	// upstreamsPeerTimeout allows for many round trips of 1 to 2 ms.
	upstreamsPeerTimeout = 150 * time.Millisecond
	peerReadInterval     = 100 * time.Millisecond
	// startupStoreDelay is how long a daemon without data, and without a caller waiting, leaves
	// the store to others: by then, daemons that start together know each other.
	startupStoreDelay = 2 * time.Second
	// The store counts as unavailable after minOutageAfter without a read, or after
	// outageAfterReads intervals between reads if that is longer. Entries that lapse during an
	// outage may belong to live servers.
	minOutageAfter   = 1500 * time.Millisecond
	outageAfterReads = 2.5
	// relistTime is how long live servers take to be listed again after the store is back.
	relistTime = 2 * time.Second
	// operatorRewriteTime is how long operators take at most to write again what the store has
	// lost when it was restored from an older copy. Evacuations stay in force meanwhile.
	operatorRewriteTime = 10 * time.Second
	// restoredCopyDoubt is how long a record of such a copy is doubtful if it may be older than
	// the known one. By then, entries of servers that are gone have lapsed and operators have
	// rewritten theirs.
	restoredCopyDoubt = 10 * time.Second
)

// fractionOf returns a fraction of a time in milliseconds, which it limits to maxWithin.
func fractionOf(ms, fraction float64) time.Duration {
	whole := min(time.Duration(ms*float64(time.Millisecond)), maxWithin)
	return time.Duration(fraction * float64(whole))
}

// outageAfter returns the time without a read after which the store counts as unavailable.
func outageAfter(cfg *Config) time.Duration {
	return max(minOutageAfter, fractionOf(cfg.LeavingWithinMs, outageAfterReads*upstreamsReadFraction))
}

// followSettings returns the follower of the settings.
func (p *process) followSettings() *keyed.Follower {
	ms := p.cfg.SettingsWithinMs
	o := p.followOptions(ms)
	o.Stream = p.provider.SettingsStream()
	o.ReadInterval = fractionOf(ms, settingsReadFraction)
	o.LongPoll = fractionOf(ms, longPollFraction)
	o.Timeout = settingsTimeout
	o.PeerTimeout = fractionOf(ms, peerTimeoutFraction)
	o.RankOf = p.provider.SettingsRank
	o.RewriteTime = operatorRewriteTime
	o.Apply = p.applySettings
	return keyed.New(o)
}

// followUpstreams returns the follower of the list of upstreams. Its short reads notice when the
// store is back, which a read that stays open may never do.
func (p *process) followUpstreams(regained func()) *keyed.Follower {
	ms := p.cfg.LeavingWithinMs
	o := p.followOptions(ms)
	o.Stream = p.provider.UpstreamsStream()
	o.ReadInterval = fractionOf(ms, upstreamsReadFraction)
	o.Timeout = upstreamsTimeout
	o.PeerTimeout = upstreamsPeerTimeout
	o.RankOf = p.provider.UpstreamRank
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
		Within:           fractionOf(ms, 1),
		PeerHold:         fractionOf(ms, peerHoldFraction),
		OldAfter:         fractionOf(ms, oldFraction),
		PeerReadInterval: peerReadInterval,
		StartupDelay:     p.startupDelay(),
		DoubtTime:        restoredCopyDoubt,
		Demand:           p.admitter.Demanded(),
		Feed:             p.feed,
		Log:              p.log,
	}
}

// startupDelay returns how long this daemon leaves the store to others when it starts: zero if it
// has no other seeds.
func (p *process) startupDelay() time.Duration {
	for _, seed := range p.cfg.Seeds {
		if seed != p.cfg.Listen.Peers {
			return startupStoreDelay
		}
	}
	return 0
}

// applySettings applies a read of the settings stream: the routing table and evacuations.
func (p *process) applySettings(b keyed.Batch) {
	p.applyEvacuations(b)
	for _, r := range b.Records {
		if r.Key != p.provider.SettingsKey() || r.Value == nil {
			continue
		}
		p.applyTable(r, b.From)
	}
}

// applyTable applies the settings of a record if they are newer than the current ones. from is the
// host whose copy was read, empty for the store.
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
	if !p.admitter.SetTable(table) {
		log.Info("settings_not_newer")
		return
	}
	p.mu.Lock()
	p.services = bookServices(spec)
	p.coldSettings = coldSettingsOf(spec)
	p.mu.Unlock()
	p.publishList()
	p.changeList(func(l *fleet.List) bool { return l.SetServices(serviceNames(spec)) })
	log.Info("settings_applied")
}

// serviceNames returns the names of the services of the settings.
func serviceNames(spec route.Spec) []string {
	var names []string
	for _, s := range spec.Services {
		names = append(names, s.Name)
	}
	return names
}

// bookServices returns the services that have engines, as the schedule needs them.
func bookServices(spec route.Spec) []booking.Service {
	var services []booking.Service
	for _, s := range spec.Services {
		if s.Engine == nil {
			continue
		}
		services = append(services, booking.Service{
			Name:         s.Name,
			Figures:      *s.Engine,
			MinGap:       shortest(spec.Routes, s.Name, func(r *route.Route) time.Duration { return r.GapObjective }),
			MinObjective: shortest(spec.Routes, s.Name, func(r *route.Route) time.Duration { return r.Objective }),
		})
	}
	return services
}

// shortest returns the shortest objective of the routes to a service, zero if none has one.
func shortest(routes []route.Route, service string, objective func(*route.Route) time.Duration) time.Duration {
	var least time.Duration
	for i := range routes {
		r := &routes[i]
		if o := objective(r); o <= 0 || least > 0 && o >= least {
			continue
		}
		for _, t := range r.Targets {
			if t.Service == service {
				least = objective(r)
			}
		}
	}
	return least
}

// applyUpstreams applies a read of the list of upstreams.
func (p *process) applyUpstreams(b keyed.Batch) {
	changes := make([]fleet.Change, 0, len(b.Records))
	for _, r := range b.Records {
		changes = append(changes, p.decodeChange(r))
	}
	countColdFromArrival(changes, time.Since(b.At))
	p.changeList(func(l *fleet.List) bool {
		if b.OutageKnown {
			l.RecordNoOutage(b.OutageAt, b.At)
		}
		if b.Whole {
			l.Replace(changes, b.At)
		} else {
			l.Apply(changes, b.At)
		}
		return true
	})
}

// decodeChange decodes a record of the list. An undecodable one becomes an invalid change.
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

// publishList passes the settings and the list to all components that choose upstreams. Once both
// are known, this daemon can serve.
func (p *process) publishList() {
	p.mu.Lock()
	services, cold, list := p.services, p.coldSettings, p.list.Load()
	p.mu.Unlock()
	p.schedule.Apply(services, list, coldLimits(list, cold))
	p.balancer.apply(list)
	if p.admitter.Table() != nil && !list.At.IsZero() {
		p.serving.Store(true)
	}
}
