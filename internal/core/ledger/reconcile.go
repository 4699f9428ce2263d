package ledger

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// ApplyBooks compares an engine's own list with the ledger. What the engine
// lists and nobody asked for is taken in, to be claimed or ended; what it no
// longer lists is forgotten.
func (l *Ledger) ApplyBooks(b Books, now time.Time) []Action {
	e := l.engines[b.Engine]
	if e == nil || b.ReadStarted.Before(e.read) {
		return nil
	}
	e.read = b.ReadStarted
	e.known = true
	e.incarnation = b.Incarnation
	e.total = b.Total
	listed := make(map[ID]struct{}, len(b.Items))
	var acts []Action
	for _, it := range b.Items {
		acts = append(acts, l.sawHolder(it.Holder, now)...)
	}
	for _, it := range b.Items {
		listed[it.ID] = struct{}{}
		acts = append(acts, l.takeIn(e, it, b.ReadStarted, now)...)
	}
	return append(acts, l.forget(e, listed, b.ReadStarted, now)...)
}

// takeIn handles one line of an engine's books.
func (l *Ledger) takeIn(e *engine, it Item, asked, now time.Time) []Action {
	en := e.entries[it.ID]
	if en != nil {
		en.Tokens = it.Tokens
		en.Orphaned = it.Orphaned
		en.Reservation = it.Reservation
		return nil
	}
	en = &entry{Item: it, state: held, changed: asked, claimed: now}
	e.entries[it.ID] = en
	if at, ok := e.ended[it.ID]; ok && at.Before(asked) {
		return l.end(e, en, CauseLate, now)
	}
	if l.replaced(it.Holder) {
		return l.end(e, en, CauseReplaced, now)
	}
	return nil
}

// forget drops what books that began after the last news of it do not list.
func (l *Ledger) forget(e *engine, listed map[ID]struct{}, asked, now time.Time) []Action {
	var acts []Action
	for _, en := range e.sorted() {
		if _, ok := listed[en.ID]; ok {
			continue
		}
		if en.reserving || !en.changed.Before(asked) {
			continue
		}
		if en.state == ending {
			acts = append(acts, l.confirm(e, en, now)...)
			continue
		}
		delete(e.entries, en.ID)
	}
	return acts
}

// MarkEngineDown says that an engine does not answer. It may have died or may be
// out of reach, so nothing is granted on it and nothing forgotten before its
// books are read again.
func (l *Ledger) MarkEngineDown(name string) {
	if e := l.engines[name]; e != nil {
		e.known = false
	}
}

// Renew handles a holder's list of all that it has here.
func (l *Ledger) Renew(r Renewal, now time.Time) (RenewalReply, []Action) {
	if l.replaced(r.Holder) {
		return RenewalReply{Newer: l.holders[r.Holder.Host].incarnation}, nil
	}
	acts := l.sawHolder(r.Holder, now)
	h := l.holders[r.Holder.Host]
	if !h.renewed.IsZero() && r.Seq <= h.seq {
		return RenewalReply{}, nil
	}
	if h.first.IsZero() {
		h.first = now
	}
	h.seq = r.Seq
	h.renewed = now
	h.gone = time.Time{}
	var reply RenewalReply
	for _, c := range r.Held {
		gone, doubt := l.claim(c, r.Holder, now)
		if gone {
			reply.Gone = append(reply.Gone, c)
		}
		if doubt {
			acts = append(acts, ReadBooks{Engine: c.Engine})
		}
	}
	return reply, acts
}

// claim notes a claim. It tells whether a claimed reservation is gone, or whether
// the engine's books are to be read to know: another owner may have granted it
// since they were read last.
func (l *Ledger) claim(c Claim, h Holder, now time.Time) (gone, doubt bool) {
	e := l.engines[c.Engine]
	if e == nil {
		return false, false
	}
	en := e.entries[c.ID]
	if en != nil && en.Holder == h && en.state != ending {
		en.claimed = now
		e.claimUsed(en, now)
		return false, false
	}
	// A running request may be younger than the books, and books in doubt say
	// nothing.
	if c.ID.Kind != Reservation || !e.known {
		return false, false
	}
	missed, ok := e.missed[c.ID]
	if !ok {
		e.missed[c.ID] = now
		return false, true
	}
	return e.read.After(missed), false
}

// claimUsed claims the reservation that a claimed running request uses.
func (e *engine) claimUsed(run *entry, now time.Time) {
	if run.Reservation == "" {
		return
	}
	if r := e.entries[ID{Kind: Reservation, Name: run.Reservation}]; r != nil {
		r.claimed = now
	}
}

// ObserveHolder says that a host lives in an incarnation, also when that one holds
// nothing here.
func (l *Ledger) ObserveHolder(h Holder, now time.Time) []Action {
	return l.sawHolder(h, now)
}

// Hosts returns the hosts that hold something on owned engines, sorted.
func (l *Ledger) Hosts() []string {
	seen := map[string]struct{}{}
	for _, e := range l.engines {
		for _, en := range e.entries {
			seen[en.Holder.Host] = struct{}{}
		}
	}
	return slices.Sorted(maps.Keys(seen))
}

// sawHolder notes a holder; the first sight of a newer incarnation ends what the
// older ones hold.
func (l *Ledger) sawHolder(h Holder, now time.Time) []Action {
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

// replaced tells whether a newer incarnation of the host is known.
func (l *Ledger) replaced(h Holder) bool {
	known := l.holders[h.Host]
	return known != nil && newer(known.incarnation, h.Incarnation)
}

// endReplaced ends at once what older incarnations hold.
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

// Tick ends what has been unclaimed for too long and repeats unconfirmed ends.
// It is to be called a few times in a soft limit at the least.
func (l *Ledger) Tick(now time.Time) []Action {
	if !l.ticked.IsZero() && now.Sub(l.ticked) > l.opts.UnclaimedTimeout/2 {
		// This process was paused: renewals may wait unread. All limits start anew.
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
			if now.Sub(en.acted) >= l.opts.RetryEvery {
				acts = append(acts, l.act(e, en, now)...)
			}
			continue
		}
		if cause := l.abandoned(e, en, now); cause != "" {
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

// MarkHostGone says that a host has left the site. It is for a caller that knows from
// more than its own silence; a renewal takes it back.
func (l *Ledger) MarkHostGone(host string, now time.Time) {
	if h := l.holders[host]; h != nil && h.gone.IsZero() {
		h.gone = now
	}
}

// abandoned returns why a holding is to be ended, or nothing. Silence alone ends
// work late: the holder may be cut off from this owner only, or renew with
// another host that owns the engine as well.
func (l *Ledger) abandoned(e *engine, en *entry, now time.Time) Cause {
	h := l.holders[en.Holder.Host]
	if h == nil {
		h = &holder{}
	}
	since := latest(en.claimed, l.resumed)
	switch {
	case !h.gone.IsZero():
		return causeAfter(CauseGone, now.Sub(latest(since, h.gone)), l.opts.UnclaimedTimeout)
	case !h.first.IsZero() && now.Sub(h.renewed) <= l.opts.UnclaimedTimeout:
		// A renewal that was on its way when this owner took over may have left
		// things out: the limit starts at the first renewal.
		return causeAfter(CauseUnclaimed, now.Sub(latest(since, h.first)), l.opts.UnclaimedTimeout)
	}
	limit := l.opts.SilentTimeout
	if e.streams(en) {
		limit = l.opts.StreamTimeout
	}
	if h.first.IsZero() {
		return causeAfter(CauseUnknown, now.Sub(since), limit)
	}
	return causeAfter(CauseSilent, now.Sub(since), limit)
}

// streams tells whether an entry is, or serves, a request with an open stream.
func (e *engine) streams(en *entry) bool {
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

// sorted returns the entries in the order of their ids, so that the actions of
// a step are the same in every run.
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
