package owner

import (
	"context"
	"hash/fnv"
	"math/rand/v2"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/buckthorndock/buckthorndock/internal/core/ledger"
)

// turnKey returns the ownership key whose owner grants the turn of a pool: the
// exclusive right of one gang to gather its members.
func turnKey(pool string) string { return "gang/" + pool }

// GangError is the error for a gang that was not gathered. Its members hold nothing,
// or their release is under way.
type GangError struct{ Reason ledger.Reason }

// Error implements error.
func (g *GangError) Error() string { return "gang not gathered: " + string(g.Reason) }

// Gather reserves memory on all engines of a gang or on none, and returns the id
// of the reservations, which is the same on each engine. It gives up at the gang's
// deadline or when the context ends, with a *GangError. The caller calls End for
// each member when the work is over.
func (h *Holder) Gather(ctx context.Context, opts ledger.GatherOptions, gang ledger.Gang, engines []Engine) (id string, err error) {
	d := &gatherDriver{holder: h, ctx: ctx, engines: map[string]Engine{}}
	for _, e := range engines {
		d.engines[e.Name] = e
	}
	for _, m := range gang.Members {
		if _, ok := d.engines[m.Engine]; !ok {
			return "", merry.Errorf("gang member %s has no address", m.Engine)
		}
	}
	gang.Holder = h.opts.Self
	d.gather = ledger.NewGatherer(opts, gang, gangRand(gang, h.opts.Clock()))
	return d.run()
}

// gangRand returns a random source seeded by the gang's request and the time.
func gangRand(g ledger.Gang, now time.Time) *rand.Rand {
	sum := fnv.New64a()
	_, _ = sum.Write([]byte(g.Request)) // never fails
	return rand.New(rand.NewPCG(sum.Sum64(), uint64(now.UnixNano())))
}

// gatherDriver carries out the steps of one Gather.
type gatherDriver struct {
	holder  *Holder
	ctx     context.Context
	gather  *ledger.Gatherer
	engines map[string]Engine
	id      string
	failed  *GangError
}

func (d *gatherDriver) run() (string, error) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-d.ctx.Done():
			d.execute(d.gather.Abort(d.now()))
		case <-timer.C:
			d.execute(d.gather.Tick(d.now()))
		}
		switch {
		case d.failed != nil:
			return "", d.failed
		case d.id != "":
			return d.id, nil
		}
		timer.Reset(max(time.Millisecond, d.gather.NextTick().Sub(d.now())))
	}
}

func (d *gatherDriver) now() time.Time { return d.holder.opts.Clock() }

func (d *gatherDriver) execute(steps []ledger.Step) {
	for len(steps) > 0 {
		s := steps[0]
		steps = append(steps[1:], d.executeStep(s)...)
	}
}

func (d *gatherDriver) executeStep(s ledger.Step) []ledger.Step {
	h := d.holder
	switch s := s.(type) {
	case ledger.AcquireTurn:
		var reply TurnReply
		args := TurnArgs{Pool: s.Pool, Gang: s.Gang}
		err := h.callOwner(d.ctx, turnKey(s.Pool), methodTurn, args, &reply)
		return d.gather.HandleTurnAnswer(err == nil && reply.OK, reply.Wait, d.now())
	case ledger.ReleaseTurn:
		// A turn that is not given back expires. The context may have ended with
		// its caller.
		ctx := context.WithoutCancel(d.ctx)
		args := TurnArgs{Pool: s.Pool, Gang: s.Gang, Give: true}
		_ = h.callOwner(ctx, turnKey(s.Pool), methodTurn, args, &TurnReply{})
	case ledger.ReserveMember:
		return d.reserveMember(s.Request)
	case ledger.ReleaseMember:
		// The holder repeats the release until it is confirmed.
		h.End(d.engines[s.Engine], ledger.ID{Kind: ledger.Reservation, Name: s.ID})
		d.gather.Released(s.Engine, s.ID)
	case ledger.Gathered:
		d.id = s.ID
	case ledger.GaveUp:
		d.failed = &GangError{Reason: s.Reason}
	}
	return nil
}

func (d *gatherDriver) reserveMember(req ledger.ReserveRequest) []ledger.Step {
	reply, err := d.holder.Reserve(d.ctx, d.engines[req.Engine], req)
	if err == nil && reply.Granted {
		return d.gather.Granted(req, d.now())
	}
	// Reserve has begun to release this id, so it must not be requested again.
	lost := err != nil || reply.Reason == ledger.InProgress
	deny := ledger.Deny{Request: req, Reason: reply.Reason, RetryAfter: reply.RetryAfter}
	return d.gather.Denied(deny, lost, d.now())
}
