package booking

import (
	"slices"
	"time"
)

// Displaced is an attempt that a long part makes late where it writes, and that another
// engine would save.
type Displaced struct {
	Host    string
	Attempt string
}

// Displace returns the attempts that are to leave the engines of a booked one now, for its
// parts are about to be read there. It enters nothing: each is planned anew by Place.
//
// A short prompt is read again in a fraction of the pause that it would have, so its answer
// stays in time.
func (b *Book) Displace(attempt string, now time.Time) []Displaced {
	x := b.entries[attempt]
	if x == nil || x.hasFirst || !x.long {
		return nil
	}
	s := b.services[x.ask.Service]
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
	book    *Book
	cause      *entry
	service *Service
	now     time.Time
	displaced    []Displaced
	provisional   []string // plans that stand in the book meanwhile, so that each counts for the next
}

// displaceFrom finds the writers that are to leave an engine.
func (d *displacement) displaceFrom(e *engine) {
	for _, w := range slices.Clone(e.entries) {
		if w != d.cause && w.hasFirst && w.decodesOn(e) && d.makesLate(w, e) && d.planElsewhere(w, e) {
			d.displaced = append(d.displaced, Displaced{Host: w.ask.Host, Attempt: w.ask.ID})
		}
	}
}

// makesLate reports whether the part makes a writer on the engine late.
func (d *displacement) makesLate(w *entry, e *engine) bool {
	l := e.loadAt(d.now, d.service.MinGap)
	return w.ask.Gap > 0 && d.cause.plan.Read > w.ask.Gap-l.passTime()-pauseMargin
}

// planElsewhere reports whether a writer's next event comes in time from another engine, and notes
// its plan there. The other engine has to write for more already: those that write for few
// are the next to read long prompts, and most requests may be moved only once.
func (d *displacement) planElsewhere(w *entry, from *engine) bool {
	l := from.loadAt(d.now, d.service.MinGap)
	a := w.ask
	a.ID, a.Begun = "displaced/"+a.ID, true
	a.Exclude = append(slices.Clone(a.Exclude), from.up.ID)
	a.Objective = a.Gap - l.passTime()/2 // half a pass has gone since its last event, on the average
	t := &placement{book: d.book, ask: &a, service: d.service, now: d.now}
	p := t.plan()
	if p.Verdict != Booked || p.Reason == ReasonOnlyFail || p.Reason == ReasonDelaysOthers || p.Reason == ReasonLate {
		return false
	}
	to := d.book.engines[p.Parts[0].Upstream].loadAt(d.now, d.service.MinGap)
	// The other engine, too, is in the middle of a pass when the prompt comes.
	if p.First+to.passTime()/2+pauseMargin > a.Objective || len(to.decodes) <= len(l.decodes) {
		return false
	}
	if !to.toleratesPause(to.runningLong + to.shortPrefill + p.Read) {
		return false // those who write there would pause for it
	}
	d.book.Record(a, p, d.now)
	d.provisional = append(d.provisional, a.ID)
	return true
}
