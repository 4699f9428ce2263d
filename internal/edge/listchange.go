package edge

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/buckthorndock/buckthorndock/internal/core/fleet"
)

// changeList changes the list of upstreams and, if that makes a difference to those that use the
// list, passes it to them. change reports whether it has changed anything.
func (p *process) changeList(change func(*fleet.List) bool) {
	p.mu.Lock()
	before := p.list.Load()
	if !change(p.upstreams) {
		p.mu.Unlock()
		return
	}
	after := p.upstreams.Snapshot()
	p.list.Store(after)
	p.mu.Unlock()
	if after.SameAs(before) && p.serving.Load() {
		return
	}
	changed := p.logListChange(before, after)
	changed = p.logCold(before, after) || changed || evacuationsDiffer(before, after)
	if changed || !p.serving.Load() {
		p.inheritNotices(before, after)
		p.publishList()
		p.endSuperseded(before, after)
	}
}

// recordResponder records which of the upstreams at an address answered there: itself says that
// it was u.
func (p *process) recordResponder(u fleet.Upstream, itself bool) {
	changed := false
	p.changeList(func(l *fleet.List) bool {
		changed = l.RecordResponder(u, itself)
		return changed
	})
	if changed {
		p.log.WithFields(logrus.Fields{
			"upstream": u.ID, "address": u.Address, "rivals": u.Rivals, "itself": itself,
		}).Info("upstream_identified")
	}
}

// recordAlive records that u has answered itself, though a successor is listed.
func (p *process) recordAlive(u, successor fleet.Upstream) {
	p.changeList(func(l *fleet.List) bool { return l.RecordAlive(u, successor) })
}

// recordReplaced records that another upstream runs at the address of u.
func (p *process) recordReplaced(u fleet.Upstream) {
	p.changeList(func(l *fleet.List) bool { return l.RecordEnd(u, time.Now()) })
	p.pool.CloseIdle(u.Address)
}

// maxListLines limits the log lines about one change of the list: all servers of a site may start
// at the same time.
const maxListLines = 20

// logListChange logs a line for each upstream that was listed, moved, began to leave or is gone,
// and reports whether there is any.
//
// The first list has only one line: if all daemons started together, there would be one for each
// upstream and daemon.
func (p *process) logListChange(before, after *fleet.Snapshot) bool {
	if before.At.IsZero() && !after.At.IsZero() {
		p.log.WithFields(logrus.Fields{
			"upstreams": len(after.Upstreams), "services": countServices(after), "read_age_ms": time.Since(after.At).Milliseconds(),
		}).Info("upstreams_listed")
		return true
	}
	lines := 0
	logUpstream := func(u fleet.Upstream, event string) {
		if lines++; lines > maxListLines {
			return
		}
		p.log.WithFields(logrus.Fields{
			"upstream": u.ID, "service": u.Service, "address": u.Address, "domain": u.Domain, "read_age_ms": time.Since(after.At).Milliseconds(),
		}).Info(event)
	}
	for _, u := range after.Upstreams {
		old, known := before.Get(u.ID)
		switch {
		case !known:
			logUpstream(u, "upstream_listed")
		case u.Leaving && !old.Leaving:
			logUpstream(u, "upstream_leaving")
		case u.Address != old.Address || u.Service != old.Service:
			logUpstream(u, "upstream_moved")
		}
	}
	for _, u := range before.Upstreams {
		if _, still := after.Get(u.ID); !still {
			logUpstream(u, "upstream_gone")
		}
	}
	if more := lines - maxListLines; more > 0 {
		p.log.WithFields(logrus.Fields{"more": more, "upstreams": len(after.Upstreams)}).Info("upstreams_changed")
	}
	return lines > 0
}

// evacuationsDiffer reports whether the evacuation of an upstream has begun or ended.
func evacuationsDiffer(before, after *fleet.Snapshot) bool {
	for _, u := range after.Upstreams {
		if old, known := before.Get(u.ID); known && old.Evacuated != u.Evacuated {
			return true
		}
	}
	return false
}

// countServices returns the number of upstreams of each service.
func countServices(list *fleet.Snapshot) map[string]int {
	counts := map[string]int{}
	for _, u := range list.Upstreams {
		counts[u.Service]++
	}
	return counts
}

// inheritNotices gives the new incarnations of restarted servers the notices that they sent before
// they were listed, before any component chooses them.
func (p *process) inheritNotices(before, after *fleet.Snapshot) {
	for _, u := range before.Upstreams {
		if next, replaced := after.Successor(u); replaced && next.Name == u.Name {
			p.notices.Inherit(next, u)
		}
	}
}

// endSuperseded reports to the relay the upstreams that were replaced by another or are no longer
// listed. It closes the idle connections to replaced ones.
func (p *process) endSuperseded(before, after *fleet.Snapshot) {
	for _, u := range before.Upstreams {
		if _, still := after.Get(u.ID); still {
			continue
		}
		if next, replaced := after.Successor(u); replaced {
			p.pool.CloseIdle(u.Address)
			p.relay.UpstreamReplaced(u, next)
		} else {
			p.relay.UpstreamDelisted(u)
		}
	}
}
