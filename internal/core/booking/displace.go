package booking

import (
	"slices"
	"time"
)

// Displaced is an attempt that the prefill of a long part makes late on the engine where it
// decodes, and that would be in time on another engine.
type Displaced struct {
	Host    string
	Attempt string
}

// Displace returns the attempts to move away from the engines of a booked attempt, because the
// prefill of its parts is about to start there. It leaves no new plans in the book: Place plans
// each attempt again.
//
// Prefilling a short prompt again on another engine takes a fraction of the pause that its decode
// would have here, so its answer stays in time.
func (b *Book) Displace(attempt string, now time.Time) []Displaced {
	x := b.entries[attempt]
	if x == nil || x.hasFirst || !x.long {
		return nil
	}
	s := b.services[x.req.Service]
	if s == nil {
		return nil
	}
	d := &displacement{book: b, cause: x, service: s, now: now}
	for _, e := range x.engines {
		d.displaceFrom(e)
	}
	for _, id := range d.provisional {
		b.End(id)
	}
	return d.displaced
}

// displacement is one call of Displace.
type displacement struct {
	book        *Book
	cause       *entry
	service     *Service
	now         time.Time
	displaced   []Displaced
	provisional []string // plans that are in the book during the call, so that each counts for the next
}

// displaceFrom finds the decodes that are to leave an engine.
func (d *displacement) displaceFrom(e *engine) {
	for _, w := range slices.Clone(e.entries) {
		if w != d.cause && w.hasFirst && w.decodesOn(e) && d.makesLate(w, e) && d.planElsewhere(w, e) {
			d.displaced = append(d.displaced, Displaced{Host: w.req.Host, Attempt: w.req.ID})
		}
	}
}

// makesLate reports whether the prefill of the booked part makes a decode on the engine late.
func (d *displacement) makesLate(w *entry, e *engine) bool {
	l := e.loadAt(d.now, d.service.MinGap)
	return w.req.Gap > 0 && d.cause.plan.Read > w.req.Gap-l.passTime()-pauseMargin
}

// planElsewhere reports whether a decode's next event comes in time from another engine, and if
// so enters its plan there. The other engine must have more decodes already: engines with few
// are the next to prefill long prompts, and most requests may be moved only once.
func (d *displacement) planElsewhere(w *entry, from *engine) bool {
	l := from.loadAt(d.now, d.service.MinGap)
	a := w.req
	a.ID, a.Begun = "displaced/"+a.ID, true
	a.Exclude = append(slices.Clone(a.Exclude), from.up.ID)
	a.Objective = a.Gap - l.passTime()/2 // on average half a pass has gone by since its last event
	t := &placement{book: d.book, req: &a, service: d.service, now: d.now}
	p := t.plan()
	if p.Verdict != Booked || p.Reason == ReasonOnlyFail || p.Reason == ReasonDelaysOthers || p.Reason == ReasonLate {
		return false
	}
	to := d.book.engines[p.Parts[0].Upstream].loadAt(d.now, d.service.MinGap)
	// The other engine, too, is on average in the middle of a pass when the prompt arrives.
	if p.First+to.passTime()/2+pauseMargin > a.Objective || len(to.decodes) <= len(l.decodes) {
		return false
	}
	if !to.toleratesPause(to.runningLong + to.shortPrefill + p.Read) {
		return false // it would make decodes there late
	}
	d.book.record(a, p, d.now)
	d.provisional = append(d.provisional, a.ID)
	return true
}
