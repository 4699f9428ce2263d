package relay

import (
	"context"
	"errors"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/buckthorndock/buckthorndock/internal/core/fleet"
	"github.com/buckthorndock/buckthorndock/internal/core/quarantine"
	"github.com/buckthorndock/buckthorndock/internal/core/request"
	"github.com/buckthorndock/buckthorndock/internal/core/retry"
)

var errApart = merry.Sentinel("one of the requests that may have crashed an upstream runs there")

// apart ends an attempt before it is sent: suspects run apart from each other, so the
// next upstream is tried.
func apart(from fleet.Upstream) ending {
	return ending{end: retry.NotWritten, blamed: []string{from.ID}, err: errApart}
}

// underTrial makes sure that the request may be placed, under a trial if it needs one.
func (g *run) underTrial(ctx context.Context) *request.Refusal {
	trial, refusal := g.relay.opts.Suspects.Admit(ctx, g.req.Fingerprint, g.trial, g.left())
	g.trial = trial
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
	if errors.Is(e.err, errLifeOver) || g.relay.showsDead(ctx, u, reachWait) {
		suspects.EngineDied(u.ID, u.ID, time.Now())
	} else {
		suspects.EndBroken(r, time.Now())
		g.relay.lookAgain(u)
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
