package owner

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/core/ledger"
)

// Run renews holdings and asks for ends until the context ends.
func (h *Holder) Run(ctx context.Context) error {
	renew := time.NewTicker(h.opts.RenewEvery)
	defer renew.Stop()
	retry := time.NewTicker(h.opts.RetryMin)
	defer retry.Stop()
	var work sync.WaitGroup
	defer work.Wait()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-renew.C:
			work.Go(func() { h.renew(ctx) })
		case <-h.wake:
			h.endDue(ctx, &work)
		case <-retry.C:
			h.endDue(ctx, &work)
		}
	}
}

// ownerOf is the owner of an engine as a call needs it.
type ownerOf struct {
	host    string
	address string
	self    bool
}

// renew sends one message to each owner of an engine that this front has used
// lately, also when it holds nothing there: the owner then knows that what the
// engine lists for this front is left over.
func (h *Holder) renew(ctx context.Context) {
	var calls sync.WaitGroup
	for owner, r := range h.renewals() {
		calls.Go(func() { h.renewAt(ctx, owner, r) })
	}
	calls.Wait()
}

func (h *Holder) renewals() map[ownerOf]ledger.Renewal {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.seq++
	now := h.opts.Clock()
	out := map[ownerOf]ledger.Renewal{}
	for engine, at := range h.used {
		if now.Sub(at) > h.opts.RenewUnused {
			delete(h.used, engine)
			continue
		}
		if host, address, self := h.opts.Ownership.Owner(engine); host != "" {
			out[ownerOf{host, address, self}] = ledger.Renewal{}
		}
	}
	for key, t := range h.held {
		host, address, self := h.opts.Ownership.Owner(key.engine)
		if host == "" || !t.renewable(now, h.opts.RenewEvery) {
			continue
		}
		o := ownerOf{host, address, self}
		r := out[o]
		r.Held = append(r.Held, ledger.Claim{Engine: key.engine, ID: key.id})
		out[o] = r
		h.used[key.engine] = now
	}
	for o, r := range out {
		r.Holder = h.opts.Self
		r.Seq = h.seq
		out[o] = r
	}
	return out
}

// renewable tells whether a holding is to be claimed. The ledger counts its limit
// from the time it first saw a holding, so what is younger than one renewal's
// time can wait: most short requests end without ever being claimed.
func (t *tracked) renewable(now time.Time, every time.Duration) bool {
	return !t.ending && !t.asked && now.Sub(t.began) >= every
}

func (h *Holder) renewAt(ctx context.Context, o ownerOf, r ledger.Renewal) {
	var reply ledger.RenewalReply
	if err := h.call(ctx, o.address, o.self, methodRenew, r, &reply); err != nil {
		h.opts.Log.WithFields(fields{"owner": o.host}).WithError(err).Warn("renew_failed")
		return
	}
	if reply.Newer != "" {
		h.opts.Log.WithFields(fields{"owner": o.host, "newer": reply.Newer}).Error("replaced")
	}
	for _, c := range reply.Gone {
		h.lost(c)
	}
}

// lost handles a claim that the engine does not hold. A reserve call may be on
// its way past the ledger, so the id is ended rather than forgotten.
func (h *Holder) lost(c ledger.Claim) {
	h.mu.Lock()
	t := h.held[held{c.Engine, c.ID}]
	claimed := t != nil && !t.ending
	h.mu.Unlock()
	if !claimed {
		return
	}
	h.End(Engine{Name: c.Engine, Address: t.address}, c.ID)
	if h.opts.OnLost != nil {
		h.opts.OnLost(c.Engine, c.ID.Name)
	}
}

// endDue asks for all ends whose time has come.
func (h *Holder) endDue(ctx context.Context, work *sync.WaitGroup) {
	now := h.opts.Clock()
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, key := range h.due(now) {
		t := h.held[key]
		if now.Sub(t.since) > h.opts.EndLimit {
			delete(h.held, key)
			metricDropped.Inc()
			h.opts.Log.WithFields(fields{"engine": key.engine, "id": key.id.Name}).Error("end_given_up")
			continue
		}
		t.busy = true
		address := t.address
		work.Go(func() { h.endOne(ctx, key, address) })
	}
}

// maxEndsAtOnce bounds the ends that are asked for at a time.
const maxEndsAtOnce = 64

// due needs the lock.
func (h *Holder) due(now time.Time) []held {
	var keys []held
	busy := 0
	for key, t := range h.held {
		if t.busy {
			busy++
			continue
		}
		if t.ending && !now.Before(t.next) {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, func(a, b held) int { return cmp.Compare(a.engine+a.id.Name, b.engine+b.id.Name) })
	return keys[:min(len(keys), max(0, maxEndsAtOnce-busy))]
}

func (h *Holder) endOne(ctx context.Context, key held, address string) {
	confirmed := h.askEnd(ctx, key, address)
	h.mu.Lock()
	defer h.mu.Unlock()
	t := h.held[key]
	if t == nil {
		return
	}
	t.busy = false
	if confirmed && (t.settled || key.id.Kind != ledger.Running) {
		delete(h.held, key)
		return
	}
	if confirmed {
		// The dispatch may still be under way to an engine that was frozen, and
		// then comes after its cancel.
		t.settled = true
		t.next = h.opts.Clock().Add(h.opts.CancelRepeatDelay)
		return
	}
	t.next = h.opts.Clock().Add(t.wait)
	t.wait = min(2*t.wait, h.opts.RetryMax)
}

// Drain waits until every end is confirmed, for a daemon that leaves. Run has to
// go on meanwhile.
func (h *Holder) Drain(ctx context.Context) error {
	tick := time.NewTicker(h.opts.RetryMin)
	defer tick.Stop()
	for {
		if _, ending := h.Counts(); ending == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
	}
}

// askEnd goes to the owner for a reservation, so that its ledger is exact at
// once, and to the engine itself for the rest or when no owner answers.
func (h *Holder) askEnd(ctx context.Context, key held, address string) bool {
	if key.id.Kind == ledger.Reservation {
		var reply ReleaseReply
		args := ReleaseArgs{Engine: key.engine, ID: key.id, Holder: h.opts.Self}
		if err := h.callOwner(ctx, key.engine, methodRelease, args, &reply); err == nil && reply.Confirmed {
			return true
		}
	}
	return end(ctx, h.opts.Engines, h.opts.CallTimeout, address, key.id) == nil
}
