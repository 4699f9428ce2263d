package edge

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/buckthorndock/buckthorndock/internal/core/fleet"
	"github.com/buckthorndock/buckthorndock/internal/core/pace"
	"github.com/buckthorndock/buckthorndock/internal/core/route"
)

// coldSettings is what the settings say of the cold servers of a service.
type coldSettings struct {
	duration  time.Duration // after a start; zero: servers are never cold
	perSecond float64       // requests that one takes from all daemons together
}

// defaultColdPerSecond is taken where the settings name no rate for cold servers: one request a
// second is bearable for any.
const defaultColdPerSecond = 1

func coldSettingsOf(spec route.Spec) map[string]coldSettings {
	figures := make(map[string]coldSettings, len(spec.Services))
	for _, s := range spec.Services {
		f := coldSettings{duration: s.ColdFor, perSecond: s.ColdPerSecond}
		if !(f.perSecond > 0) {
			f.perSecond = defaultColdPerSecond
		}
		figures[s.Name] = f
	}
	return figures
}

// coldFor returns how long servers of a service stay cold. The caller holds the lock.
func (p *process) coldFor(service string) time.Duration { return p.coldSettings[service].duration }

// coldLimits returns the limits of upstreams of which the list has said that they are cold, those
// that are warm again among them. A service that the settings do not know has none.
func coldLimits(list *fleet.Snapshot, figures map[string]coldSettings) []pace.ColdLimit {
	var cold []pace.ColdLimit
	for _, u := range list.Upstreams {
		f, known := figures[u.Service]
		if known && !u.ColdUntil.IsZero() {
			cold = append(cold, pace.ColdLimit{Upstream: u.ID, PerSecond: f.perSecond, Until: u.ColdUntil})
		}
	}
	return cold
}

// recordCold takes in that an answer of an upstream says for how long it stays cold.
func (p *process) recordCold(id string, left time.Duration) {
	now := time.Now()
	changed := false
	p.changeList(func(l *fleet.List) bool {
		changed = l.UpdateCold(id, left, now)
		return changed
	})
	if !changed {
		return
	}
	u, _ := p.list.Load().Get(id)
	p.mu.Lock()
	f := p.coldSettings[u.Service]
	p.mu.Unlock()
	p.schedule.ReportCold(pace.ColdLimit{Upstream: id, PerSecond: f.perSecond, Until: now.Add(left)})
}

// assumeCold makes the upstreams of a failure domain that can be reached again count as cold
// until they say otherwise.
func (p *process) assumeCold(domain string) {
	p.changeList(func(l *fleet.List) bool {
		l.AssumeCold(domain, p.coldFor, time.Now())
		return true
	})
}

// logCold writes one line on the upstreams that have become cold or warm, and reports whether
// there were any.
func (p *process) logCold(before, after *fleet.Snapshot) bool {
	now := time.Now()
	cold, warm, longest := 0, 0, time.Duration(0)
	example := ""
	for _, u := range after.Upstreams {
		old, _ := before.Get(u.ID)
		if !fleet.ColdChanged(old.ColdUntil, u.ColdUntil, now) {
			continue
		}
		example = u.ID
		if left := u.ColdUntil.Sub(now); left > 0 {
			cold++
			longest = max(longest, left)
		} else {
			warm++
		}
	}
	if cold+warm == 0 {
		return false
	}
	p.log.WithFields(logrus.Fields{
		"cold": cold, "warm": warm, "longest_ms": longest.Milliseconds(), "upstream": example,
		"read_age_ms": now.Sub(after.At).Milliseconds(),
	}).Info("upstreams_cold")
	return true
}
