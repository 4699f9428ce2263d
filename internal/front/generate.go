package front

import (
	"context"
	"errors"
	"slices"
	"strings"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/core/ledger"
	"github.com/buckthorndock/buckthorndock/internal/core/placement"
	"github.com/buckthorndock/buckthorndock/internal/core/request"
	"github.com/buckthorndock/buckthorndock/internal/core/retry"
	"github.com/buckthorndock/buckthorndock/internal/core/stream"
	"github.com/buckthorndock/buckthorndock/internal/router"
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
}

// generate runs a job until its one end. It returns nil when the whole answer
// was delivered.
func (s *Server) generate(ctx context.Context, j *job) *request.Refusal {
	g := &generation{
		s:       s,
		job:     j,
		asm:     stream.New(stream.Options{RequestID: j.req.ID, MaxTokens: j.req.MaxTokens, From: j.answered}),
		attempt: 1,
	}
	g.text.WriteString(j.passed.String())
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
	defer func() { g.s.opts.Suspects.End(t.run, end.Complete) }()
	g.s.opts.Holder.Track(t.engine(g.job), g.running())
	defer func() { g.s.opts.Router.Finished(id, end) }()
	for {
		res := g.stream(ctx, t)
		if res.complete {
			end = placement.End{Complete: true, AnswerTokens: g.asm.NextIndex()}
			g.s.opts.Holder.Done(t.name(), g.running())
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
		Number:       g.attempt,
		End:          res.end,
		EarlierWrote: g.earlierWrote,
		Reachable:    res.reachable,
		Resumes:      g.resumes,
	}
	if res.end != retry.NotWritten {
		g.earlierWrote = true
	}
	g.blamed = g.blame(ctx, t, res)
	if res.end == retry.Died {
		g.s.opts.Suspects.Died(t.name(), t.incarnation, now)
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
		g.s.opts.Holder.Done(t.name(), g.running())
		return
	}
	g.s.opts.Holder.End(t.engine(g.job), g.running())
}

// running names the running attempt as a holding of its engine.
func (g *generation) running() ledger.ID {
	return ledger.ID{Kind: ledger.Running, Name: g.job.req.ID, Attempt: g.attempt}
}

// place waits until the request can be placed, or says why it cannot.
func (g *generation) place(ctx context.Context) (*target, *request.Refusal) {
	if t := g.placeTaken(); t != nil {
		return t, nil
	}
	for {
		changed := g.s.opts.Router.Changed()
		t, verdict := g.decide()
		if verdict == nil {
			ok, refusal := g.begin(ctx, t)
			if refusal != nil {
				return nil, g.refused(refusal)
			}
			if ok {
				g.s.noteDecision(g.job, g.attempt, t.decision, t.names())
				return t, nil
			}
			verdict = &noPlace{wait: true}
		}
		if !verdict.wait {
			return nil, g.refused(verdict.refusal)
		}
		select {
		case <-changed:
		case <-time.After(placeRetry):
		case <-ctx.Done():
			return nil, g.refused(g.ended(ctx))
		}
	}
}

// placeTaken returns the place that the gate has found, if it still holds.
func (g *generation) placeTaken() *target {
	d := g.job.first
	if d == nil {
		return nil
	}
	g.job.first = nil
	t := newTarget(g.job, g.attempt, *d)
	if !g.tryStart(t) {
		g.s.opts.Router.Finished(t.placement.ID, placement.End{})
		return nil
	}
	g.s.noteDecision(g.job, g.attempt, *d, t.names())
	return t
}

// begin makes sure that the attempt may start: that it does not meet another
// suspect of crashes, and that its memory is reserved.
func (g *generation) begin(ctx context.Context, t *target) (bool, *request.Refusal) {
	if !g.tryStart(t) {
		return false, nil
	}
	ok, refusal := g.secure(ctx, t)
	if !ok {
		g.s.opts.Suspects.End(t.run, false)
	}
	return ok, refusal
}

func (g *generation) tryStart(t *target) (ok bool) {
	t.run, ok = g.s.opts.Suspects.TryStart(t.name(), g.job.req.Fingerprint, time.Now())
	return ok
}

// placeRetry is the longest time between two looks for a place while nothing is
// heard of the upstreams.
const placeRetry = 50 * time.Millisecond

// ended returns why the context has ended.
func (g *generation) ended(ctx context.Context) *request.Refusal {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return request.Refuse(request.CodeDeadline, g.s.comeBack(g.job, 0), "no upstream had room within the deadline")
	}
	return failed(request.CodeCallerGone, 0, "the caller has gone")
}

// refused corrects a refusal's outcome: what an earlier attempt wrote may have
// run.
func (g *generation) refused(r *request.Refusal) *request.Refusal {
	if r == nil || !g.earlierWrote {
		return r
	}
	changed := *r
	changed.Outcome = request.Failed
	if !g.job.req.Repeatable {
		changed.Outcome = request.Unknown
	}
	return &changed
}

// noPlace says why a request was not placed.
type noPlace struct {
	wait    bool // it may be placed later
	refusal *request.Refusal
}

// decide asks the router once.
func (g *generation) decide() (*target, *noPlace) {
	if refusal := g.s.opts.Suspects.Refusal(g.job.req.Fingerprint, time.Now()); refusal != nil {
		return nil, &noPlace{refusal: refusal}
	}
	blocked := g.s.blocked(g.job)
	ask := router.Ask(g.job.req, g.job.pool.Name, g.job.routing)
	ask.Exclude = slices.Concat(g.exclude, blocked)
	d, err := g.s.opts.Router.Place(ask)
	if err != nil {
		return nil, &noPlace{refusal: request.Refuse(request.CodeInternal, retryElsewhere, "placement failed")}
	}
	switch d.Verdict {
	case placement.Placed:
		return newTarget(g.job, g.attempt, d), nil
	case placement.WaitMemory:
		return nil, &noPlace{wait: true}
	case placement.NeedsGang:
		return g.decideGang(ask, d)
	case placement.NeverPossible:
		g.s.noteDecision(g.job, g.attempt, d, nil)
		return nil, &noPlace{refusal: request.Refuse(request.CodeNeverPossible, 0,
			"needs %d tokens of memory, at most %d can be gathered", ask.Need(), d.MemoryLimit)}
	case placement.TooLate:
		g.s.noteDecision(g.job, g.attempt, d, nil)
		return nil, &noPlace{refusal: request.Refuse(request.CodeDeadline, g.s.comeBack(g.job, d.Backlog.Drain()),
			"the deadline cannot be met at the present load")}
	}
	if len(blocked) > 0 {
		return nil, &noPlace{wait: true}
	}
	if len(g.exclude) > 0 {
		// All that is left has failed before; one of them may be back.
		g.exclude = nil
		return g.decide()
	}
	g.s.noteDecision(g.job, g.attempt, d, nil)
	return nil, &noPlace{refusal: request.Refuse(request.CodeNoUpstream, g.s.comeBack(g.job, d.Backlog.Drain()),
		"no upstream of pool %s can take it now", g.job.pool.Name)}
}

// decideGang chooses the members of a gang. The first in the order of names
// receives the request.
func (g *generation) decideGang(ask placement.Ask, d placement.Decision) (*target, *noPlace) {
	members := g.s.opts.Router.GangMembers(ask)
	if len(members) == 0 && len(g.exclude) > 0 {
		// Those that have failed are needed, if they are back.
		g.exclude = nil
	}
	if len(members) == 0 {
		return nil, &noPlace{wait: true}
	}
	d.Chosen = placement.Candidate{Name: members[0].Name, Address: members[0].Address, Domain: d.GangDomain}
	t := newTarget(g.job, g.attempt, d)
	t.gang = members
	t.placement.Tokens = members[0].Prefill
	t.placement.MaxTokens = 0
	return t, nil
}
