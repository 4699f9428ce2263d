package router

import (
	"github.com/buckthorndock/buckthorndock/internal/core/placement"
	"github.com/buckthorndock/buckthorndock/internal/core/settings"
)

// leaving holds what was told of leaving upstreams besides their own reports.
type leaving struct {
	settings map[string]bool         // by name: the settings say so
	listed   map[string]*listedLeave // by address: the platform's list says so
}

// listedLeave is one upstream that the list has as leaving. The list lags, and
// has no word for lives of an upstream: a new life takes the mark off until the
// list has said something else in between.
type listedLeave struct {
	incarnation string // of the upstream when it was marked, empty when not known
	over        bool
}

// SetListedLeaving takes the addresses of all upstreams that the platform's list has as
// leaving now. An upstream that is none of them any more takes work again.
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
			r.noteLife(e)
			r.settleLeaving(e)
		}
	}
}

// noteLife ends the mark of an upstream that has a new life. The caller holds mu.
func (r *Router) noteLife(e *placement.Engine) {
	mark := r.leaving.listed[e.Address()]
	report, known := e.Report()
	switch {
	case mark == nil || !known || report.Incarnation == "":
	case mark.incarnation == "":
		mark.incarnation = report.Incarnation
	case mark.incarnation != report.Incarnation:
		mark.over = true
	}
}

// isLeaving reports what settings and list say. The caller holds mu.
func (r *Router) isLeaving(e *placement.Engine) bool {
	mark := r.leaving.listed[e.Address()]
	return r.leaving.settings[e.Name()] || mark != nil && !mark.over
}

// settleLeaving brings an upstream's state to what settings and list say; one
// that is dead stays so. The caller holds mu.
func (r *Router) settleLeaving(e *placement.Engine) {
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

// applyLeaving takes what the settings say of a pool. The caller holds mu.
func (r *Router) applyLeaving(p *settings.PoolView) {
	for _, u := range p.Upstreams {
		r.leaving.settings[u.Name] = u.Leaving || u.Evacuated
		r.settleLeaving(r.view.Engine(u.Name))
	}
}
