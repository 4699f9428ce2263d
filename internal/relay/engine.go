package relay

import (
	"context"
	"errors"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/buckthorndock/buckthorndock/internal/core/booking"
	"github.com/buckthorndock/buckthorndock/internal/core/fleet"
	"github.com/buckthorndock/buckthorndock/internal/core/request"
	"github.com/buckthorndock/buckthorndock/internal/core/retry"
	"github.com/buckthorndock/buckthorndock/internal/wait"
)

// Silence after which a stream is moved to another engine. A stream that is late has lost
// what it can lose until its caller leaves, after two seconds at the least, and a move has
// its prompt read anew: so it comes as late as the other engine needs.
const (
	// firstSilence is how often the expected time to the first event may pass,
	// besides the objective, before an engine counts as silent.
	firstSilence     = 2.0
	leastFirstSilent = 1100 * time.Millisecond
	// gapSilence is the same for pauses, in gap objectives: callers leave after
	// eight.
	gapSilence     = 4.0
	leastGapSilent = 1500 * time.Millisecond
)

// Times between two tries to place a request.
const (
	placeAgain = 50 * time.Millisecond  // for which no engine has room
	yieldAgain = 100 * time.Millisecond // that is late and lets others go first
	planAgain  = 5 * time.Millisecond   // whose plan has an engine that the planner alone lists
)

// attemptID names the attempt in the book. Hosts may get the same request.
func (g *run) attemptID() string {
	return g.relay.opts.Host + "/" + g.req.ID + "/" + strconv.Itoa(g.attempt)
}

func (g *run) ask() booking.Request {
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
		Objective: g.eventLeft(),
		Gap:       r.Route.GapObjective,
		Left:      g.left(),
		Exclude:   slices.Concat(g.exclude, g.relay.opts.Upstreams().Superseded),
		Avoid:     g.avoid(),
		Barred:    g.relay.opts.Notices.barred(),
		Begun:     g.started,
	}
}

// eventLeft returns the time until the next event of a stream is late.
func (g *run) eventLeft() time.Duration {
	if g.started {
		return g.req.Route.GapObjective - time.Since(g.latest)
	}
	return g.req.Route.Objective - time.Since(g.req.Arrived)
}

// place books engines, waiting for room as long as the deadline allows.
func (g *run) place(ctx context.Context) (booking.Plan, *request.Refusal) {
	for {
		if refusal := g.behindCuts(); refusal != nil && !g.started {
			return booking.Plan{}, refusal
		}
		p := g.relay.opts.Planner.Place(ctx, g.ask())
		g.asked++
		g.planned = p
		g.plan = p.Verdict.String() + "/" + string(p.Reason)
		switch p.Verdict {
		case booking.Booked:
			return p, nil
		case booking.TooLate:
			comeBack := min(max(p.Backlog, retryAfterFailure), retryAfterMost)
			return p, request.Refuse(request.CodeDeadline, comeBack, "the deadline cannot be met at the present load")
		case booking.TooLarge:
			return p, request.Refuse(request.CodeNeverPossible, 0, "longer than all engines of the service hold")
		case booking.AtLimit:
			if !g.started { // else it waits for a daemon that tells
				return p, request.Refuse(request.CodeQueueFull, retryAfterFailure, "all engines of %s have named limits, and no daemon tells what is left of these", g.req.Service.Name)
			}
		case booking.NoEngine:
			return p, g.noneTakes("engine")
		}
		pause := placeAgain
		if p.Verdict == booking.Yield {
			pause = yieldAgain
		}
		if g.left() < 2*pause {
			return p, request.Refuse(request.CodeQueueFull, retryAfterFailure, "no engine has had room")
		}
		if !wait.For(ctx, pause) {
			return p, g.ended(ctx)
		}
	}
}

// turn books engines and waits until they are free to read. A plan of which an engine
// begins to leave in the meantime is made anew.
func (g *run) turn(ctx context.Context) (booking.Plan, *request.Refusal) {
	for {
		p, refusal := g.place(ctx)
		if refusal != nil {
			return p, refusal
		}
		planned := time.Now()
		if !wait.For(ctx, p.Wait) {
			g.relay.opts.Planner.End(g.attemptID())
			return p, g.ended(ctx)
		}
		if !missedTurn(planned, p.Wait) && g.allStay(p) {
			return p, nil
		}
		g.relay.opts.Planner.End(g.attemptID())
		if !wait.For(ctx, planAgain) {
			return p, g.ended(ctx)
		}
	}
}

// turnOver is how much later than its turn a request may be sent. One that is later has been
// held up by its daemon, which others were not: all that it held would go at once.
const turnOver = 250 * time.Millisecond

// missedTurn reports whether a wait that was begun at a time has lasted for too long.
func missedTurn(begun time.Time, wait time.Duration) bool { return time.Since(begun)-wait > turnOver }

// allStay reports whether all engines of a plan still take new work, by the list and by their
// own word. One that does not is ruled out, for the planner's list may be older than the one
// here.
func (g *run) allStay(p booking.Plan) bool {
	list := g.relay.opts.Upstreams()
	for _, part := range p.Parts {
		u, known := list.Get(part.Upstream)
		_, barred := g.relay.opts.Notices.barOf(part.Upstream)
		if !known || !u.TakesWork() || barred {
			g.relay.log.WithFields(logrus.Fields{
				"request": g.req.ID, "upstream": part.Upstream, "waited_ms": p.Wait.Milliseconds(),
				"list_age_ms": time.Since(list.At).Milliseconds(), "barred": barred,
			}).Info("plan_made_anew")
			g.exclude = append(g.exclude, part.Upstream)
			return false
		}
	}
	return true
}

// tryEngine makes one attempt on engines.
func (g *run) tryEngine(ctx context.Context) ending {
	p, refusal := g.turn(ctx)
	if refusal != nil {
		return ending{refusal: refusal}
	}
	id := g.attemptID()
	defer g.relay.opts.Planner.End(id)
	first := p.Parts[0]
	to, known := g.relay.opts.Upstreams().Get(first.Upstream)
	if !known {
		to = fleet.Upstream{ID: first.Upstream, Incarnation: first.Life, Service: g.req.Service.Name, Address: first.Address}
	}
	started, ok := g.start(to)
	if !ok {
		return apart(to)
	}
	g.sent = g.sent[:0]
	for _, part := range p.Parts {
		g.sent = append(g.sent, part.Upstream)
	}
	leases, failed := g.lease(ctx, id, p.Parts)
	defer leases.release()
	if failed != nil {
		g.relay.opts.Suspects.End(started, false)
		g.relay.failed(failed.blamed, retry.Declined) // reached or not, it gave no memory
		return *failed
	}
	g.trial.MarkSent()
	sending, read, end := leases.watch(ctx, g.relay.leaseTimes)
	defer end()
	e := g.exchange(sending, Attempt{
		Request:       g.req,
		Number:        g.attempt,
		Upstream:      to,
		Helpers:       p.Parts[1:],
		Timeout:       g.left(),
		LastEvent:     g.after,
		NewConnection: !g.req.Route.Repeatable(),
	}, g.firstLimit(p), g.gapLimit(), func() {
		read()
		g.relay.opts.Planner.FirstEvent(id)
	})
	g.finish(ctx, to, started, e)
	if e.delivered || e.gone {
		if e.delivered {
			g.relay.succeeded(first.Upstream)
		}
		return e
	}
	e.blamed = g.blame(e, p)
	e.unreached = e.end == retry.NotWritten
	if !errors.Is(e.err, errDisplaced) {
		g.relay.failed(e.blamed, e.end)
	}
	return e
}

// blame returns the engines at fault: the one that the answer names, else the one
// that was asked.
func (g *run) blame(e ending, p booking.Plan) []string {
	for _, part := range p.Parts {
		if e.at != "" && part.Address == e.at {
			return []string{part.Upstream}
		}
	}
	return []string{p.Parts[0].Upstream}
}

func (g *run) firstLimit(p booking.Plan) time.Duration {
	expected := p.First - p.Wait
	return time.Duration(firstSilence*float64(expected)) + max(g.req.Route.Objective, leastFirstSilent)
}

func (g *run) gapLimit() time.Duration {
	return max(time.Duration(gapSilence*float64(g.req.Route.GapObjective)), leastGapSilent)
}

// leaseName names the memory of a part. It must not contain what separates entries
// of a list of helpers on a wire.
func leaseName(attempt string, part int) string {
	return strings.NewReplacer("/", "-", ",", "-").Replace(attempt) + "-" + strconv.Itoa(part)
}

// lease reserves the memory that a plan spreads over engines.
func (g *run) lease(ctx context.Context, id string, parts []booking.Part) (*leases, *ending) {
	l := &leases{
		sender: g.relay.opts.Sender,
		log:    g.relay.log.WithField("request", g.req.ID),
		first:  parts[0],
		over:   g.relay.over,
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
	if failed := l.take(ctx); failed != "" {
		return l, &ending{end: retry.NotWritten, blamed: []string{failed}, err: errNoMemory}
	}
	return l, nil
}
