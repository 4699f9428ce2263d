package relay

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/buckthorndock/buckthorndock/internal/core/fleet"
	"github.com/buckthorndock/buckthorndock/internal/core/request"
	"github.com/buckthorndock/buckthorndock/internal/core/retry"
)

// Silence after which a call that may be repeated is moved: plainSilenceFactor times the
// route's objective, by which most answers of a healthy server have arrived.
const (
	plainSilenceFactor = 2.5
	minPlainSilence    = 150 * time.Millisecond
)

// maxTurnRequests is the number of servers at which a call requests a turn before it skips
// all that are limited: all these requests go to one daemon.
const maxTurnRequests = 3

// pickServer chooses a server that a request may be sent to now. If all have limits, it
// waits for a turn at one of them, as long as the answer may still be in time.
func (g *run) pickServer(ctx context.Context) (fleet.Upstream, func(), *request.Refusal) {
	g.stage.enter(stageTurn)
	minTurn := maxRetryAfter
	for _, within := range []time.Duration{0, g.withinShutdown(g.timeToNextEvent())} {
		var refusing []string // servers that grant no turn in time
		for {
			u, done, ok := g.pickExcept(refusing)
			if !ok && len(refusing) == 0 {
				return u, nil, g.noUpstreamRefusal("server")
			}
			if !ok {
				break
			}
			turn, ok := g.requestTurn(ctx, u, within)
			asked := time.Now()
			if ok {
				refusal := g.pause(ctx, turn)
				if refusal == nil && !missedTurn(asked, turn) && g.takesWork(u) {
					return u, done, nil
				}
				if refusal != nil {
					done()
					return u, nil, refusal
				}
			}
			done()
			if ctx.Err() != nil {
				return u, nil, g.contextRefusal(ctx)
			}
			minTurn = min(minTurn, turn)
			refusing = append(refusing, u.ID)
			if len(refusing) == maxTurnRequests {
				refusing = append(refusing, g.limitedServers()...)
			}
		}
	}
	retryAfter := max(minTurn, retryAfterFailure)
	return fleet.Upstream{}, nil, request.Refuse(request.CodeQueueFull, retryAfter, "all servers of %s are at their limits, reported or while cold", g.req.Service.Name)
}

// limitedServers returns the IDs of the servers that accept a limited number of requests per
// second.
func (g *run) limitedServers() []string {
	ids := g.relay.opts.Notices.limited()
	now := time.Now()
	for _, u := range g.relay.opts.Upstreams().Live(g.req.Service.Name) {
		if u.ColdUntil.After(now) {
			ids = append(ids, u.ID)
		}
	}
	return ids
}

// pickExcept chooses a server that is not in excluded and has not reported that it takes no
// requests. Servers to avoid are chosen only if no other is left.
func (g *run) pickExcept(excluded []string) (u fleet.Upstream, done func(), ok bool) {
	plain, service := g.relay.opts.Balancer, g.req.Service.Name
	excluded = slices.Concat(excluded, g.relay.opts.Notices.barred())
	u, done, ok = plain.Pick(service, slices.Concat(g.exclude, g.toAvoid(), excluded))
	if ok {
		return u, done, true
	}
	return plain.Pick(service, excluded)
}

// takesWork reports whether a server still takes new work since it was chosen, according to
// the list and to its own notices.
func (g *run) takesWork(u fleet.Upstream) bool {
	now, listed := g.relay.opts.Upstreams().Get(u.ID)
	_, barred := g.relay.opts.Notices.barOf(u.ID)
	return !barred && (!listed || now.TakesWork())
}

// requestTurn requests a turn at a server that has reported a limit or is cold. Other
// servers need none.
func (g *run) requestTurn(ctx context.Context, u fleet.Upstream, within time.Duration) (turn time.Duration, ok bool) {
	l, limited := g.relay.opts.Notices.limitOf(u.ID)
	coldFor := max(time.Until(u.ColdUntil), 0)
	if !limited && coldFor == 0 {
		return 0, true
	}
	l.Upstream = u.ID
	turn, ok = g.relay.opts.Planner.Admit(ctx, l, within)
	fields := logrus.Fields{
		"request": g.req.ID, "upstream": u.ID, "cold_ms": coldFor.Milliseconds(),
		"turn_ms": turn.Milliseconds(), "within_ms": within.Milliseconds(), "taken": ok,
	}
	if limited {
		fields["limit_per_s"], fields["heard_ms_ago"] = l.PerSecond, time.Since(l.At).Milliseconds()
	}
	g.relay.log.WithFields(fields).Info("turn_requested")
	return turn, ok
}

// tryPlain makes one attempt at a plain service. unsent ends when it is not sent any more.
func (g *run) tryPlain(ctx, unsent context.Context) attemptResult {
	if refusal := g.cutOffRefusal(); refusal != nil {
		return attemptResult{refusal: refusal}
	}
	u, done, refusal := g.pickPlain(unsent)
	if refusal != nil {
		return attemptResult{refusal: refusal}
	}
	defer done()
	started, ok := g.noteStart(u)
	if !ok {
		return suspectConflict(u)
	}
	g.sentTo = []string{u.ID}
	g.trial.MarkSent()
	sent := time.Now()
	limit := max(time.Duration(plainSilenceFactor*float64(g.req.Route.Objective)), minPlainSilence)
	e := g.exchange(ctx, Attempt{
		Request:       g.req,
		Number:        g.attempt,
		Upstream:      u,
		Timeout:       g.timeLeft(),
		LastEvent:     cmp.Or(g.events.Last(), g.req.LastEvent),
		NewConnection: !g.req.Route.Repeatable(),
	}, limit, limit, nil)
	g.noteEnd(ctx, u, started, e)
	if e.delivered || e.callerGone {
		g.relay.noteSuccess(u.ID)
		g.reportServerSpeed(u, sent, e)
		return e
	}
	e.blamed = []string{u.ID}
	e.unreached = e.end == retry.NotWritten
	if e.end != retry.Faulted && !e.givenUp() {
		g.relay.noteFailures(e.blamed, e.end)
	}
	if e.full {
		g.noteFull(u)
	}
	return e
}
