package edge

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/buckthorndock/buckthorndock/internal/core/fleet"
	"github.com/buckthorndock/buckthorndock/internal/core/pace"
	"github.com/buckthorndock/buckthorndock/internal/core/route"
)

// coldSettings are the settings for the cold servers of a service.
type coldSettings struct {
	duration  time.Duration // how long a server is cold after its start; zero: never
	perSecond float64       // requests per second that a cold server takes from all daemons together
}

// defaultColdPerSecond applies if the settings have no rate for cold servers: any server can
// handle one request per second.
const defaultColdPerSecond = 1

// coldSettingsOf returns the cold settings by service.
func coldSettingsOf(spec route.Spec) map[string]coldSettings {
	byService := make(map[string]coldSettings, len(spec.Services))
	for _, s := range spec.Services {
		f := coldSettings{duration: s.ColdFor, perSecond: s.ColdPerSecond}
		if !(f.perSecond > 0) {
			f.perSecond = defaultColdPerSecond
		}
		byService[s.Name] = f
	}
	return byService
}

// coldFor returns how long servers of a service are cold after a start. The caller holds p.mu.
func (p *process) coldFor(service string) time.Duration { return p.coldSettings[service].duration }

// coldLimits returns the limits of the upstreams that the list has given as cold, including those
// that are warm again. Services that are not in the settings have none.
func coldLimits(list *fleet.Snapshot, byService map[string]coldSettings) []pace.ColdLimit {
	var cold []pace.ColdLimit
	for _, u := range list.Upstreams {
		f, known := byService[u.Service]
		if known && !u.ColdUntil.IsZero() {
			cold = append(cold, pace.ColdLimit{Upstream: u.ID, PerSecond: f.perSecond, Until: u.ColdUntil})
		}
	}
	return cold
}

// countColdFromArrival makes the cold times of entries count from now, the given time after the read
// that returned them began. A read waits for new entries: these were written after it began, and
// counted from there a server would be taken for warm too early.
func countColdFromArrival(changes []fleet.Change, sinceRead time.Duration) {
	for _, c := range changes {
		if c.Upstream != nil && c.Upstream.ColdFor > 0 {
			c.Upstream.ColdFor += max(sinceRead, 0)
		}
	}
}

// recordCold records how much longer an upstream stays cold, as one of its answers says.
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

// assumeCold treats the upstreams of a failure domain that has become reachable again as cold
// until they report otherwise.
func (p *process) assumeCold(domain string) {
	p.changeList(func(l *fleet.List) bool {
		l.AssumeCold(domain, p.coldFor, time.Now())
		return true
	})
}

// logCold logs one line about the upstreams that have become cold or warm, and reports whether
// there are any.
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
