package relay

import (
	"net/http"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/core/booking"
	"github.com/buckthorndock/buckthorndock/internal/core/fleet"
	"github.com/buckthorndock/buckthorndock/internal/core/route"
	"github.com/buckthorndock/buckthorndock/internal/core/speed"
)

// slowCallerWrite is the time to pass an event on from which the caller counts as slow: the events
// that follow may have waited for it.
const slowCallerWrite = 10 * time.Millisecond

// streamTimes collects the times of an attempt at an engine. Its methods do nothing on nil.
type streamTimes struct {
	stream     *speed.Stream
	sent       time.Time
	latest     time.Time // arrival of the latest event
	slowCaller bool      // the next event may have waited for the caller
}

// newStreamTimes returns the collector of the times of an attempt that is about to be sent, nil if
// its times cannot be compared with the engine's figures or if the stream was at another upstream.
func (g *run) newStreamTimes(p booking.Plan) *streamTimes {
	if g.attempt > 1 || g.req.Route.Kind != route.Stream || p.Figured.First <= 0 {
		return nil
	}
	return &streamTimes{stream: speed.NewStream(p.Figured.First, p.Figured.Pass), sent: time.Now()}
}

// event records the arrival of an event.
func (t *streamTimes) event(now time.Time) {
	switch {
	case t == nil:
		return
	case t.latest.IsZero():
		t.stream.First(now.Sub(t.sent))
	case !t.slowCaller:
		t.stream.Pause(now.Sub(t.latest))
	}
	t.latest, t.slowCaller = now, false
}

// passedOn records that the latest event has been passed on to the caller.
func (t *streamTimes) passedOn(now time.Time) {
	if t != nil {
		t.slowCaller = now.Sub(t.latest) > slowCallerWrite
	}
}

// reportEngineSpeed reports the sample of a stream that was delivered whole by its first engine.
func (g *run) reportEngineSpeed(engine string) {
	if g.times == nil {
		return
	}
	if expected, observed, ok := g.times.stream.Times(); ok {
		g.relay.opts.Planner.ObserveSpeed(engine, expected, observed)
	}
}

// reportServerSpeed reports the time of an answer of a plain service that was delivered whole by
// its first server. Answers other than successful ones are left out: a server that fails calls
// quickly is not fast.
func (g *run) reportServerSpeed(u fleet.Upstream, sent time.Time, e attemptResult) {
	successful := g.status >= http.StatusOK && g.status < http.StatusMultipleChoices
	if !e.delivered || g.attempt > 1 || !successful || g.req.Route.Kind == route.Stream || g.firstAt.IsZero() {
		return
	}
	g.relay.opts.Balancer.ObserveSpeed(u, g.req.Route.Objective, g.firstAt.Sub(sent))
}
