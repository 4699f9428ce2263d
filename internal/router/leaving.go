package router

import (
	"github.com/buckthorndock/buckthorndock/internal/core/placement"
	"github.com/buckthorndock/buckthorndock/internal/core/settings"
)

// leaving holds which upstreams are leaving according to sources other than their own
// reports.
type leaving struct {
	settings map[string]bool         // by name: as marked by the settings
	listed   map[string]*listedLeave // by address: as marked by the platform's list
}

// listedLeave is the mark of an upstream that the platform's list shows as leaving. The list
// lags behind and does not distinguish incarnations: a new incarnation invalidates the mark
// until the list has dropped it once.
type listedLeave struct {
	incarnation string // of the upstream when it was marked, empty if unknown
	superseded  bool   // the upstream has a new incarnation
}

// SetListedLeaving sets the addresses of all upstreams that the platform's list shows as
// leaving now. An upstream that is no longer among them takes work again.
func (r *Router) SetListedLeaving(addresses map[string]bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for address := range r.leaving.listed {
		if !addresses[address] {
			delete(r.leaving.listed, address)
		}
	}
	for address := range addresses {
		if r.leaving.listed[address] == nil {
			r.leaving.listed[address] = &listedLeave{}
		}
	}
	for pool := range r.pools {
		for _, e := range r.view.Engines(pool) {
			r.noteIncarnation(e)
			r.updateLeaving(e)
		}
	}
}

// noteIncarnation invalidates the mark of an upstream that has a new incarnation. The caller
// holds mu.
func (r *Router) noteIncarnation(e *placement.Engine) {
	mark := r.leaving.listed[e.Address()]
	report, known := e.Report()
	switch {
	case mark == nil || !known || report.Incarnation == "":
	case mark.incarnation == "":
		mark.incarnation = report.Incarnation
	case mark.incarnation != report.Incarnation:
		mark.superseded = true
	}
}

// isLeaving reports whether an upstream is leaving according to settings or list. The caller
// holds mu.
func (r *Router) isLeaving(e *placement.Engine) bool {
	mark := r.leaving.listed[e.Address()]
	return r.leaving.settings[e.Name()] || mark != nil && !mark.superseded
}

// updateLeaving brings an upstream's state in line with settings and list. A dead upstream
// stays dead. The caller holds mu.
func (r *Router) updateLeaving(e *placement.Engine) {
	report, _ := e.Report()
	switch {
	case r.isLeaving(e):
		if e.State() != placement.Dead {
			r.view.SetState(e.Name(), placement.Leaving)
		}
	case e.State() == placement.Leaving && !report.Leaving:
		r.view.SetState(e.Name(), placement.Live)
		r.signal()
	}
}

// applyLeaving applies what the settings say about a pool's upstreams. The caller holds mu.
func (r *Router) applyLeaving(p *settings.PoolView) {
	for _, u := range p.Upstreams {
		r.leaving.settings[u.Name] = u.Leaving || u.Evacuated
		r.updateLeaving(r.view.Engine(u.Name))
	}
}
