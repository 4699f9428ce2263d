package relay

import (
	"context"
	"errors"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/buckthorndock/buckthorndock/internal/core/fleet"
	"github.com/buckthorndock/buckthorndock/internal/core/quarantine"
	"github.com/buckthorndock/buckthorndock/internal/core/request"
	"github.com/buckthorndock/buckthorndock/internal/core/retry"
)

var errSuspectConflict = merry.Sentinel("another suspect request is running on the upstream")

// suspectConflict ends an attempt before it is sent: suspect requests must not run on the
// same upstream, so another upstream is tried.
func suspectConflict(from fleet.Upstream) attemptResult {
	return attemptResult{end: retry.NotWritten, blamed: []string{from.ID}, err: errSuspectConflict}
}

// suspectConflicts returns the IDs of the engines on which the request must not start now, because
// another suspect runs there. It looks only after a first conflict: few requests have any.
func (g *run) suspectConflicts() []string {
	if !g.conflicted {
		return nil
	}
	var engines []string
	for _, u := range g.relay.opts.Upstreams().Live(g.req.Service.Name) {
		engines = append(engines, u.ID)
	}
	return g.relay.opts.Suspects.Blocked(engines, g.req.Work, time.Now())
}

// admitTrial checks that the request may be placed, under a trial if it needs one.
func (g *run) admitTrial(ctx context.Context) *request.Refusal {
	trial, refusal := g.relay.opts.Suspects.Admit(ctx, g.req.Work, g.trial, g.timeLeft())
	g.trial = trial
	return refusal
}

// noteStart records that the attempt starts on an upstream. It returns false if it must not
// start there now.
func (g *run) noteStart(u fleet.Upstream) (quarantine.Run, bool) {
	started, ok := g.relay.opts.Suspects.TryStart(u.ID, g.req.Work, g.trial, time.Now())
	g.started, g.begun = started, false
	g.conflicted = g.conflicted || !ok
	return started, ok
}

// noteAnswering records that the attempt's upstream is sending its answer.
func (g *run) noteAnswering(now time.Time) {
	if g.begun {
		return
	}
	if g.begun = g.relay.opts.Suspects.Answering(g.started, now); g.begun {
		g.trial.Began()
	}
}

// noteEnd records how the attempt on an upstream ended. An attempt that broke off because
// the upstream's process died is evidence against all requests that ran there.
func (g *run) noteEnd(ctx context.Context, u fleet.Upstream, r quarantine.Run, e attemptResult) {
	suspects := g.relay.opts.Suspects
	defer g.trial.End(trialOutcome(e))
	if errors.Is(e.err, syscall.ECONNREFUSED) && suspects.HasBrokenRuns(u.ID) {
		g.relay.recheckDeath(u, g.req.Service.Engine != nil)
	}
	if e.end != retry.Broken || e.delivered || e.callerGone || e.givenUp() {
		suspects.End(r, e.delivered)
		return
	}
	switch {
	case errors.Is(e.err, errUpstreamEnded):
		suspects.EngineDied(u.ID, u.ID, time.Now())
	case g.relay.deaths.IsDead(ctx, toCheck(u)):
		g.relay.endLog.add(u, connectionsRefused, "")
		suspects.EngineDied(u.ID, u.ID, time.Now())
	default:
		suspects.EndBroken(r, time.Now())
		g.relay.recheckDeath(u, g.req.Service.Engine != nil)
	}
	suspects.End(r, false)
}

func trialOutcome(e attemptResult) quarantine.TrialOutcome {
	switch {
	case e.delivered:
		return quarantine.TrialCompleted
	case e.callerGone:
		return quarantine.TrialRan
	case e.end == retry.NotWritten:
		return quarantine.TrialNotSent
	case e.end == retry.Declined:
		return quarantine.TrialDeclined
	}
	return quarantine.TrialRan
}
