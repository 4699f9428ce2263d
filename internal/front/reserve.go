package front

import (
	"context"
	"fmt"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/core/ledger"
	"github.com/buckthorndock/buckthorndock/internal/core/placement"
	"github.com/buckthorndock/buckthorndock/internal/core/request"
	"github.com/buckthorndock/buckthorndock/internal/owner"
)

// reserveMemory reserves the memory of a long prompt with the engine's owner before the
// prompt is sent. When the engine has no room now, it waits as long as the owner asked
// and returns false. If the owner cannot be reached, a prompt that fits one engine is
// sent without a reservation; the engine itself refuses what it cannot hold.
func (g *generation) reserveMemory(ctx context.Context, t *target) (bool, *request.Refusal) {
	if len(t.gang) > 0 {
		return g.reserveGang(ctx, t)
	}
	if t.decision.Class != placement.Long {
		return true, nil
	}
	engine := t.engine(g.job)
	reserveReq := ledger.ReserveRequest{
		Engine:  engine.Name,
		ID:      g.reservationName(),
		Request: g.job.req.ID,
		Tokens:  int64(g.job.req.TotalTokens()),
		Until:   time.Now().Add(t.decision.Chosen.Estimate.Finish),
	}
	reply, err := g.s.opts.Holder.Reserve(ctx, engine, reserveReq)
	switch {
	case err != nil:
		g.s.log.WithFields(jobFields(g.job)).WithError(err).Warn("owner_unreachable")
		return true, nil
	case reply.Granted:
		t.reservation = reserveReq.ID
		return true, nil
	case reply.RetryAfter == 0:
		g.exclude = append(g.exclude, engine.Name)
		return false, nil
	}
	g.pause(ctx, reply.RetryAfter)
	return false, nil
}

// reservationName returns a new name for a reservation. A name is used only once: a
// reservation whose answer was lost is being released.
func (g *generation) reservationName() string {
	g.reservations++
	return fmt.Sprintf("%s#%d.%d", g.job.req.ID, g.attempt, g.reservations)
}

func (g *generation) pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// gangReserveTimeout is the maximum time to reserve memory on one choice of members. After
// it the members are chosen again, because one may have died since.
const gangReserveTimeout = 4 * time.Second

// reserveGang reserves memory on all members of a gang, or on none.
func (g *generation) reserveGang(ctx context.Context, t *target) (bool, *request.Refusal) {
	gang := ledger.Gang{
		Request:  g.reservationName(),
		Pool:     g.job.pool.Name,
		Deadline: time.Now().Add(min(gangReserveTimeout, time.Until(g.job.req.Deadline))),
	}
	var engines []owner.Engine
	for _, m := range t.gang {
		gang.Members = append(gang.Members, ledger.Member{Engine: m.Name, Tokens: m.Tokens})
		engines = append(engines, owner.Engine{Name: m.Name, Address: m.Address, Pool: g.job.pool.Name})
	}
	id, err := g.s.opts.Holder.Gather(ctx, ledger.GatherOptions{}, gang, engines)
	if err == nil {
		t.reservation = id
		return true, nil
	}
	g.s.log.WithFields(jobFields(g.job)).WithError(err).Info("gang_not_reserved")
	if ctx.Err() != nil {
		return false, g.contextRefusal(ctx)
	}
	g.pause(ctx, placeRetryInterval)
	return false, nil
}

// releaseReservation releases the memory that reserveMemory has reserved.
func (g *generation) releaseReservation(t *target) {
	if t.reservation == "" {
		return
	}
	id := ledger.ID{Kind: ledger.Reservation, Name: t.reservation}
	if len(t.gang) == 0 {
		g.s.opts.Holder.End(t.engine(g.job), id)
		return
	}
	for _, m := range t.gang {
		g.s.opts.Holder.End(owner.Engine{Name: m.Name, Address: m.Address, Pool: g.job.pool.Name}, id)
	}
}
