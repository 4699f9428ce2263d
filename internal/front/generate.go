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
	"github.com/buckthorndock/buckthorndock/internal/suspects"
	"github.com/buckthorndock/buckthorndock/internal/upstream"
)

// generation is one request for an answer on its way through its attempts. One
// goroutine owns it.
type generation struct {
	s   *Server
	job *job
	asm *stream.Assembler

	attempt      int // number of the running attempt, from 1
	resumes      int // of the running attempt, since its last token
	asks         int // for reservations so far
	earlierWrote bool
	exclude      []string
	blamed       []string        // for the end of the last attempt
	first        time.Time       // of the first token, zero before
	text         strings.Builder // handed out so far
	trial        *suspects.Trial // under which the next attempt runs; nil: none is needed
}

// generate runs a job until its one end. It returns nil when the whole answer
// was delivered.
func (s *Server) generate(ctx context.Context, j *job) *request.Refusal {
	g := &generation{
		s:       s,
		job:     j,
		asm:     stream.New(stream.Options{RequestID: j.req.ID, MaxTokens: j.req.MaxTokens, FirstIndex: j.answered}),
		attempt: 1,
	}
	g.text.WriteString(j.passed.String())
	defer func() { g.trial.End(quarantine.TrialNotSent) }()
	for {
		target, refusal := g.place(ctx)
		if refusal != nil {
			return refusal
		}
		refusal, again := g.onTarget(ctx, target)
		if !again {
			return refusal
		}
	}
}

// onTarget runs the attempt on one upstream, resuming its stream as often as is
// worth while. again asks for another upstream.
func (g *generation) onTarget(ctx context.Context, t *target) (refusal *request.Refusal, again bool) {
	id := placement.ID{Request: g.job.req.ID, Attempt: g.attempt}
	end := placement.End{}
	defer g.release(t)
	g.s.noteGang(t, true)
	defer g.s.noteGang(t, false)
	g.s.opts.Router.Placed(t.placement)
	t.incarnation = g.s.opts.Router.Incarnation(t.name())
	var last streamEnd
	defer func() {
		g.s.opts.Suspects.End(t.run, end.Complete)
		g.trial.End(trialOutcome(last))
	}()
	g.trial.MarkSent()
	g.s.opts.Holder.Track(t.engine(g.job), g.running())
	defer func() { g.s.opts.Router.Finished(id, end) }()
	for {
		res := g.stream(ctx, t)
		last = res
		if res.complete {
			end = placement.End{Complete: true, AnswerTokens: g.asm.NextIndex()}
			g.s.opts.Holder.Untrack(t.name(), g.running())
			g.s.retries.success(g.job.routing, time.Now())
			return g.finish(), false
		}
		decision := g.next(ctx, t, res)
		if decision.Action == retry.Resume {
			g.resumes++
			continue
		}
		g.abandon(t, res)
		if decision.Action == retry.GiveUp {
			return decision.Refusal, false
		}
		g.attempt = decision.Attempt
		g.resumes = 0
		g.exclude = append(g.exclude, g.blamed...)
		return nil, true
	}
}

// trialOutcome returns what the end of an attempt says of its trial. An engine's word that it
// refused is no proof.
func trialOutcome(res streamEnd) quarantine.TrialOutcome {
	switch {
	case res.complete:
		return quarantine.TrialCompleted
	case res.end == retry.NotWritten && !res.callerGone:
		return quarantine.TrialNotSent
	}
	return quarantine.TrialRan
}

// finish tells the caller that the answer is whole. A caller that has gone in
// the meantime changes nothing about the outcome.
func (g *generation) finish() *request.Refusal {
	if err := g.job.sink.finish(g.asm.NextIndex()); err != nil {
		g.s.log.WithFields(jobFields(g.job)).WithError(err).Debug("caller_gone_at_end")
	}
	return nil
}

// next decides what follows an attempt that ended without a whole answer.
func (g *generation) next(ctx context.Context, t *target, res streamEnd) retry.Decision {
	now := time.Now()
	if res.callerGone {
		return retry.Decision{Action: retry.GiveUp, Refusal: callerGone(g.job)}
	}
	if errors.Is(res.err, upstream.ErrNotPermitted) {
		return retry.Decision{Action: retry.GiveUp, Refusal: notPermitted()}
	}
	a := retry.Attempt{
		Number:         g.attempt,
		End:            res.end,
		EarlierWritten: g.earlierWrote,
		Reachable:      res.reachable,
		Resumes:        g.resumes,
	}
	if res.end != retry.NotWritten {
		g.earlierWrote = true
	}
	g.blamed = g.blame(ctx, t, res)
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

// abandon makes sure that the engine gives up an attempt that may hold memory
// there.
func (g *generation) abandon(t *target, res streamEnd) {
	notStarted := res.end == retry.NotWritten || res.end == retry.Refused
	if notStarted && !res.callerGone {
		g.s.opts.Holder.Untrack(t.name(), g.running())
		return
	}
	g.s.opts.Holder.End(t.engine(g.job), g.running())
}

// running names the running attempt as a holding of its engine.
func (g *generation) running() ledger.ID {
	return ledger.ID{Kind: ledger.Running, Name: g.job.req.ID, Attempt: g.attempt}
}
