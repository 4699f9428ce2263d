package relay

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/buckthorndock/buckthorndock/internal/core/fleet"
	"github.com/buckthorndock/buckthorndock/internal/core/request"
	"github.com/buckthorndock/buckthorndock/internal/core/retry"
	"github.com/buckthorndock/buckthorndock/internal/wait"
)

// Silence after which a call that may be repeated is moved: a multiple of the
// route's objective, by which most answers of a sound server are there.
const (
	plainSilence     = 2.5
	leastPlainSilent = 150 * time.Millisecond
)

// mostAsked is at how many servers a call asks for a turn before it leaves all that have
// named limits: each question goes to one daemon for all.
const mostAsked = 3

// pick chooses a server that may be sent to now. Where all have named limits, it waits for a
// turn at one of them, as long as the answer may be in time.
func (g *run) pick(ctx context.Context) (fleet.Upstream, func(), *request.Refusal) {
	soonest := retryAfterMost
	for _, within := range []time.Duration{0, g.eventLeft()} {
		var full []string // servers that give no turn in time
		for {
			u, done, ok := g.pickBut(full)
			if !ok && len(full) == 0 {
				return u, nil, g.noneTakes("server")
			}
			if !ok {
				break
			}
			turn, ok := g.admit(ctx, u, within)
			asked := time.Now()
			if ok && wait.For(ctx, turn) && !missedTurn(asked, turn) && g.takes(u) {
				return u, done, nil
			}
			done()
			if ctx.Err() != nil {
				return u, nil, g.ended(ctx)
			}
			soonest = min(soonest, turn)
			full = append(full, u.ID)
			if len(full) == mostAsked {
				full = append(full, g.limited()...)
			}
		}
	}
	comeBack := max(soonest, retryAfterFailure)
	return fleet.Upstream{}, nil, request.Refuse(request.CodeQueueFull, comeBack, "the limits of all servers of %s, named or of cold ones, are used up", g.req.Service.Name)
}

// limited returns the servers that take a bounded number of requests a second.
func (g *run) limited() []string {
	ids := g.relay.opts.Notices.limited()
	now := time.Now()
	for _, u := range g.relay.opts.Upstreams().Live(g.req.Service.Name) {
		if u.ColdUntil.After(now) {
			ids = append(ids, u.ID)
		}
	}
	return ids
}

// pickBut chooses a server, one that fails only where no other is left, and none of some or
// of those that have said that they take nothing.
func (g *run) pickBut(none []string) (u fleet.Upstream, done func(), ok bool) {
	plain, service := g.relay.opts.Balancer, g.req.Service.Name
	none = slices.Concat(none, g.relay.opts.Notices.barred())
	u, done, ok = plain.Pick(service, slices.Concat(g.exclude, g.avoid(), none))
	if ok {
		return u, done, true
	}
	return plain.Pick(service, none)
}

// takes reports whether a server has not come to take no new work since it was chosen, by the
// list or by its own word.
func (g *run) takes(u fleet.Upstream) bool {
	now, listed := g.relay.opts.Upstreams().Get(u.ID)
	_, barred := g.relay.opts.Notices.barOf(u.ID)
	return !barred && (!listed || now.TakesWork())
}

// admit takes a turn at a server if it has named a limit or is cold.
func (g *run) admit(ctx context.Context, u fleet.Upstream, within time.Duration) (turn time.Duration, ok bool) {
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
	g.relay.log.WithFields(fields).Info("turn_asked")
	return turn, ok
}

// tryPlain makes one attempt at a plain service.
func (g *run) tryPlain(ctx context.Context) ending {
	if refusal := g.behindCuts(); refusal != nil {
		return ending{refusal: refusal}
	}
	u, done, refusal := g.pick(ctx)
	if refusal != nil {
		return ending{refusal: refusal}
	}
	defer done()
	started, ok := g.start(u)
	if !ok {
		return apart(u)
	}
	g.sent = []string{u.ID}
	g.trial.MarkSent()
	limit := max(time.Duration(plainSilence*float64(g.req.Route.Objective)), leastPlainSilent)
	e := g.exchange(ctx, Attempt{
		Request:       g.req,
		Number:        g.attempt,
		Upstream:      u,
		Timeout:       g.left(),
		LastEvent:     g.after,
		NewConnection: !g.req.Route.Repeatable(),
	}, limit, limit, nil)
	g.finish(ctx, u, started, e)
	if e.delivered || e.gone {
		g.relay.succeeded(u.ID)
		return e
	}
	e.blamed = []string{u.ID}
	e.unreached = e.end == retry.NotWritten
	if e.end != retry.Faulted {
		g.relay.failed(e.blamed, e.end)
	}
	return e
}
