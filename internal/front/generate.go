package front

import (
	"context"
	"errors"
	"strings"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/core/ledger"
	"github.com/buckthorndock/buckthorndock/internal/core/placement"
	"github.com/buckthorndock/buckthorndock/internal/core/quarantine"
	"github.com/buckthorndock/buckthorndock/internal/core/request"
	"github.com/buckthorndock/buckthorndock/internal/core/retry"
	"github.com/buckthorndock/buckthorndock/internal/core/stream"
	"github.com/buckthorndock/buckthorndock/internal/deaths"
	"github.com/buckthorndock/buckthorndock/internal/shutdown"
	"github.com/buckthorndock/buckthorndock/internal/suspects"
	"github.com/buckthorndock/buckthorndock/internal/upstream"
)

// generation is the state of one generation request over its attempts. It is owned by
// one goroutine.
type generation struct {
	s   *Server
	job *job
	asm *stream.Assembler

	attempt        int // number of the current attempt, from 1
	resumes        int // of the current attempt's stream, since its last token
	reservations   int // reservation names used so far
	earlierWritten bool
	exclude        []string
	faulty         []string        // upstreams at fault for the end of the last attempt
	firstTokenAt   time.Time       // zero before the first token
	text           strings.Builder // answer so far
	trial          *suspects.Trial // under which the next attempt runs; nil when none is needed
}

// generate runs a generation, with retries. It returns nil when the complete answer
// was delivered.
func (s *Server) generate(ctx context.Context, j *job) *request.Refusal {
	g := &generation{
		s:       s,
		job:     j,
		asm:     stream.New(stream.Options{RequestID: j.req.ID, MaxTokens: j.req.MaxTokens, FirstIndex: j.deliveredTokens}),
		attempt: 1,
	}
	g.text.WriteString(j.relayedText.String())
	defer func() { g.trial.End(quarantine.TrialNotSent) }()
	for {
		target, refusal := g.placeWhileServable(ctx)
		if refusal != nil {
			return refusal
		}
		refusal, again := g.runAttempt(ctx, target)
		if !again {
			return refusal
		}
	}
}

// placeWhileServable is place for a request that the daemon, if it shuts down, can still run to its end.
// One of whose answer a part was delivered cannot be refused any more: it is placed until the end.
func (g *generation) placeWhileServable(ctx context.Context) (*target, *request.Refusal) {
	if g.job.deliveredTokens > 0 {
		return g.place(ctx)
	}
	unsent, stop := g.s.opts.Shutdown.WhileServable(ctx, g.s.serviceTime(g.job))
	defer stop()
	return g.place(unsent)
}

// runAttempt runs one attempt on its target, resuming the stream as often as the retry
// policy allows. again is true when another attempt must follow.
func (g *generation) runAttempt(ctx context.Context, t *target) (refusal *request.Refusal, again bool) {
	id := placement.ID{Request: g.job.req.ID, Attempt: g.attempt}
	end := placement.End{}
	defer g.releaseReservation(t)
	g.s.recordGangMembers(t, true)
	defer g.s.recordGangMembers(t, false)
	g.s.opts.Router.Placed(t.placement)
	t.incarnation = g.s.opts.Router.Incarnation(t.name())
	var last streamEnd
	defer func() {
		g.endRun(t, last)
		g.trial.End(trialOutcome(last))
	}()
	g.trial.MarkSent()
	g.s.opts.Holder.Track(t.engine(g.job), g.runningID())
	defer func() { g.s.opts.Router.Finished(id, end) }()
	for {
		res := g.stream(ctx, t)
		last = res
		if res.complete {
			end = placement.End{Complete: true, AnswerTokens: g.asm.NextIndex()}
			g.s.opts.Holder.Untrack(t.name(), g.runningID())
			g.s.retries.recordSuccess(g.job.routing, time.Now())
			return g.finish(), false
		}
		decision := g.decideNext(ctx, t, res)
		if decision.Action == retry.Resume {
			g.resumes++
			continue
		}
		g.cancelAttempt(t, res)
		if decision.Action == retry.GiveUp {
			return decision.Refusal, false
		}
		g.attempt = decision.Attempt
		g.resumes = 0
		g.exclude = append(g.exclude, g.faulty...)
		return nil, true
	}
}

// endRun records how the run of an attempt ended. One that broke off counts as evidence if its
// engine turns out to have died.
func (g *generation) endRun(t *target, last streamEnd) {
	if !last.unanswered {
		g.s.opts.Suspects.End(t.run, last.complete)
		return
	}
	g.s.opts.Suspects.EndBroken(t.run, time.Now())
	request, attempt := g.job.req.ID, g.attempt
	restarted := func(ctx context.Context) bool {
		standing, err := g.s.opts.Client.Probe(ctx, t.address(), request, attempt)
		return err == nil && t.restarted(standing)
	}
	g.s.opts.Deaths.Recheck(t.toCheck(), restarted, func(res deaths.Result) {
		switch res {
		case deaths.Dead:
			g.s.opts.Suspects.EngineDelisted(t.name(), t.incarnation, time.Now())
		case deaths.Unresponsive:
			g.s.opts.Suspects.EngineAlive(t.name())
		}
	})
}

// trialOutcome returns the outcome of a trial from the end of its attempt. A refusal by
// the engine does not prove that the request was not run.
func trialOutcome(res streamEnd) quarantine.TrialOutcome {
	switch {
	case res.complete:
		return quarantine.TrialCompleted
	case res.end == retry.NotWritten && !res.callerGone:
		return quarantine.TrialNotSent
	}
	return quarantine.TrialRan
}

// finish sends the end of a complete answer to the caller. A caller that has
// disconnected in the meantime does not change the outcome.
func (g *generation) finish() *request.Refusal {
	if err := g.job.sink.finish(g.asm.NextIndex()); err != nil {
		g.s.log.WithFields(jobFields(g.job)).WithError(err).Debug("answer_end_undelivered")
	}
	return nil
}

// decideNext decides what follows an attempt that ended without a complete answer.
func (g *generation) decideNext(ctx context.Context, t *target, res streamEnd) retry.Decision {
	now := time.Now()
	if res.callerGone {
		return retry.Decision{Action: retry.GiveUp, Refusal: callerGoneRefusal(g.job)}
	}
	if errors.Is(res.err, shutdown.ErrLeaving) {
		g.earlierWritten = true // as far as is known
		return retry.Decision{Action: retry.GiveUp, Refusal: g.correctOutcome(leavingRefusal())}
	}
	if errors.Is(res.err, upstream.ErrNotPermitted) {
		return retry.Decision{Action: retry.GiveUp, Refusal: notPermittedRefusal()}
	}
	a := retry.Attempt{
		Number:         g.attempt,
		End:            res.end,
		EarlierWritten: g.earlierWritten,
		Reachable:      res.reachable,
		Resumes:        g.resumes,
	}
	if res.end != retry.NotWritten {
		g.earlierWritten = true
	}
	g.faulty = g.recordFaults(ctx, t, res)
	if res.end == retry.Died {
		g.s.opts.Suspects.EngineDied(t.name(), t.incarnation, now)
	}
	decision := g.s.retries.next(a, g.job, now)
	fields := jobFields(g.job)
	fields["attempt"] = g.attempt
	fields["upstream"] = t.name()
	fields["end"] = res.end.String()
	fields["action"] = decision.Action.String()
	fields["next_index"] = g.asm.NextIndex()
	log := g.s.log.WithFields(fields)
	if res.err != nil {
		log = log.WithError(res.err)
	}
	log.Info("attempt_ended")
	return decision
}

// cancelAttempt has the engine cancel an attempt that may hold memory there. An attempt
// that was not started needs no cancelling.
func (g *generation) cancelAttempt(t *target, res streamEnd) {
	notStarted := res.end == retry.NotWritten || res.end == retry.Refused
	if notStarted && !res.callerGone {
		g.s.opts.Holder.Untrack(t.name(), g.runningID())
		return
	}
	g.s.opts.Holder.End(t.engine(g.job), g.runningID())
}

// runningID returns the ledger ID of the current attempt.
func (g *generation) runningID() ledger.ID {
	return ledger.ID{Kind: ledger.Running, Name: g.job.req.ID, Attempt: g.attempt}
}
