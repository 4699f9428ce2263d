package relay

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"github.com/buckthorndock/buckthorndock/internal/core/fleet"
	"github.com/buckthorndock/buckthorndock/internal/core/request"
	"github.com/buckthorndock/buckthorndock/internal/core/slots"
)

// slotLease is a lease on a slot of a server.
type slotLease struct {
	id     string
	server string
}

// slotOutcomeAbandoned is the outcome of a request for a slot whose call ended while it waited.
const slotOutcomeAbandoned = "abandoned"

// pickPlain chooses a server for a call. While the service is scarce it waits for a slot that the
// planner leases; otherwise, or if none can be leased, this daemon chooses by its own calls.
func (g *run) pickPlain(ctx context.Context) (fleet.Upstream, func(), *request.Refusal) {
	lease, refusal := g.acquireSlot(ctx)
	if refusal != nil {
		return fleet.Upstream{}, nil, refusal
	}
	if lease == nil {
		return g.pickServer(ctx)
	}
	release := func() { g.relay.opts.Planner.ReleaseSlot(lease.id) }
	u, done, ok := g.pickLeased(ctx, lease.server)
	if !ok {
		release()
		return g.pickServer(ctx)
	}
	return u, func() {
		done()
		release()
	}, nil
}

// acquireSlot leases a slot of a server of the service if it is scarce. The lease is nil if the
// service is not scarce or no lease can be had.
func (g *run) acquireSlot(ctx context.Context) (*slotLease, *request.Refusal) {
	planner := g.relay.opts.Planner
	if !planner.SlotsScarce(g.req.Service.Name) {
		return nil, nil
	}
	g.stage.enter(stageSlot)
	ask := slots.Request{
		ID:       g.relay.nextLease(),
		Host:     g.relay.opts.Host,
		Service:  g.req.Service.Name,
		Route:    g.req.Route.Name,
		Rank:     g.req.Priority,
		Arrived:  g.req.Arrived,
		Deadline: g.req.Deadline,
	}
	asked := time.Now()
	for n := 1; ; n++ {
		ask.Servers = g.slotCandidates()
		if len(ask.Servers) == 0 {
			if n > 1 {
				planner.ReleaseSlot(ask.ID)
			}
			return nil, nil
		}
		grant := planner.AcquireSlot(ctx, ask)
		if grant.Verdict != slots.Wait {
			g.logSlot(grant.Verdict.String(), grant, n, asked)
			return g.leaseOf(ask.ID, grant)
		}
		if refusal := g.pause(ctx, grant.Wait); refusal != nil {
			planner.ReleaseSlot(ask.ID)
			g.logSlot(slotOutcomeAbandoned, grant, n, asked)
			return nil, refusal
		}
	}
}

// leaseOf returns the lease or the refusal of an answer that is not to wait.
func (g *run) leaseOf(id string, grant slots.Grant) (*slotLease, *request.Refusal) {
	switch grant.Verdict {
	case slots.Granted:
		return &slotLease{id: id, server: grant.Server}, nil
	case slots.Refused:
		retryAfter := min(max(grant.Wait, retryAfterFailure), maxRetryAfter)
		return nil, request.Refuse(request.CodeQueueFull, retryAfter, "no slot of %s is expected before the deadline", g.req.Service.Name)
	}
	return nil, nil
}

// nextLease returns a name for a lease that no other running daemon uses.
func (r *Relay) nextLease() string {
	return r.opts.Host + "/" + strconv.FormatUint(r.leaseCount.Add(1), 10)
}

// slotCandidates returns the IDs of the servers at which a slot may be leased, those of the own
// failure domain first.
func (g *run) slotCandidates() []string {
	unusable := g.unusable()
	var near, far []string
	for _, u := range g.relay.opts.Upstreams().Live(g.req.Service.Name) {
		switch {
		case slices.Contains(unusable, u.ID):
		case u.Domain == g.relay.opts.Domain:
			near = append(near, u.ID)
		default:
			far = append(far, u.ID)
		}
	}
	return append(near, far...)
}

// unusable returns the IDs of the servers that are not to be leased. A server that has only been
// full is not among them: the planner knows which of its slots are free.
func (g *run) unusable() []string {
	full := g.relay.avoidedAsFull()
	failed := slices.DeleteFunc(g.relay.failedRecently(), func(id string) bool { return full[id] })
	tried := slices.DeleteFunc(slices.Clone(g.exclude), func(id string) bool { return slices.Contains(g.fullServers, id) })
	return slices.Concat(g.relay.opts.Notices.barred(), failed, tried, g.relay.misplaced(), g.unreached())
}

// pickLeased chooses the server of a lease. ok is false if it takes no calls of this daemon now.
func (g *run) pickLeased(ctx context.Context, server string) (u fleet.Upstream, done func(), ok bool) {
	var others []string
	for _, o := range g.relay.opts.Upstreams().Live(g.req.Service.Name) {
		if o.ID != server {
			others = append(others, o.ID)
		}
	}
	u, done, ok = g.relay.opts.Balancer.Pick(g.req.Service.Name, others)
	if !ok {
		return u, nil, false
	}
	turn, ok := g.requestTurn(ctx, u, g.timeToNextEvent())
	asked := time.Now()
	if u.ID != server || !ok || g.pause(ctx, turn) != nil || missedTurn(asked, turn) || !g.takesWork(u) {
		done()
		return u, nil, false
	}
	return u, done, true
}

// noteFull records that a server had no room for a call.
func (g *run) noteFull(u fleet.Upstream) {
	g.fullServers = append(g.fullServers, u.ID)
	g.relay.noteFull(u.ID)
	g.relay.opts.Planner.ServerFull(g.req.Service.Name, u.ID)
}

// noteFull records that an upstream that is avoided was full.
func (r *Relay) noteFull(id string) {
	list := r.opts.Upstreams()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.full[id] = true
	maps.DeleteFunc(r.full, func(id string, _ bool) bool {
		_, listed := list.Get(id)
		return !listed
	})
}

func (r *Relay) avoidedAsFull() map[string]bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.full)
}

// logSlot counts and logs the end of a request for a slot, which has asked n times.
func (g *run) logSlot(outcome string, grant slots.Grant, n int, asked time.Time) {
	service := g.req.Service.Name
	metrics.GetOrCreateCounter(fmt.Sprintf(`buckthorndock_slot_requests_total{service=%q,outcome=%q}`, service, outcome)).Inc()
	g.relay.log.WithFields(logrus.Fields{
		"request": g.req.ID, "attempt": g.attempt, "service": service, "rank": g.req.Priority, "outcome": outcome,
		"upstream": grant.Server, "asked": n, "waited_ms": time.Since(asked).Milliseconds(),
		"expected_ms": grant.Wait.Milliseconds(), "left_ms": g.timeLeft().Milliseconds(),
	}).Info("slot_requested")
}
