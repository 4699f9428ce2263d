package router

import "github.com/buckthorndock/buckthorndock/internal/core/placement"

// OfferedWork returns the work that this front was offered in its own failure domain, by
// pool. Pools without work are omitted.
func (r *Router) OfferedWork() map[string]placement.Work {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.opts.Now()
	all := map[string]placement.Work{}
	for pool := range r.pools {
		w := r.view.OfferedWork(pool, r.opts.Domain, now)
		if w.Total() > 0 {
			all[pool] = w
		}
	}
	return all
}

// ApplyPeerWork records the work that another front of the failure domain was offered, by
// pool. Unknown pools are ignored.
func (r *Router) ApplyPeerWork(host string, pools map[string]placement.Work) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.opts.Now()
	for pool, w := range pools {
		r.view.ApplyPeerWork(pool, r.opts.Domain, host, w, now)
	}
}
