package relay

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/ansel1/merry/v2"
	"github.com/sirupsen/logrus"

	"github.com/buckthorndock/buckthorndock/internal/core/booking"
	"github.com/buckthorndock/buckthorndock/internal/core/fleet"
	"github.com/buckthorndock/buckthorndock/internal/core/request"
	"github.com/buckthorndock/buckthorndock/internal/core/retry"
)

// Silence after which a stream is moved to another engine. A late stream has already missed
// its objective, but its caller stays for at least two seconds, and a move makes another
// engine prefill the prompt again: so a stream is moved as late as that engine's prefill
// time permits.
const (
	// firstSilenceFactor times the expected time to the first event, plus the objective, is
	// how long an engine may be silent before the first event.
	firstSilenceFactor = 2.0
	minFirstSilence    = 1100 * time.Millisecond
	// gapSilenceFactor is the same between events, in gap objectives: callers leave after
	// eight.
	gapSilenceFactor = 4.0
	minGapSilence    = 1500 * time.Millisecond
)

// Delays between two attempts to place a request.
const (
	placeRetryDelay = 50 * time.Millisecond  // no engine has room
	yieldRetryDelay = 100 * time.Millisecond // the request is late and yields to others
	replanDelay     = 5 * time.Millisecond   // an engine of the plan takes no new work or is not listed here, or the turn was missed
)

// attemptID names the attempt in the book. It contains the host, because several hosts may
// get the same request.
func (g *run) attemptID() string {
	return g.relay.opts.Host + "/" + g.req.ID + "/" + strconv.Itoa(g.attempt)
}

// customerWeight is the weight of all customers: the settings have none.
const customerWeight = 1

// nextBookingRequest returns the request to the planner for the next attempt.
func (g *run) nextBookingRequest() booking.Request {
	r := g.req
	expected := r.MaxTokens
	if usual := r.Service.Engine.UsualAnswer; usual > 0 {
		expected = min(expected, usual)
	}
	return booking.Request{
		ID:        g.attemptID(),
		Host:      g.relay.opts.Host,
		Domain:    g.relay.opts.Domain,
		Service:   r.Service.Name,
		Prompt:    r.PromptTokens,
		Answer:    r.MaxTokens,
		Expected:  expected,
		Objective: g.timeToNextEvent(),
		Gap:       r.Route.GapObjective,
		Left:      g.timeLeft(),
		Patience:  g.patienceLeft(),
		Exclude:   slices.Concat(g.exclude, g.relay.opts.Upstreams().Superseded, g.suspectConflicts()),
		Avoid:     g.toAvoid(),
		Barred:    g.relay.opts.Notices.barred(),
		Begun:     g.headSent,
		Customer:  r.Customer,
		Rank:      r.Priority,
		Weight:    customerWeight,
	}
}

// timeToNextEvent returns the time left until the stream's next event is late.
func (g *run) timeToNextEvent() time.Duration {
	if g.headSent {
		return g.req.Route.GapObjective - time.Since(g.lastEventAt)
	}
	return g.req.Route.Objective - time.Since(g.req.Arrived)
}

// Callers of a stream give up after the longest of minPatience, objectivePatience objectives and
// gapPatience gap objectives without an event.
const (
	minPatience       = 2 * time.Second
	objectivePatience = 4
	gapPatience       = 8
)

// patienceLeft returns the time until the caller of a stream gives up if no event comes; zero if
// the request has no objective, so that this is not known.
func (g *run) patienceLeft() time.Duration {
	r := g.req.Route
	if g.headSent || r.Objective <= 0 {
		return 0
	}
	patience := max(minPatience, objectivePatience*r.Objective, gapPatience*r.GapObjective)
	return max(patience-time.Since(g.req.Arrived), time.Nanosecond) // zero: not known
}

// place books engines. It waits for room as long as the deadline allows.
func (g *run) place(ctx context.Context) (booking.Plan, *request.Refusal) {
	g.stage.enter(stagePlan)
	waiting := g.relay.tally.waiter(g.req)
	defer waiting.stop()
	for {
		if refusal := g.cutOffRefusal(); refusal != nil && !g.headSent {
			return booking.Plan{}, refusal
		}
		p := g.relay.opts.Planner.Place(ctx, g.nextBookingRequest())
		g.plansAsked++
		g.lastPlan = p
		g.verdict = p.Verdict.String() + "/" + string(p.Reason)
		g.noteOutranked(p)
		switch p.Verdict {
		case booking.Booked:
			return p, nil
		case booking.TooLate:
			if p.Reason == booking.ReasonOutranked {
				return p, request.Refuse(request.CodeQueueFull, g.retryAfterScarcity(), "all free slots of %s are kept for requests that go before this one", g.req.Service.Name)
			}
			if p.Reason == booking.ReasonNoSlot {
				return p, request.Refuse(request.CodeQueueFull, g.retryAfterScarcity(), "all free slots of %s are kept for requests that can be in time", g.req.Service.Name)
			}
			retryAfter := min(max(p.Backlog, retryAfterFailure), maxRetryAfter)
			return p, request.Refuse(request.CodeDeadline, retryAfter, "the deadline cannot be met at the present load")
		case booking.TooLarge:
			return p, request.Refuse(request.CodeNeverPossible, 0, "the request exceeds the memory of all engines of the service")
		case booking.AtLimit:
			if !g.headSent { // a stream that has begun waits for a daemon that knows the limits
				return p, request.Refuse(request.CodeQueueFull, retryAfterFailure, "all engines of %s have reported limits, and no daemon knows what is left of these", g.req.Service.Name)
			}
		case booking.NoEngine:
			return p, g.noUpstreamRefusal("engine")
		}
		pause := placeRetryDelay
		if p.Verdict == booking.Yield {
			pause = yieldRetryDelay
		}
		if g.timeLeft() < 2*pause {
			return p, request.Refuse(request.CodeQueueFull, retryAfterFailure, "no engine has had room")
		}
		if refusal := g.cannotWait(p); refusal != nil {
			return p, refusal
		}
		waiting.start()
		if refusal := g.pause(ctx, pause); refusal != nil {
			return p, refusal
		}
	}
}

// outrankedMetric counts the requests that a plan has made wait, or refused, because others go before
// them.
func outrankedMetric(service string, rank int) string {
	return fmt.Sprintf(`buckthorndock_outranked_total{service=%q,rank="%d"}`, service, rank)
}

// noteOutranked counts and logs the first plan of the request that makes it wait, or refuses it,
// because others go before it.
func (g *run) noteOutranked(p booking.Plan) {
	if p.Reason != booking.ReasonOutranked || g.outranked {
		return
	}
	g.outranked = true
	metrics.GetOrCreateCounter(outrankedMetric(g.req.Service.Name, g.req.Priority)).Inc()
	g.relay.log.WithFields(logrus.Fields{
		"request": g.req.ID, "service": g.req.Service.Name, "customer": g.req.Customer, "rank": g.req.Priority,
		"verdict": p.Verdict.String(), "ahead": p.Ahead, "left_ms": g.timeLeft().Milliseconds(),
	}).Info("request_outranked")
}

// placeAndWait books engines and waits until they are free to prefill the prompt. It plans
// again if an engine of the plan stops taking work in the meantime.
func (g *run) placeAndWait(ctx context.Context) (booking.Plan, *request.Refusal) {
	for {
		p, refusal := g.place(ctx)
		if refusal != nil {
			return p, refusal
		}
		g.stage.enter(stageTurn)
		planned := time.Now()
		if refusal := g.awaitTurn(ctx, p, planned); refusal != nil {
			g.relay.opts.Planner.End(g.attemptID())
			return p, refusal
		}
		if !missedTurn(planned, p.Wait) && g.allTakeWork(p) {
			return p, nil
		}
		g.relay.opts.Planner.End(g.attemptID())
		if refusal := g.pause(ctx, replanDelay); refusal != nil {
			return p, refusal
		}
	}
}

// errPlanOutdated ends an attempt before it is sent: an engine of its plan takes no new work any more.
var errPlanOutdated = merry.Sentinel("an engine of the plan takes no new work any more")

// maxTurnDelay is how much later than its turn a request may be sent. A later one was held
// up because this daemon stalled, and all requests that waited with it would be sent at
// once.
const maxTurnDelay = 250 * time.Millisecond

// missedTurn reports whether a wait that began at a given time has lasted too long.
func missedTurn(begun time.Time, wait time.Duration) bool {
	return time.Since(begun)-wait > maxTurnDelay
}

// allTakeWork reports whether all engines of a plan still take new work, according to the
// list and to their own notices. It excludes the first one that does not, because the
// planner's list may be older than the one here.
func (g *run) allTakeWork(p booking.Plan) bool {
	list := g.relay.opts.Upstreams()
	for _, part := range p.Parts {
		u, known := list.Get(part.Upstream)
		_, barred := g.relay.opts.Notices.barOf(part.Upstream)
		if !known || !u.TakesWork() || barred {
			g.relay.log.WithFields(logrus.Fields{
				"request": g.req.ID, "upstream": part.Upstream, "waited_ms": p.Wait.Milliseconds(),
				"list_age_ms": time.Since(list.At).Milliseconds(), "barred": barred,
			}).Info("plan_remade")
			g.exclude = append(g.exclude, part.Upstream)
			return false
		}
	}
	return true
}

// tryEngine makes one attempt on engines. unsent ends when it is not sent any more.
func (g *run) tryEngine(ctx, unsent context.Context) attemptResult {
	p, refusal := g.placeAndWait(unsent)
	if refusal != nil {
		return attemptResult{refusal: refusal}
	}
	id := g.attemptID()
	defer g.relay.opts.Planner.End(id)
	first := p.Parts[0]
	to, known := g.relay.opts.Upstreams().Get(first.Upstream)
	if !known {
		to = fleet.Upstream{ID: first.Upstream, Incarnation: first.Life, Service: g.req.Service.Name, Address: first.Address}
	}
	started, ok := g.noteStart(to)
	if !ok {
		return suspectConflict(to)
	}
	g.sentTo = g.sentTo[:0]
	for _, part := range p.Parts {
		g.sentTo = append(g.sentTo, part.Upstream)
	}
	g.stage.enter(stageLease)
	leases, failed := g.reserveMemory(unsent, id, p.Parts)
	defer leases.release()
	refusal = g.unsentRefusal(unsent, p)
	if refusal != nil {
		g.relay.opts.Suspects.End(started, false)
		return attemptResult{refusal: refusal}
	}
	if len(leases.held) > 0 && !g.allTakeWork(p) { // reserving takes time, too
		g.relay.opts.Suspects.End(started, false)
		return attemptResult{end: retry.NotWritten, err: errPlanOutdated}
	}
	if failed != nil {
		g.relay.opts.Suspects.End(started, false)
		g.relay.noteFailures(failed.blamed, retry.Declined) // whether reached or not, it granted no memory
		return *failed
	}
	g.trial.MarkSent()
	g.times = g.newStreamTimes(p)
	sending, stopCheck, end := leases.maintain(ctx, g.relay.leaseTimes)
	defer end()
	e := g.exchange(sending, Attempt{
		Request:       g.req,
		Number:        g.attempt,
		Upstream:      to,
		Helpers:       p.Parts[1:],
		Timeout:       g.timeLeft(),
		LastEvent:     cmp.Or(g.events.Last(), g.req.LastEvent),
		NewConnection: !g.req.Route.Repeatable(),
	}, g.firstEventTimeout(p), g.gapTimeout(), func() {
		stopCheck()
		g.relay.opts.Planner.FirstEvent(id)
	})
	g.noteEnd(ctx, to, started, e)
	if e.delivered || e.callerGone {
		if e.delivered {
			g.relay.noteSuccess(first.Upstream)
			g.reportEngineSpeed(first.Upstream)
		}
		return e
	}
	e.blamed = g.enginesAtFault(e, p)
	e.unreached = e.end == retry.NotWritten
	if !errors.Is(e.err, errDisplaced) && !e.givenUp() {
		g.relay.noteFailures(e.blamed, e.end)
	}
	return e
}

// enginesAtFault returns the IDs of the engines at fault: the one that the answer names, else the one
// that was asked.
func (g *run) enginesAtFault(e attemptResult, p booking.Plan) []string {
	for _, part := range p.Parts {
		if e.faultyAddress != "" && part.Address == e.faultyAddress {
			return []string{part.Upstream}
		}
	}
	return []string{p.Parts[0].Upstream}
}

// firstEventTimeout returns how long the engine may be silent before the first event.
func (g *run) firstEventTimeout(p booking.Plan) time.Duration {
	expected := p.First - p.Wait
	return time.Duration(firstSilenceFactor*float64(expected)) + max(g.req.Route.Objective, minFirstSilence)
}

// gapTimeout returns how long the engine may be silent between two events.
func (g *run) gapTimeout() time.Duration {
	return max(time.Duration(gapSilenceFactor*float64(g.req.Route.GapObjective)), minGapSilence)
}

// leaseName names the lease of a part. It must not contain the characters that separate the
// entries of a list of helpers on the wire.
func leaseName(attempt string, part int) string {
	return strings.NewReplacer("/", "-", ",", "-").Replace(attempt) + "-" + strconv.Itoa(part)
}

// reserveMemory reserves the memory that a plan needs on its engines. The result is nil if
// all granted it.
func (g *run) reserveMemory(ctx context.Context, id string, parts []booking.Part) (*leases, *attemptResult) {
	l := &leases{
		sender:           g.relay.opts.Sender,
		log:              g.relay.log.WithField("request", g.req.ID),
		runner:           parts[0],
		incarnationEnded: g.relay.incarnationEnded,
	}
	for i := range parts {
		if parts[i].Reserve == 0 {
			continue
		}
		parts[i].Lease = leaseName(id, i)
		l.held = append(l.held, parts[i])
	}
	if len(l.held) == 0 {
		return l, nil
	}
	if failed := l.reserveAll(ctx); failed != "" {
		return l, &attemptResult{end: retry.NotWritten, blamed: []string{failed}, err: errNoMemory}
	}
	return l, nil
}
