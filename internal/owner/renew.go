package owner

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/core/ledger"
)

// Run renews holdings, and sends the releases and cancels that are due, until the
// context ends.
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
			h.startDueEnds(ctx, &work)
		case <-retry.C:
			h.startDueEnds(ctx, &work)
		}
	}
}

// ownerRef identifies the owner of an engine for a call.
type ownerRef struct {
	host    string
	address string
	self    bool
}

// renew sends one message to each owner of an engine that this front used within
// HolderOptions.RenewUnused, also when it holds nothing there: the owner then knows
// that it can end what the engine still lists for this front.
func (h *Holder) renew(ctx context.Context) {
	var calls sync.WaitGroup
	for owner, r := range h.buildRenewals() {
		calls.Go(func() { h.sendRenewal(ctx, owner, r) })
	}
	calls.Wait()
}

// buildRenewals returns the renewal for each owner, and drops engines that were not
// used for HolderOptions.RenewUnused.
func (h *Holder) buildRenewals() map[ownerRef]ledger.Renewal {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.seq++
	now := h.opts.Clock()
	out := map[ownerRef]ledger.Renewal{}
	for engine, at := range h.lastUsed {
		if now.Sub(at) > h.opts.RenewUnused {
			delete(h.lastUsed, engine)
			continue
		}
		if host, address, self := h.opts.Ownership.Owner(engine); host != "" {
			out[ownerRef{host, address, self}] = ledger.Renewal{}
		}
	}
	for key, t := range h.holdings {
		host, address, self := h.opts.Ownership.Owner(key.engine)
		if host == "" || !t.shouldRenew(now, h.opts.RenewEvery) {
			continue
		}
		o := ownerRef{host, address, self}
		r := out[o]
		r.Held = append(r.Held, ledger.Claim{Engine: key.engine, ID: key.id})
		out[o] = r
		h.lastUsed[key.engine] = now
	}
	for o, r := range out {
		r.Holder = h.opts.Self
		r.Seq = h.seq
		out[o] = r
	}
	return out
}

// shouldRenew reports whether a renewal claims the holding. The ledger counts its
// timeouts from the time it first saw a holding, so one that is younger than a
// renewal interval can wait: most short requests end without ever being claimed.
func (t *trackedHolding) shouldRenew(now time.Time, every time.Duration) bool {
	return !t.ending && !t.awaitingGrant && now.Sub(t.trackedAt) >= every
}

func (h *Holder) sendRenewal(ctx context.Context, o ownerRef, r ledger.Renewal) {
	var reply ledger.RenewalReply
	if err := h.call(ctx, o.address, o.self, methodRenew, r, &reply); err != nil {
		h.opts.Log.WithFields(fields{"owner": o.host}).WithError(err).Warn("renew_failed")
		return
	}
	if reply.Newer != "" {
		h.opts.Log.WithFields(fields{"owner": o.host, "newer": reply.Newer}).Error("incarnation_superseded")
	}
	for _, c := range reply.Gone {
		h.handleLostClaim(c)
	}
}

// handleLostClaim handles a claim of something that the engine does not hold. A
// reserve call that the ledger does not know of may still reach the engine, so the
// id is ended rather than untracked.
func (h *Holder) handleLostClaim(c ledger.Claim) {
	h.mu.Lock()
	t := h.holdings[holdingKey{c.Engine, c.ID}]
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

// startDueEnds sends the releases and cancels that are due, in the background, and
// gives up those that were repeated for HolderOptions.EndLimit.
func (h *Holder) startDueEnds(ctx context.Context, work *sync.WaitGroup) {
	now := h.opts.Clock()
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, key := range h.dueEnds(now) {
		t := h.holdings[key]
		if now.Sub(t.endingSince) > h.opts.EndLimit {
			delete(h.holdings, key)
			metricEndsGivenUp.Inc()
			h.opts.Log.WithFields(fields{"engine": key.engine, "id": key.id.Name}).Error("end_given_up")
			continue
		}
		t.endInFlight = true
		address := t.address
		work.Go(func() { h.tryEnd(ctx, key, address) })
	}
}

// maxConcurrentEnds bounds the releases and cancels that are under way at a time.
const maxConcurrentEnds = 64

// dueEnds returns the holdings whose release or cancel is to be sent now, within
// maxConcurrentEnds. The caller holds the lock.
func (h *Holder) dueEnds(now time.Time) []holdingKey {
	var keys []holdingKey
	busy := 0
	for key, t := range h.holdings {
		if t.endInFlight {
			busy++
			continue
		}
		if t.ending && !now.Before(t.nextTry) {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, func(a, b holdingKey) int { return cmp.Compare(a.engine+a.id.Name, b.engine+b.id.Name) })
	return keys[:min(len(keys), max(0, maxConcurrentEnds-busy))]
}

// tryEnd sends one release or cancel. A confirmed holding is no longer tracked,
// except that a cancel is confirmed twice; otherwise the next try is scheduled.
func (h *Holder) tryEnd(ctx context.Context, key holdingKey, address string) {
	confirmed := h.callEnd(ctx, key, address)
	h.mu.Lock()
	defer h.mu.Unlock()
	t := h.holdings[key]
	if t == nil {
		return
	}
	t.endInFlight = false
	if confirmed && (t.cancelConfirmed || key.id.Kind != ledger.Running) {
		delete(h.holdings, key)
		return
	}
	if confirmed {
		// The request may still be on its way to an engine that was frozen, and
		// then arrives after its cancel.
		t.cancelConfirmed = true
		t.nextTry = h.opts.Clock().Add(h.opts.CancelRepeatDelay)
		return
	}
	t.nextTry = h.opts.Clock().Add(t.retryDelay)
	t.retryDelay = min(2*t.retryDelay, h.opts.RetryMax)
}

// Drain waits until every release and cancel is confirmed, for a daemon that
// leaves. Run must still be running. The error is the context's.
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

// callEnd sends a release or cancel and reports whether it is confirmed. A
// reservation is released at the owner, so that its ledger is exact at once;
// everything else, or when the owner does not confirm, is ended at the engine.
func (h *Holder) callEnd(ctx context.Context, key holdingKey, address string) bool {
	if key.id.Kind == ledger.Reservation {
		var reply ReleaseReply
		args := ReleaseArgs{Engine: key.engine, ID: key.id, Holder: h.opts.Self}
		if err := h.callOwner(ctx, key.engine, methodRelease, args, &reply); err == nil && reply.Confirmed {
			return true
		}
	}
	return endHolding(ctx, h.opts.Engines, h.opts.CallTimeout, address, key.id) == nil
}
