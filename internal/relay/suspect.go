package relay

import (
	"context"
	"errors"
	"slices"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/buckthorndock/buckthorndock/internal/core/fleet"
	"github.com/buckthorndock/buckthorndock/internal/core/quarantine"
	"github.com/buckthorndock/buckthorndock/internal/core/request"
	"github.com/buckthorndock/buckthorndock/internal/core/retry"
)

// reachWait bounds the look whether an upstream has died: a dead process's host refuses
// a connection within a round trip.
const reachWait = 50 * time.Millisecond

var errApart = merry.Sentinel("one of the requests that may have crashed an upstream runs there")

// apart ends an attempt before it is sent: suspects run apart from each other, so the
// next upstream is tried.
func apart(from fleet.Upstream) ending {
	return ending{end: retry.NotWritten, blamed: []string{from.ID}, err: errApart}
}

// underTrial makes sure that the request may be placed, under a trial if it needs one.
func (g *run) underTrial(ctx context.Context) *request.Refusal {
	if g.trial != nil && !g.trial.WasSent() {
		return nil // that of an attempt which came to nothing
	}
	var refusal *request.Refusal
	g.trial, refusal = g.relay.opts.Suspects.Admit(ctx, g.req.Fingerprint, g.left())
	return refusal
}

// start notes that the attempt begins on an upstream; false: it must not now.
func (g *run) start(u fleet.Upstream) (quarantine.Run, bool) {
	return g.relay.opts.Suspects.TryStart(u.ID, g.req.Fingerprint, g.trial, time.Now())
}

// finish notes how the attempt on an upstream ended. One that broke while its process
// died is evidence against all that ran there.
func (g *run) finish(ctx context.Context, u fleet.Upstream, r quarantine.Run, e ending) {
	suspects := g.relay.opts.Suspects
	defer g.trial.End(trialOutcome(e))
	if e.end != retry.Broken || e.delivered || e.gone {
		suspects.End(r, e.delivered)
		return
	}
	if errors.Is(e.err, errLifeOver) || g.died(ctx, u) {
		suspects.Died(u.ID, u.ID, time.Now())
	}
	suspects.End(r, false)
}

func trialOutcome(e ending) quarantine.TrialOutcome {
	switch {
	case e.delivered:
		return quarantine.TrialCompleted
	case e.gone:
		return quarantine.TrialRan
	case e.end == retry.NotWritten:
		return quarantine.TrialNotSent
	case e.end == retry.Declined:
		return quarantine.TrialDeclined
	}
	return quarantine.TrialRan
}

// died reports whether nobody listens at an upstream's address any more, while another
// upstream of its failure domain is reached: a cut of the way to the domain may look the
// same.
func (g *run) died(ctx context.Context, u fleet.Upstream) bool {
	ctx, cancel := context.WithTimeout(ctx, reachWait)
	defer cancel()
	if !errors.Is(g.relay.opts.Reach(ctx, u.Address), syscall.ECONNREFUSED) {
		return false
	}
	for _, other := range g.neighbours(u) {
		if g.relay.opts.Reach(ctx, other.Address) == nil {
			return true
		}
	}
	return false
}

// mostNeighbours is how many upstreams of a failure domain are tried: others may have
// died as well.
const mostNeighbours = 3

// neighbours returns a few upstreams of the same failure domain that have not failed
// lately.
func (g *run) neighbours(u fleet.Upstream) []fleet.Upstream {
	var some []fleet.Upstream
	avoided := g.relay.avoided()
	for _, other := range g.relay.opts.Upstreams().Upstreams {
		if other.Domain != u.Domain || other.Address == u.Address || slices.Contains(avoided, other.ID) {
			continue
		}
		if some = append(some, other); len(some) == mostNeighbours {
			break
		}
	}
	return some
}
