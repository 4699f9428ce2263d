package placement

import (
	"slices"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/core/request"
)

// flight is an own placement that has not finished.
type flight struct {
	Placement
	engine *Engine
	placed time.Time
	first  time.Time // first token; zero before
	ahead  int64     // prompt tokens believed ahead of it when it was placed

	pending  bool  // counted in engine.own
	prefill  int64 // its part of engine.own.prefill
	counted  int64 // its part of engine.held
	priority request.Priority
}

// Observations of less work, or with more work ahead than this multiple of the
// own, say more about waiting than about the engine's rate.
const (
	leastObservedTokens = 256
	mostAheadShare      = 0.5
	leastObservedAnswer = 8
)

// NotePlaced notes that an attempt goes to an upstream. It returns false for an
// unknown upstream and for an attempt that is already noted. Each attempt noted
// must be ended by NoteFinished, whatever becomes of it.
func (v *View) NotePlaced(p Placement, now time.Time) bool {
	e := v.engines[p.Upstream]
	if e == nil || v.flights[p.ID] != nil {
		return false
	}
	f := &flight{Placement: p, engine: e, placed: now, pending: true}
	f.priority = min(p.Priority, leastUrgent)
	f.prefill = int64(max(p.Tokens-p.Cached, 0))
	f.counted = int64(p.Tokens) + int64(p.MaxTokens)
	f.ahead = e.queueAhead(&v.opts, leastUrgent, now)
	v.flights[p.ID] = f

	e.pending = append(e.pending, f)
	e.own.prefill[f.priority] += f.prefill
	e.own.memory += f.counted
	e.own.requests++
	e.held += f.counted
	e.inFlight++
	e.group.boundary.offer(p.Tokens, f.prefill, f.priority, now, v.opts.WorkHalfLife)
	return true
}

// NoteFirstToken notes the first token of an attempt, with the prompt tokens that
// the engine found in its cache, and learns the engine's prefill rate.
func (v *View) NoteFirstToken(id ID, cached int, now time.Time) {
	f := v.flights[id]
	if f == nil || !f.first.IsZero() {
		return
	}
	f.first = now
	v.learnPrefill(f, cached, now)
	f.prefillDone()
	for _, b := range f.Prefix {
		f.engine.store(b, v.opts.PrefixBlocks)
	}
}

func (v *View) learnPrefill(f *flight, cached int, now time.Time) {
	work := float64(f.Tokens - cached)
	took := now.Sub(f.placed).Seconds()
	if work < leastObservedTokens || took <= 0 {
		return
	}
	if float64(f.ahead) > mostAheadShare*work {
		return
	}
	rate := (work + float64(f.ahead)) / took
	f.engine.prefillRate.observe(rate, now, v.opts.RateHalfLife)
}

// NoteFinished notes the end of an attempt, for whatever reason. Unknown attempts
// are ignored, so it may be called twice.
func (v *View) NoteFinished(id ID, end End, now time.Time) {
	f := v.flights[id]
	if f == nil {
		return
	}
	v.drop(id, f)
	if !end.Complete {
		return
	}
	f.engine.group.residence.observe(now.Sub(f.placed).Seconds(), now, v.opts.RateHalfLife)
	if f.MaxTokens > 0 {
		share := float64(end.AnswerTokens) / float64(f.MaxTokens)
		v.modelOf(f.Model).answerShare.observe(share, now, v.opts.RateHalfLife)
	}
	v.learnDecode(f, end.AnswerTokens, now)
}

func (v *View) learnDecode(f *flight, answer int, now time.Time) {
	if f.first.IsZero() || answer < leastObservedAnswer {
		return
	}
	took := now.Sub(f.first).Seconds()
	if took <= 0 {
		return
	}
	f.engine.decodeRate.observe(float64(answer-1)/took, now, v.opts.RateHalfLife)
}

// Expire forgets attempts whose end was never noted, long after their deadline,
// and returns how many. Anything but zero is a fault of the caller; without it a
// lost end would hold memory in the view for ever.
func (v *View) Expire(now time.Time) int {
	n := 0
	for id, f := range v.flights {
		limit := f.placed.Add(v.opts.MaxFlight)
		if !f.Deadline.IsZero() {
			limit = f.Deadline.Add(v.opts.FlightGrace)
		}
		if now.After(limit) {
			v.drop(id, f)
			n++
		}
	}
	return n
}

func (v *View) drop(id ID, f *flight) {
	delete(v.flights, id)
	e := f.engine
	e.held -= f.counted
	e.inFlight--
	if !f.pending {
		return
	}
	f.uncount()
	at := slices.Index(e.pending, f)
	e.pending = slices.Delete(e.pending, at, at+1)
}

// settle takes the placements up to a time out of the correction, because the
// report shows them.
func (e *Engine) settle(until time.Time) {
	e.pending = slices.DeleteFunc(e.pending, func(f *flight) bool {
		if f.placed.After(until) {
			return false
		}
		f.uncount()
		return true
	})
}

func (f *flight) uncount() {
	f.prefillDone()
	f.engine.own.memory -= f.counted
	f.engine.own.requests--
	f.pending = false
}

func (f *flight) prefillDone() {
	if f.pending {
		f.engine.own.prefill[f.priority] -= f.prefill
	}
	f.prefill = 0
}
