package ledger

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// ApplyBooks reconciles the ledger with an engine's own list. Listed holdings
// that the ledger does not know are added, to be claimed or ended; holdings that
// are no longer listed are dropped.
func (l *Ledger) ApplyBooks(b Books, now time.Time) []Action {
	e := l.engines[b.Engine]
	if e == nil || b.ReadStarted.Before(e.readStart) {
		return nil
	}
	e.readStart = b.ReadStarted
	e.known = true
	e.incarnation = b.Incarnation
	e.total = b.Total
	listed := make(map[ID]struct{}, len(b.Items))
	var acts []Action
	for _, it := range b.Items {
		acts = append(acts, l.observeHolder(it.Holder, now)...)
	}
	for _, it := range b.Items {
		listed[it.ID] = struct{}{}
		acts = append(acts, l.applyItem(e, it, b.ReadStarted, now)...)
	}
	return append(acts, l.dropUnlisted(e, listed, b.ReadStarted, now)...)
}

// applyItem reconciles one holding of an engine's books.
func (l *Ledger) applyItem(e *engine, it Item, readStart, now time.Time) []Action {
	en := e.entries[it.ID]
	if en != nil {
		en.Tokens = it.Tokens
		en.Orphaned = it.Orphaned
		en.Reservation = it.Reservation
		return nil
	}
	en = &entry{Item: it, state: held, changed: readStart, claimed: now}
	e.entries[it.ID] = en
	if at, ok := e.ended[it.ID]; ok && at.Before(readStart) {
		return l.end(e, en, CauseLate, now)
	}
	if l.replaced(it.Holder) {
		return l.end(e, en, CauseReplaced, now)
	}
	return nil
}

// dropUnlisted drops the entries that the books do not list, if the read of the
// books began after the entry last changed.
func (l *Ledger) dropUnlisted(e *engine, listed map[ID]struct{}, readStart, now time.Time) []Action {
	var acts []Action
	for _, en := range e.sorted() {
		if _, ok := listed[en.ID]; ok {
			continue
		}
		if en.reserving || !en.changed.Before(readStart) {
			continue
		}
		if en.state == ending {
			acts = append(acts, l.confirmEnd(e, en, now)...)
			continue
		}
		delete(e.entries, en.ID)
	}
	return acts
}

// MarkEngineDown records that an engine does not answer. It may have crashed or
// may only be unreachable, so until its books are read again nothing is granted
// on it and no entry is dropped.
func (l *Ledger) MarkEngineDown(name string) {
	if e := l.engines[name]; e != nil {
		e.known = false
	}
}

// Renew handles a holder's list of all its holdings on this owner's engines.
func (l *Ledger) Renew(r Renewal, now time.Time) (RenewalReply, []Action) {
	if l.replaced(r.Holder) {
		return RenewalReply{Newer: l.holders[r.Holder.Host].incarnation}, nil
	}
	acts := l.observeHolder(r.Holder, now)
	h := l.holders[r.Holder.Host]
	if !h.renewed.IsZero() && r.Seq <= h.seq {
		return RenewalReply{}, nil
	}
	if h.firstRenewed.IsZero() {
		h.firstRenewed = now
	}
	h.seq = r.Seq
	h.renewed = now
	h.goneSince = time.Time{}
	var reply RenewalReply
	for _, c := range r.Held {
		gone, doubt := l.applyClaim(c, r.Holder, now)
		if gone {
			reply.Gone = append(reply.Gone, c)
		}
		if doubt {
			acts = append(acts, ReadBooks{Engine: c.Engine})
		}
	}
	return reply, acts
}

// applyClaim records a claim. It reports whether a claimed reservation is gone,
// or in doubt, so that the engine's books have to be read: another owner may have
// granted it since the last read.
func (l *Ledger) applyClaim(c Claim, h Holder, now time.Time) (gone, doubt bool) {
	e := l.engines[c.Engine]
	if e == nil {
		return false, false
	}
	en := e.entries[c.ID]
	if en != nil && en.Holder == h && en.state != ending {
		en.claimed = now
		e.claimReservationOf(en, now)
		return false, false
	}
	// A running request may be newer than the books, and unknown books prove
	// nothing.
	if c.ID.Kind != Reservation || !e.known {
		return false, false
	}
	missed, ok := e.missed[c.ID]
	if !ok {
		e.missed[c.ID] = now
		return false, true
	}
	return e.readStart.After(missed), false
}

// claimReservationOf also claims the reservation that a claimed running request
// uses.
func (e *engine) claimReservationOf(run *entry, now time.Time) {
	if run.Reservation == "" {
		return
	}
	if r := e.entries[ID{Kind: Reservation, Name: run.Reservation}]; r != nil {
		r.claimed = now
	}
}

// ObserveHolder records that a host runs in an incarnation, even if that one
// holds nothing here.
func (l *Ledger) ObserveHolder(h Holder, now time.Time) []Action {
	return l.observeHolder(h, now)
}

// Hosts returns the hosts with holdings on owned engines, sorted.
func (l *Ledger) Hosts() []string {
	seen := map[string]struct{}{}
	for _, e := range l.engines {
		for _, en := range e.entries {
			seen[en.Holder.Host] = struct{}{}
		}
	}
	return slices.Sorted(maps.Keys(seen))
}

// observeHolder records a holder. The first time a newer incarnation is seen, the
// holdings of older ones are ended.
func (l *Ledger) observeHolder(h Holder, now time.Time) []Action {
	old := l.holders[h.Host]
	if old != nil && !newer(h.Incarnation, old.incarnation) {
		return nil
	}
	l.holders[h.Host] = &holder{incarnation: h.Incarnation}
	if old == nil {
		return nil
	}
	return l.endReplaced(now)
}

// replaced reports whether a newer incarnation of the host is known.
func (l *Ledger) replaced(h Holder) bool {
	known := l.holders[h.Host]
	return known != nil && newer(known.incarnation, h.Incarnation)
}

// endReplaced ends all holdings of older incarnations at once.
func (l *Ledger) endReplaced(now time.Time) []Action {
	var acts []Action
	for _, name := range l.Owned() {
		e := l.engines[name]
		for _, en := range e.sorted() {
			if en.state != ending && l.replaced(en.Holder) {
				acts = append(acts, l.end(e, en, CauseReplaced, now)...)
			}
		}
	}
	return acts
}

// Tick ends holdings that have been unclaimed for too long and repeats
// unconfirmed ends. Call it at least a few times per UnclaimedTimeout.
func (l *Ledger) Tick(now time.Time) []Action {
	if !l.ticked.IsZero() && now.Sub(l.ticked) > l.opts.UnclaimedTimeout/2 {
		// This process was paused and may not have read renewals yet: all
		// timeouts start again.
		l.resumed = now
	}
	l.ticked = now
	var acts []Action
	for _, name := range l.Owned() {
		acts = append(acts, l.tickEngine(l.engines[name], now)...)
	}
	return acts
}

func (l *Ledger) tickEngine(e *engine, now time.Time) []Action {
	var acts []Action
	if !e.known {
		acts = append(acts, ReadBooks{Engine: e.name})
	}
	for _, en := range e.sorted() {
		if en.state == ending {
			if now.Sub(en.endRequested) >= l.opts.RetryEvery {
				acts = append(acts, l.requestEnd(e, en, now)...)
			}
			continue
		}
		if cause := l.endCause(e, en, now); cause != "" {
			acts = append(acts, l.end(e, en, cause, now)...)
		}
	}
	expire(e.ended, now, l.opts.SilentTimeout)
	expire(e.missed, now, l.opts.SilentTimeout)
	return acts
}

func expire(ids map[ID]time.Time, now time.Time, limit time.Duration) {
	for id, at := range ids {
		if now.Sub(at) > limit {
			delete(ids, id)
		}
	}
}

// MarkHostGone records that a host has left the site. The caller must know this
// from more than the host's silence; a later renewal cancels it.
func (l *Ledger) MarkHostGone(host string, now time.Time) {
	if h := l.holders[host]; h != nil && h.goneSince.IsZero() {
		h.goneSince = now
	}
}

// endCause returns why a holding is to be ended, or an empty Cause. For a holder
// that is merely silent the timeout is long: it may be cut off from this owner
// only, or renew with another host that also owns the engine.
func (l *Ledger) endCause(e *engine, en *entry, now time.Time) Cause {
	h := l.holders[en.Holder.Host]
	if h == nil {
		h = &holder{}
	}
	since := latest(en.claimed, l.resumed)
	switch {
	case !h.goneSince.IsZero():
		return causeAfter(CauseGone, now.Sub(latest(since, h.goneSince)), l.opts.UnclaimedTimeout)
	case !h.firstRenewed.IsZero() && now.Sub(h.renewed) <= l.opts.UnclaimedTimeout:
		// A renewal already under way when this owner took over may have left
		// holdings out: the timeout starts at the first renewal.
		return causeAfter(CauseUnclaimed, now.Sub(latest(since, h.firstRenewed)), l.opts.UnclaimedTimeout)
	}
	limit := l.opts.SilentTimeout
	if e.hasOpenStream(en) {
		limit = l.opts.StreamTimeout
	}
	if h.firstRenewed.IsZero() {
		return causeAfter(CauseUnknown, now.Sub(since), limit)
	}
	return causeAfter(CauseSilent, now.Sub(since), limit)
}

// hasOpenStream reports whether an entry is a running request with an open stream
// or the reservation of one.
func (e *engine) hasOpenStream(en *entry) bool {
	if en.Kind == Running {
		return !en.Orphaned
	}
	for _, run := range e.entries {
		if run.Kind == Running && !run.Orphaned && run.Reservation == en.Name {
			return true
		}
	}
	return false
}

func causeAfter(c Cause, idle, limit time.Duration) Cause {
	if idle > limit {
		return c
	}
	return ""
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// sorted returns the entries in order of their IDs, so that the order of actions
// is deterministic.
func (e *engine) sorted() []*entry {
	list := make([]*entry, 0, len(e.entries))
	for _, en := range e.entries {
		list = append(list, en)
	}
	slices.SortFunc(list, func(a, b *entry) int {
		return cmp.Or(
			cmp.Compare(a.Kind, b.Kind),
			cmp.Compare(a.Name, b.Name),
			cmp.Compare(a.Attempt, b.Attempt),
		)
	})
	return list
}
