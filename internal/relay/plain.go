package relay

import (
	"context"
	"slices"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/core/request"
	"github.com/buckthorndock/buckthorndock/internal/core/retry"
)

// Silence after which a call that may be repeated is moved: a multiple of the
// route's objective, by which most answers of a sound server are there.
const (
	plainSilence     = 2.5
	leastPlainSilent = 150 * time.Millisecond
)

// tryPlain makes one attempt at a plain service.
func (g *run) tryPlain(ctx context.Context) ending {
	if refusal := g.behindCuts(); refusal != nil {
		return ending{refusal: refusal}
	}
	u, done, ok := g.relay.opts.Plain.Pick(g.req.Service.Name, slices.Concat(g.exclude, g.avoid()))
	if !ok {
		u, done, ok = g.relay.opts.Plain.Pick(g.req.Service.Name, nil)
	}
	if !ok {
		return ending{refusal: request.Refuse(request.CodeNoUpstream, retryAfterNone, "no server of %s is known to live", g.req.Service.Name)}
	}
	defer done()
	started, ok := g.start(u)
	if !ok {
		return apart(u)
	}
	g.sent = []string{u.ID}
	limit := max(time.Duration(plainSilence*float64(g.req.Route.Objective)), leastPlainSilent)
	e := g.exchange(ctx, Attempt{
		Request: g.req,
		Number:  g.attempt,
		To:      u,
		Left:    g.left(),
		After:   g.after,
		Fresh:   !g.req.Route.Repeatable(),
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
