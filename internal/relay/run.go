package relay

import (
	"context"
	"errors"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/sirupsen/logrus"

	"github.com/buckthorndock/buckthorndock/internal/core/booking"
	"github.com/buckthorndock/buckthorndock/internal/core/quarantine"
	"github.com/buckthorndock/buckthorndock/internal/core/request"
	"github.com/buckthorndock/buckthorndock/internal/core/retry"
	"github.com/buckthorndock/buckthorndock/internal/core/route"
	"github.com/buckthorndock/buckthorndock/internal/core/stream"
	"github.com/buckthorndock/buckthorndock/internal/inbound"
	"github.com/buckthorndock/buckthorndock/internal/shutdown"
	"github.com/buckthorndock/buckthorndock/internal/suspects"
)

// run is the state of one request through its attempts. It is owned by one goroutine.
type run struct {
	relay *Relay
	req   *Request
	sink  Sink

	readAt      time.Time   // when the request had been read, with its body
	answerBegun atomic.Bool // a part of an answer that goes on has been passed on

	attempt          int
	repeatTaken      bool     // a move has taken the next repeat from the budget; guarded by the mutex of the attempt's silenceTimer
	runs             int      // attempts that may have run
	mayHaveRun       bool     // any attempt may have run
	exclude          []string // IDs of upstreams that were tried
	fullServers      []string // IDs of those upstreams that had no room for it
	unreachedDomains []string // failure domains in which a connection could not be made
	sentTo           []string // IDs of the upstreams of the last attempt, for the log
	path             string   // state of the path to the upstream of the last attempt, for the log

	trial   *suspects.Trial // under which it is sent next; nil if none is needed
	started quarantine.Run  // of the last attempt
	begun   bool            // the answer of the last attempt has begun

	conflicted bool // an attempt met another suspect

	events      *stream.Sequence // of the answer
	weights     weights          // of the present attempt and of what the caller has
	unresumable atomic.Bool      // the last event passed on has no ID, so that no other run can go on after it
	headSent    bool             // the head of the answer has been passed on
	headFraming Framing          // of the answer whose head that was
	firstAt     time.Time        // when the first part of an answer arrived
	plansAsked  int              // plans requested, including those with the verdict to wait
	verdict     string           // verdict and reason of the last plan, for the log
	lastPlan    booking.Plan
	outranked   bool          // a plan has made it wait for others that go before it
	lastEventAt time.Time     // when the last event passed on arrived
	longestGap  time.Duration // between two events
	times       *streamTimes  // of the present attempt, nil if it gives no sample of its engine's speed
	status      int           // of the last answer
	body        bodyLog       // of the last attempt
	stage       stageTracker
}

// attemptResult is how an attempt ended.
type attemptResult struct {
	delivered     bool
	callerGone    bool
	refusal       *request.Refusal
	end           retry.End // unless one of the fields above is set
	blamed        []string  // IDs of the upstreams at fault
	faultyAddress string    // of another upstream that is at fault
	unreached     bool      // no connection could be made
	full          bool      // the upstream had no room for the request
	err           error
	heldAnswer    *heldAnswer // the upstream's own error answer, complete
}

// givenUp reports whether this daemon ended the attempt because it shuts down. That says nothing
// about the upstream.
func (e *attemptResult) givenUp() bool { return errors.Is(e.err, shutdown.ErrLeaving) }

// heldAnswer is a complete answer that is held back while another attempt may do better.
type heldAnswer struct {
	head   Head
	body   []byte
	memory *inbound.Share // of the body
}

// release returns the memory of the answer. The answer may be nil.
func (h *heldAnswer) release() {
	if h != nil {
		h.memory.Release()
	}
}

// errSilent cancels an attempt whose upstream has been silent for too long.
var errSilent = merry.Sentinel("the upstream is silent")

// loop makes attempts until one is delivered, the request is refused, or no repeat is
// allowed.
func (g *run) loop(ctx context.Context) *request.Refusal {
	defer func() { g.trial.End(quarantine.TrialNotSent) }()
	for {
		g.attempt++
		e := g.try(ctx)
		switch {
		case e.delivered:
			return nil
		case e.callerGone:
			return g.callerGoneRefusal()
		case e.refusal != nil:
			return g.correctOutcome(e.refusal)
		}
		refusal, again := g.next(ctx, e)
		if again {
			e.heldAnswer.release()
			continue
		}
		if e.heldAnswer != nil && !g.headSent {
			refusal = g.passHeldAnswer(e.heldAnswer)
		}
		e.heldAnswer.release()
		return refusal
	}
}

// try makes one attempt. What it waits for before the attempt is sent ends when a daemon that leaves
// sends nothing any more.
func (g *run) try(ctx context.Context) attemptResult {
	unsent, stop := g.whileSending(ctx)
	defer stop()
	g.stage.enter(stageTrial)
	if refusal := g.admitTrial(unsent); refusal != nil {
		if unsent.Err() != nil {
			refusal = g.contextRefusal(unsent)
		}
		return attemptResult{refusal: refusal}
	}
	if g.req.Service.Engine != nil {
		return g.tryEngine(ctx, unsent)
	}
	return g.tryPlain(ctx, unsent)
}

// next decides what follows a failed attempt.
func (g *run) next(ctx context.Context, e attemptResult) (refusal *request.Refusal, again bool) {
	earlier := g.mayHaveRun
	if e.end.MayHaveRun() {
		g.runs++
		g.mayHaveRun = true
	}
	if ctx.Err() != nil {
		return g.correctOutcome(g.contextRefusal(ctx)), false
	}
	if g.leavesUnsent() || e.givenUp() {
		return g.correctOutcome(leavingRefusal()), false
	}
	decision := g.relay.retryDecision(g.req.Service.Name, retry.Attempt{
		Number:         g.attempt,
		End:            e.end,
		EarlierWritten: earlier,
		Runs:           g.runs,
		MaxRuns:        g.req.Route.MaxAttempts,
		BudgetTaken:    g.repeatTaken,
	}, g.retryRequest())
	g.repeatTaken = false
	g.logAttempt(e, decision)
	g.exclude = append(g.exclude, e.blamed...)
	if e.unreached {
		g.noteUnreached(e.blamed[0])
	}
	return decision.Refusal, decision.Action == retry.RetryElsewhere
}

// mayRunAgain reports whether another run may follow. It is safe for concurrent use.
func (g *run) mayRunAgain() bool { return g.req.Route.Repeatable() && !g.unresumable.Load() }

// retryRequest describes the request to the retry policy. The part of a plain answer that
// has been passed on cannot be taken back, so that request must not be repeated.
func (g *run) retryRequest() *request.Request {
	repeatable := g.mayRunAgain()
	if g.headSent && g.req.Route.Kind != route.Stream {
		repeatable = false
	}
	return &request.Request{ID: g.req.ID, Repeatable: repeatable, Arrived: g.req.Arrived, Deadline: g.req.Deadline}
}

// correctOutcome replaces the outcome "not run" of a refusal if an earlier attempt may have
// run.
func (g *run) correctOutcome(r *request.Refusal) *request.Refusal {
	if !g.mayHaveRun || r.Outcome != request.NotRun {
		return r
	}
	changed := *r
	changed.Outcome = request.Failed
	if !g.req.Route.Repeatable() {
		changed.Outcome = request.Unknown
	}
	return &changed
}

func (g *run) callerGoneRefusal() *request.Refusal {
	return &request.Refusal{Outcome: request.Failed, Code: request.CodeCallerGone, Message: "the caller has gone"}
}

// contextRefusal returns the refusal for a context that has ended.
func (g *run) contextRefusal(ctx context.Context) *request.Refusal {
	switch {
	case errors.Is(context.Cause(ctx), shutdown.ErrLeaving):
		return leavingRefusal()
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return request.Refuse(request.CodeDeadline, retryAfterFailure, "no answer within the deadline")
	}
	return g.callerGoneRefusal()
}

// passHeldAnswer passes on an upstream's own error answer.
func (g *run) passHeldAnswer(k *heldAnswer) *request.Refusal {
	if k.head.Framing != FramedByConnection {
		k.head.Length = int64(len(k.body))
	}
	if err := g.sink.Head(k.head); err != nil {
		return g.callerGoneRefusal()
	}
	if err := g.sink.Body(k.body, true); err != nil {
		return g.callerGoneRefusal()
	}
	return nil
}

// timeLeft returns the time until the deadline.
func (g *run) timeLeft() time.Duration { return time.Until(g.req.Deadline) }

// toAvoid returns the IDs of the upstreams that are used only as a last resort: those that
// the relay avoids, and those in failure domains in which this request could not connect. A
// network cut affects all upstreams of a domain.
func (g *run) toAvoid() []string {
	return append(g.relay.avoided(), g.unreached()...)
}

// unreached returns the IDs of the upstreams in failure domains in which this request could not
// connect.
func (g *run) unreached() []string {
	if len(g.unreachedDomains) == 0 {
		return nil
	}
	var ids []string
	for _, u := range g.relay.opts.Upstreams().Upstreams {
		if slices.Contains(g.unreachedDomains, u.Domain) {
			ids = append(ids, u.ID)
		}
	}
	return ids
}

// noteUnreached records that no connection to an upstream could be made.
func (g *run) noteUnreached(id string) {
	if u, known := g.relay.opts.Upstreams().Get(id); known {
		g.unreachedDomains = append(g.unreachedDomains, u.Domain)
		g.relay.opts.Paths.Suspect(u.Domain)
	}
}

func (g *run) logAttempt(e attemptResult, d retry.Decision) {
	fields := logrus.Fields{
		"request":   g.req.ID,
		"attempt":   g.attempt,
		"upstreams": g.sentTo,
		"path":      g.path,
		"blamed":    e.blamed,
		"work":      strconv.FormatUint(g.req.Work.Fingerprint, 16),
		"end":       e.end.String(),
		"action":    d.Action.String(),
		"after":     g.events.Last(),
		"left_ms":   g.timeLeft().Milliseconds(),
	}
	g.body.addTo(fields)
	entry := g.relay.log.WithFields(fields)
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
		"rank":     g.req.Priority,
		"version":  g.req.Version,
		"prompt":   g.req.PromptTokens,
		"attempts": g.attempt,
		"sent":     g.sentTo,
		"path":     g.path,
		"plan":     g.verdict,
		"stage":    string(g.stage.now()),
		"proto":    g.req.Proto,
		"took_ms":  now.Sub(g.req.Arrived).Milliseconds(),
		"outcome":  string(request.Complete),
	}
	if !g.firstAt.IsZero() {
		fields["first_ms"] = g.firstAt.Sub(g.req.Arrived).Milliseconds()
		fields["pause_ms"] = g.longestGap.Milliseconds()
	}
	g.body.addTo(fields)
	if last := g.events.Last(); last != "" {
		fields["last"] = last
	}
	if g.plansAsked > 0 { // also for refused requests: these are the reasons
		fields["asked"] = g.plansAsked
		fields["engines"] = g.lastPlan.Engines
		fields["expected_ms"] = g.lastPlan.First.Milliseconds()
		fields["waited_ms"] = g.lastPlan.Wait.Milliseconds()
		fields["backlog_ms"] = g.lastPlan.Backlog.Milliseconds()
	}
	if refusal != nil {
		fields["outcome"] = string(refusal.Outcome)
		fields["code"] = string(refusal.Code)
		fields["why"] = refusal.Message
		fields["cut"] = g.headSent
		fields["deadline_ms"] = g.req.Deadline.Sub(g.req.Arrived).Milliseconds()
	}
	g.relay.log.WithFields(fields).Info("request_ended")
	observe(g.req, g.firstAt, now, refusal)
	g.relay.tally.recordRefusal(g.req, refusal, now)
}
