package edge

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/buckthorndock/buckthorndock/internal/core/fleet"
)

// changeList changes the list of upstreams, and tells all that go by it if the change,
// which reports whether there was any, made a difference to them.
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
		p.spreadList()
		p.endSuperseded(before, after)
	}
}

// identified takes in which of the upstreams at an address answered there.
func (p *process) identified(u fleet.Upstream, itself bool) {
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

// mostListLines bounds the lines about one change of the list: all servers of a site may start
// together.
const mostListLines = 20

// logListChange writes a line for each upstream that came, began to leave or went,
// and reports whether there was any.
//
// The first list has one line: a start of all would write one for each upstream and daemon.
func (p *process) logListChange(before, after *fleet.Snapshot) bool {
	if before.At.IsZero() && !after.At.IsZero() {
		p.log.WithFields(logrus.Fields{
			"upstreams": len(after.Upstreams), "services": countServices(after), "read_age_ms": time.Since(after.At).Milliseconds(),
		}).Info("upstreams_listed")
		return true
	}
	lines := 0
	note := func(u fleet.Upstream, what string) {
		if lines++; lines > mostListLines {
			return
		}
		p.log.WithFields(logrus.Fields{
			"upstream": u.ID, "service": u.Service, "address": u.Address, "domain": u.Domain, "read_age_ms": time.Since(after.At).Milliseconds(),
		}).Info(what)
	}
	for _, u := range after.Upstreams {
		old, known := before.Get(u.ID)
		switch {
		case !known:
			note(u, "upstream_listed")
		case u.Leaving && !old.Leaving:
			note(u, "upstream_leaving")
		case u.Address != old.Address || u.Service != old.Service:
			note(u, "upstream_moved")
		}
	}
	for _, u := range before.Upstreams {
		if _, still := after.Get(u.ID); !still {
			note(u, "upstream_gone")
		}
	}
	if more := lines - mostListLines; more > 0 {
		p.log.WithFields(logrus.Fields{"more": more, "upstreams": len(after.Upstreams)}).Info("upstreams_changed")
	}
	return lines > 0
}

// evacuationsDiffer reports whether an upstream has come to be evacuated, or is so no more.
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

// inheritNotices gives servers that have started again what they have said since, before
// anything chooses them.
func (p *process) inheritNotices(before, after *fleet.Snapshot) {
	for _, u := range before.Upstreams {
		if next, over := after.Successor(u); over && next.Name == u.Name {
			p.notices.Inherit(next, u)
		}
	}
}

// endSuperseded ends what runs on upstreams whose place others have taken.
func (p *process) endSuperseded(before, after *fleet.Snapshot) {
	for _, u := range before.Upstreams {
		if _, still := after.Get(u.ID); still {
			continue
		}
		if next, over := after.Successor(u); over {
			p.pool.CloseIdle(u.Address)
			p.relay.UpstreamReplaced(u, next)
		} else {
			p.relay.UpstreamDelisted(u)
		}
	}
}
