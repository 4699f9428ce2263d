package relay

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/sirupsen/logrus"

	"github.com/buckthorndock/buckthorndock/internal/core/booking"
	"github.com/buckthorndock/buckthorndock/internal/core/quarantine"
	"github.com/buckthorndock/buckthorndock/internal/core/request"
	"github.com/buckthorndock/buckthorndock/internal/core/retry"
	"github.com/buckthorndock/buckthorndock/internal/core/route"
	"github.com/buckthorndock/buckthorndock/internal/suspects"
)

// run is one request on its way through its attempts. One goroutine owns it.
type run struct {
	relay *Relay
	req   *Request
	sink  Sink

	attempt int
	paid    bool     // a move has taken the next repeat from the budget; guarded by the attempt's silence
	runs    int      // attempts that may have run
	wrote   bool     // some attempt may have run
	exclude []string // upstreams that were tried
	missed  []string // failure domains in which no connection could be made
	sent    []string // of the last attempt, for the log

	trial *suspects.Trial // under which it is sent next; nil: none is needed

	after   string // id of the last event passed on
	started bool   // the head has been passed on
	first   time.Time
	asked   int    // plans asked for, those that told it to wait among them
	plan    string // how the last attempt was placed, for the log
	planned booking.Plan
	latest  time.Time     // of the last event passed on
	pause   time.Duration // the longest between two events
}

// ending is how an attempt ended.
type ending struct {
	delivered bool
	gone      bool // the caller has left
	refusal   *request.Refusal
	end       retry.End // unless one of the others is set
	blamed    []string  // IDs of the upstreams at fault
	at        string    // address of another upstream that is at fault
	unreached bool      // no connection to it could be made
	err       error
	kept      *kept // the upstream's own failure, whole
}

// kept is a whole answer that is held back while another attempt may do better.
type kept struct {
	head Head
	body []byte
}

// errSilent cancels an attempt whose upstream has been silent for too long.
var errSilent = merry.Sentinel("the upstream is silent")

func (g *run) loop(ctx context.Context) *request.Refusal {
	defer func() { g.trial.End(quarantine.TrialNotSent) }()
	for {
		g.attempt++
		e := g.try(ctx)
		switch {
		case e.delivered:
			return nil
		case e.gone:
			return g.goneRefusal()
		case e.refusal != nil:
			return g.honest(e.refusal)
		}
		refusal, again := g.next(ctx, e)
		if again {
			continue
		}
		if e.kept != nil && !g.started {
			return g.passKept(e.kept)
		}
		return refusal
	}
}

func (g *run) try(ctx context.Context) ending {
	if refusal := g.underTrial(ctx); refusal != nil {
		return ending{refusal: refusal}
	}
	if g.req.Service.Engine != nil {
		return g.tryEngine(ctx)
	}
	return g.tryPlain(ctx)
}

// next decides what follows a failed attempt.
func (g *run) next(ctx context.Context, e ending) (refusal *request.Refusal, again bool) {
	earlier := g.wrote
	if e.end.MayHaveRun() {
		g.runs++
		g.wrote = true
	}
	if ctx.Err() != nil {
		return g.honest(g.ended(ctx)), false
	}
	decision := g.relay.next(g.req.Service.Name, retry.Attempt{
		Number:         g.attempt,
		End:            e.end,
		EarlierWritten: earlier,
		Runs:           g.runs,
		MaxRuns:        g.req.Route.MaxAttempts,
		BudgetTaken:    g.paid,
	}, g.coreRequest())
	g.paid = false
	g.logAttempt(e, decision)
	g.exclude = append(g.exclude, e.blamed...)
	if e.unreached {
		g.miss(e.blamed[0])
	}
	return decision.Refusal, decision.Action == retry.RetryElsewhere
}

// coreRequest shows the request to the retry policy. What has been passed on of a
// plain answer cannot be taken back, so it may not be repeated.
func (g *run) coreRequest() *request.Request {
	repeatable := g.req.Route.Repeatable()
	if g.started && g.req.Route.Kind != route.Stream {
		repeatable = false
	}
	return &request.Request{ID: g.req.ID, Repeatable: repeatable, Arrived: g.req.Arrived, Deadline: g.req.Deadline}
}

// honest corrects a refusal's outcome: what an earlier attempt sent may have run.
func (g *run) honest(r *request.Refusal) *request.Refusal {
	if !g.wrote || r.Outcome != request.NotRun {
		return r
	}
	changed := *r
	changed.Outcome = request.Failed
	if !g.req.Route.Repeatable() {
		changed.Outcome = request.Unknown
	}
	return &changed
}

func (g *run) goneRefusal() *request.Refusal {
	return &request.Refusal{Outcome: request.Failed, Code: request.CodeCallerGone, Message: "the caller has gone"}
}

// ended says why the context has ended.
func (g *run) ended(ctx context.Context) *request.Refusal {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return request.Refuse(request.CodeDeadline, retryAfterFailure, "no answer within the deadline")
	}
	return g.goneRefusal()
}

// passKept passes an upstream's own failure on.
func (g *run) passKept(k *kept) *request.Refusal {
	k.head.Length = int64(len(k.body))
	if err := g.sink.Head(k.head); err != nil {
		return g.goneRefusal()
	}
	if err := g.sink.Body(k.body, true); err != nil {
		return g.goneRefusal()
	}
	return nil
}

// left returns the time until the deadline.
func (g *run) left() time.Duration { return time.Until(g.req.Deadline) }

// avoid returns the upstreams that are taken only when no other is left: those that
// failed lately, and those of domains in which this request has missed one: when the way
// there is cut, it is cut to all.
func (g *run) avoid() []string {
	ids := g.relay.avoided()
	if len(g.missed) == 0 {
		return ids
	}
	for _, u := range g.relay.opts.Upstreams().Upstreams {
		if slices.Contains(g.missed, u.Domain) {
			ids = append(ids, u.ID)
		}
	}
	return ids
}

// miss notes that no connection to an upstream could be made.
func (g *run) miss(id string) {
	if u, known := g.relay.opts.Upstreams().Get(id); known {
		g.missed = append(g.missed, u.Domain)
		g.relay.SuspectDomain(u.Domain)
	}
}

func (g *run) logAttempt(e ending, d retry.Decision) {
	entry := g.relay.log.WithFields(logrus.Fields{
		"request":   g.req.ID,
		"attempt":   g.attempt,
		"upstreams": g.sent,
		"blamed":    e.blamed,
		"end":       e.end.String(),
		"action":    d.Action.String(),
		"after":     g.after,
		"left_ms":   g.left().Milliseconds(),
	})
	if e.err != nil {
		entry = entry.WithError(e.err)
	}
	entry.Info("attempt_failed")
}

func (g *run) logEnd(refusal *request.Refusal) {
	now := time.Now()
	fields := logrus.Fields{
		"request":  g.req.ID,
		"route":    g.req.Route.Name,
		"service":  g.req.Service.Name,
		"customer": g.req.Customer,
		"version":  g.req.Version,
		"prompt":   g.req.PromptTokens,
		"attempts": g.attempt,
		"sent":     g.sent,
		"plan":     g.plan,
		"took_ms":  now.Sub(g.req.Arrived).Milliseconds(),
		"outcome":  string(request.Complete),
	}
	if !g.first.IsZero() {
		fields["first_ms"] = g.first.Sub(g.req.Arrived).Milliseconds()
		fields["pause_ms"] = g.pause.Milliseconds()
	}
	if g.asked > 0 { // also where it was refused: these are the reasons
		fields["asked"] = g.asked
		fields["engines"] = g.planned.Engines
		fields["expected_ms"] = g.planned.First.Milliseconds()
		fields["waited_ms"] = g.planned.Wait.Milliseconds()
		fields["backlog_ms"] = g.planned.Backlog.Milliseconds()
	}
	if refusal != nil {
		fields["outcome"] = string(refusal.Outcome)
		fields["code"] = string(refusal.Code)
		fields["why"] = refusal.Message
		fields["cut"] = g.started
	}
	g.relay.log.WithFields(fields).Info("request_ended")
	observe(g.req, g.first, now, refusal)
}
