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
	if x == nil || x.first || !x.long {
		return nil
	}
	s := b.services[x.ask.Service]
	if s == nil {
		return nil
	}
	d := &displacing{book: b, by: x, service: s, now: now}
	for _, e := range x.engines {
		d.clear(e)
	}
	for _, id := range d.tried {
		b.End(id)
	}
	return d.list
}

// displacing is one call of Displace.
type displacing struct {
	book    *Book
	by      *entry
	service *Service
	now     time.Time
	list    []Displaced
	tried   []string // plans that stand in the book meanwhile, so that each counts for the next
}

// clear finds the writers that are to leave an engine.
func (d *displacing) clear(e *engine) {
	for _, w := range slices.Clone(e.entries) {
		if w != d.by && w.first && w.writes(e) && d.late(w, e) && d.saves(w, e) {
			d.list = append(d.list, Displaced{Host: w.ask.Host, Attempt: w.ask.ID})
		}
	}
}

// late reports whether the part makes a writer on the engine late.
func (d *displacing) late(w *entry, e *engine) bool {
	l := e.look(d.now, d.service.MinGap)
	return w.ask.Gap > 0 && d.by.plan.Read > w.ask.Gap-l.pass()-pauseMargin
}

// saves reports whether a writer's next event comes in time from another engine, and notes
// its plan there. The other engine has to write for more already: those that write for few
// are the next to read long prompts, and most requests may be moved only once.
func (d *displacing) saves(w *entry, from *engine) bool {
	l := from.look(d.now, d.service.MinGap)
	a := w.ask
	a.ID, a.Begun = "displaced/"+a.ID, true
	a.Exclude = append(slices.Clone(a.Exclude), from.up.ID)
	a.Objective = a.Gap - l.pass()/2 // half a pass has gone since its last event, on the average
	t := &task{book: d.book, ask: &a, service: d.service, now: d.now}
	p := t.plan()
	if p.Verdict != Booked || p.Reason == ReasonOnlyFail || p.Reason == ReasonDelaysOthers || p.Reason == ReasonLate {
		return false
	}
	to := d.book.engines[p.Parts[0].Upstream].look(d.now, d.service.MinGap)
	// The other engine, too, is in the middle of a pass when the prompt comes.
	if p.First+to.pass()/2+pauseMargin > a.Objective || len(to.writers) <= len(l.writers) {
		return false
	}
	if !to.bearsAll(to.current + to.unread + p.Read) {
		return false // those who write there would pause for it
	}
	d.book.Record(a, p, d.now)
	d.tried = append(d.tried, a.ID)
	return true
}
