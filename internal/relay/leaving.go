package relay

import (
	"context"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/core/booking"
	"github.com/buckthorndock/buckthorndock/internal/core/request"
)

// leavingRefusal refuses a request that this daemon does not carry to its end, because it shuts
// down. Another daemon can serve it at once.
func leavingRefusal() *request.Refusal {
	return request.Refuse(request.CodeLeaving, retryAfterLeaving, "this daemon shuts down")
}

// whileSending returns the context of what an attempt waits for before it is sent. A stream that has
// begun cannot be refused any more, so it is waited for until the end.
func (g *run) whileSending(ctx context.Context) (unsent context.Context, stop context.CancelFunc) {
	if g.headSent {
		return ctx, func() {}
	}
	return g.relay.opts.Shutdown.WhileSending(ctx)
}

// leavesUnsent reports whether the daemon shuts down and the request is not sent any more.
func (g *run) leavesUnsent() bool { return !g.headSent && g.relay.opts.Shutdown.SendingEnded() }

// pause waits for d before the request is sent. It returns a refusal if the context ends first, and
// as soon as it is known that the daemon will not send the request after the wait.
func (g *run) pause(ctx context.Context, d time.Duration) *request.Refusal {
	until := time.Now().Add(d)
	return g.pauseWhile(ctx, d, func() bool { return g.relay.opts.Shutdown.MaySendAt(until) })
}

// pauseWhile waits for d before the request is sent. It returns a refusal if the context ends first,
// and as soon as the daemon shuts down and possible returns false.
func (g *run) pauseWhile(ctx context.Context, d time.Duration, possible func() bool) *request.Refusal {
	timer := time.NewTimer(max(d, 0))
	defer timer.Stop()
	begun := g.relay.opts.Shutdown.Begun()
	for {
		if !g.headSent && !possible() {
			return leavingRefusal()
		}
		select {
		case <-timer.C:
			if ctx.Err() != nil {
				return g.contextRefusal(ctx)
			}
			return nil
		case <-ctx.Done():
			return g.contextRefusal(ctx)
		case <-begun:
			begun = nil
		}
	}
}

// withinShutdown returns the part of a time to wait after which this daemon still sends requests.
func (g *run) withinShutdown(within time.Duration) time.Duration {
	t, leaving := g.relay.opts.Shutdown.Times()
	if !leaving || g.headSent {
		return within
	}
	return min(within, time.Until(t.LastSend))
}

// awaitTurn waits until the engines of a plan are free. It refuses the request as soon as it is known
// that the daemon shuts down before they have served it.
func (g *run) awaitTurn(ctx context.Context, p booking.Plan, planned time.Time) *request.Refusal {
	turn, end := planned.Add(p.Wait), planned.Add(p.First+g.req.decodeTime()+g.lateMargin())
	return g.pauseWhile(ctx, p.Wait, func() bool {
		return g.relay.opts.Shutdown.MaySendAt(turn) && g.relay.opts.Shutdown.ServesUntil(end)
	})
}

// unsentRefusal returns a refusal if the context of what precedes the sending has ended, or if the daemon
// shuts down before engines that begin now could have served the request.
func (g *run) unsentRefusal(unsent context.Context, p booking.Plan) *request.Refusal {
	if unsent.Err() != nil {
		return g.contextRefusal(unsent)
	}
	takes := p.First - p.Wait + g.req.decodeTime() + g.lateMargin()
	if g.headSent || g.relay.opts.Shutdown.ServesUntil(time.Now().Add(takes)) {
		return nil
	}
	return leavingRefusal()
}

// cannotWait returns a refusal if the daemon shuts down before a request that still waits for a plan
// could have ended, even if all candidates prefilled its prompt together and decoded nothing else.
func (g *run) cannotWait(p booking.Plan) *request.Refusal {
	e := g.req.Service.Engine
	const alone = 1
	takes := g.lateMargin() + e.PartPrefillTime(g.req.PromptTokens, p.Engines) + e.DecodeTime(g.req.answerTokens(), alone, int64(g.req.PromptTokens))
	if g.headSent || g.relay.opts.Shutdown.ServesUntil(time.Now().Add(takes)) {
		return nil
	}
	return leavingRefusal()
}

// lateMargin returns how much longer than planned a stream may take that comes late in a shutdown: one
// that cannot end before the process does is better served by another daemon.
func (g *run) lateMargin() time.Duration {
	if !g.relay.opts.Shutdown.ComesLate(g.readAt) {
		return 0
	}
	return g.req.Route.Objective
}

// beginsTooLate reports whether the answer of a stream that came late in a shutdown would be cut if it
// began now. The caller then gets a failure, which is a complete answer.
func (g *run) beginsTooLate() bool {
	s := g.relay.opts.Shutdown
	return !g.headSent && s.ComesLate(g.readAt) && !s.RunsUntil(time.Now().Add(g.req.decodeTime()))
}
