package relay

import (
	"context"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/sirupsen/logrus"

	"github.com/buckthorndock/buckthorndock/internal/core/booking"
	"github.com/buckthorndock/buckthorndock/internal/core/fleet"
)

// errUpstreamEnded ends an attempt whose upstream has restarted, or whose address now
// belongs to another upstream: no answer will come. The connections to a host that lost
// power would show this only when they time out, 2 s later.
var errUpstreamEnded = merry.Sentinel("the upstream that ran it has ended")

// runningAttempts is the set of attempts in progress. The zero value is ready for use. It is
// safe for concurrent use.
type runningAttempts struct{ liveSet[*attempt] }

// streamingDomains returns the failure domains of the upstreams that are sending a stream.
func (r *runningAttempts) streamingDomains() []string {
	var domains []string
	for _, a := range r.filter(func(a *attempt) bool { return a.streaming.Load() }) {
		if !slices.Contains(domains, a.upstream.Domain) {
			domains = append(domains, a.upstream.Domain)
		}
	}
	return domains
}

// UpstreamReplaced records that an upstream is no longer listed because of its successor. The next life
// of the same server proves that the former one has ended. Another server's entry at the address does not,
// so who runs there is asked first.
func (r *Relay) UpstreamReplaced(u, successor fleet.Upstream) {
	if u.Name == successor.Name {
		r.endReplaced(u, successor)
		return
	}
	go func() {
		const isEngine = false // a server that does not name itself proves nothing
		id, err := r.identify(context.Background(), u, isEngine)
		if err == nil && id.Name == u.Name {
			r.log.WithFields(logrus.Fields{"upstream": u.ID, "address": u.Address, "successor": successor.ID}).Warn("successor_not_believed")
			r.opts.OnAlive(u, successor)
			return
		}
		r.endReplaced(u, successor)
	}()
}

// endReplaced records that the incarnation of an upstream has ended. Attempts that run there are
// cancelled.
func (r *Relay) endReplaced(u, successor fleet.Upstream) {
	broken := r.cancelAttemptsOn(u)
	r.UpstreamDelisted(u)
	r.log.WithFields(logrus.Fields{
		"upstream": u.ID, "address": u.Address, "successor": successor.ID, "broken": broken,
	}).Info("upstream_ended")
}

// cancelAttemptsOn cancels the attempts that run on an incarnation that has ended. It returns their
// number.
func (r *Relay) cancelAttemptsOn(u fleet.Upstream) int {
	broken := r.running.filter(func(a *attempt) bool { return a.upstream.ID == u.ID })
	for _, a := range broken {
		a.cancel(errUpstreamEnded)
	}
	return len(broken)
}

// UpstreamDelisted records that an upstream is no longer listed.
func (r *Relay) UpstreamDelisted(u fleet.Upstream) {
	r.opts.Suspects.EngineDelisted(u.ID, u.ID, time.Now())
}

// incarnationEnded reports whether the incarnation of a part's engine is known to have
// ended.
func (r *Relay) incarnationEnded(p booking.Part) bool {
	of := fleet.Upstream{ID: p.Upstream, Incarnation: p.Life, Address: p.Address}
	_, over := r.opts.Upstreams().Successor(of)
	return over
}
