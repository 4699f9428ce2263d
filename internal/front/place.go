package front

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/core/placement"
	"github.com/buckthorndock/buckthorndock/internal/core/request"
	"github.com/buckthorndock/buckthorndock/internal/router"
)

// place waits until the request is placed and may start, or returns why it cannot.
func (g *generation) place(ctx context.Context) (*target, *request.Refusal) {
	if t := g.useGatePlacement(); t != nil {
		return t, nil
	}
	for {
		changed := g.s.opts.Router.Changed()
		t, failure := g.decidePlacement(ctx)
		if failure == nil {
			ok, refusal := g.prepare(ctx, t)
			if refusal != nil {
				return nil, g.correctOutcome(refusal)
			}
			if ok {
				g.s.recordDecision(g.job, g.attempt, t.decision, t.names())
				return t, nil
			}
			failure = &placementFailure{wait: true}
		}
		if !failure.wait {
			return nil, g.correctOutcome(failure.refusal)
		}
		select {
		case <-changed:
		case <-time.After(placeRetryInterval):
		case <-ctx.Done():
			return nil, g.correctOutcome(g.contextRefusal(ctx))
		}
	}
}

// useGatePlacement returns the place found during admission, or nil if there is none or
// the request can no longer start there.
func (g *generation) useGatePlacement() *target {
	d := g.job.gatePlacement
	if d == nil {
		return nil
	}
	g.job.gatePlacement = nil
	t := newTarget(g.job, g.attempt, *d)
	if g.s.isBarred(t.name()) || !g.tryStart(t) {
		g.s.opts.Router.Finished(t.placement.ID, placement.End{})
		return nil
	}
	g.s.recordDecision(g.job, g.attempt, *d, t.names())
	return t
}

// prepare makes sure that the attempt may start: that its engine runs no other request
// suspected of crashing engines, and that its memory is reserved. It returns false
// without a refusal when the attempt cannot start now.
func (g *generation) prepare(ctx context.Context, t *target) (bool, *request.Refusal) {
	if !g.tryStart(t) {
		return false, nil
	}
	ok, refusal := g.reserveMemory(ctx, t)
	if !ok {
		g.s.opts.Suspects.End(t.run, false)
	}
	return ok, refusal
}

func (g *generation) tryStart(t *target) (ok bool) {
	t.run, ok = g.s.opts.Suspects.TryStart(t.name(), g.job.work(), g.trial, time.Now())
	return ok
}

// placeRetryInterval is the maximum time between two placement decisions while the
// router reports no change.
const placeRetryInterval = 50 * time.Millisecond

// contextRefusal returns the refusal of a request whose context has ended.
func (g *generation) contextRefusal(ctx context.Context) *request.Refusal {
	if endedByShutdown(ctx) {
		return leavingRefusal()
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return request.Refuse(request.CodeDeadline, g.s.retryAfter(g.job, 0), "no upstream had room within the deadline")
	}
	return failedRefusal(request.CodeCallerGone, 0, "the caller has gone")
}

// correctOutcome changes the outcome of a refusal when an earlier attempt was written
// to its upstream and may have run.
func (g *generation) correctOutcome(r *request.Refusal) *request.Refusal {
	if r == nil || !g.earlierWritten {
		return r
	}
	changed := *r
	changed.Outcome = request.Failed
	if !g.job.req.Repeatable {
		changed.Outcome = request.Unknown
	}
	return &changed
}

// placementFailure says why a request was not placed.
type placementFailure struct {
	wait    bool // the request may be placed later
	refusal *request.Refusal
}

// decidePlacement has the router decide once and returns a target or why there is none.
func (g *generation) decidePlacement(ctx context.Context) (*target, *placementFailure) {
	if failure := g.admitSuspect(ctx); failure != nil {
		return nil, failure
	}
	blocked := g.s.blocked(g.job)
	placeReq := router.NewPlacementRequest(g.job.req, g.job.pool.Name, g.job.routing)
	placeReq.Exclude = slices.Concat(g.exclude, blocked, g.s.barred())
	d, err := g.s.opts.Router.Place(placeReq)
	if err != nil {
		return nil, &placementFailure{refusal: request.Refuse(request.CodeInternal, retryElsewhere, "placement failed")}
	}
	switch d.Verdict {
	case placement.Placed:
		return newTarget(g.job, g.attempt, d), nil
	case placement.WaitMemory:
		return nil, &placementFailure{wait: true}
	case placement.NeedsGang:
		return g.chooseGang(placeReq, d)
	case placement.NeverPossible:
		g.s.recordDecision(g.job, g.attempt, d, nil)
		return nil, &placementFailure{refusal: request.Refuse(request.CodeNeverPossible, 0,
			"needs %d tokens of memory, at most %d can be reserved", placeReq.MemoryNeeded(), d.MemoryLimit)}
	case placement.TooLate:
		g.s.recordDecision(g.job, g.attempt, d, nil)
		return nil, &placementFailure{refusal: request.Refuse(request.CodeDeadline, g.s.retryAfter(g.job, d.Backlog.Drain()),
			"the deadline cannot be met at the present load")}
	}
	if len(blocked) > 0 {
		return nil, &placementFailure{wait: true}
	}
	if len(g.exclude) > 0 {
		// All remaining upstreams have failed this request; one may have recovered.
		g.exclude = nil
		return g.decidePlacement(ctx)
	}
	g.s.recordDecision(g.job, g.attempt, d, nil)
	return nil, &placementFailure{refusal: request.Refuse(request.CodeNoUpstream, g.s.retryAfter(g.job, d.Backlog.Drain()),
		"no upstream of pool %s can take the request now", g.job.pool.Name)}
}

// admitSuspect gets the trial under which a request that is suspected of crashing engines
// must run, or returns why there is none. Other requests may be placed at once.
func (g *generation) admitSuspect(ctx context.Context) *placementFailure {
	trial, refusal := g.s.opts.Suspects.Admit(ctx, g.job.work(), g.trial, time.Until(g.job.req.Deadline))
	g.trial = trial
	if refusal == nil {
		return nil
	}
	return &placementFailure{wait: refusal.Code == request.CodeSuspect, refusal: refusal}
}

// chooseGang chooses the members of a gang. The first in the order of names receives
// the request.
func (g *generation) chooseGang(placeReq placement.Request, d placement.Decision) (*target, *placementFailure) {
	members := g.s.opts.Router.GangMembers(placeReq)
	if len(members) == 0 && len(g.exclude) > 0 {
		// The gang needs members that failed before; they may have recovered.
		g.exclude = nil
	}
	if len(members) == 0 {
		return nil, &placementFailure{wait: true}
	}
	d.Chosen = placement.Candidate{Name: members[0].Name, Address: members[0].Address, Domain: d.GangDomain}
	t := newTarget(g.job, g.attempt, d)
	t.gang = members
	t.placement.Tokens = members[0].Prefill
	t.placement.MaxTokens = 0
	return t, nil
}
