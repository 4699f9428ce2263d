package placement

import (
	"slices"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/core/request"
)

// flight is one of the front's own placements that has not finished.
type flight struct {
	Placement
	engine     *Engine
	placed     time.Time
	firstToken time.Time // time of the first token; zero before
	ahead      int64     // estimated prompt tokens ahead of it when it was placed

	pending  bool  // counted in engine.pendingLoad
	prefill  int64 // its part of engine.pendingLoad.prefill
	memory   int64 // its part of engine.inFlightMemory
	priority request.Priority
}

// Bounds of the observations that rates are learnt from. With fewer tokens, or with more
// work ahead than maxAheadShare of the request's own, waiting dominates the time.
const (
	minObservedTokens = 256
	maxAheadShare     = 0.5
	minObservedAnswer = 8
)

// NotePlaced records that an attempt is sent to an upstream. It returns false for an
// unknown upstream and for an attempt that is already recorded. Each recorded attempt
// must be ended by NoteFinished, whatever its result.
func (v *View) NotePlaced(p Placement, now time.Time) bool {
	e := v.engines[p.Upstream]
	if e == nil || v.flights[p.ID] != nil {
		return false
	}
	f := &flight{Placement: p, engine: e, placed: now, pending: true}
	f.priority = min(p.Priority, lowestPriority)
	f.prefill = int64(max(p.Tokens-p.Cached, 0))
	f.memory = int64(p.Tokens) + int64(p.MaxTokens)
	f.ahead = e.queueAhead(&v.opts, lowestPriority, now)
	v.flights[p.ID] = f

	e.pending = append(e.pending, f)
	e.pendingLoad.prefill[f.priority] += f.prefill
	e.pendingLoad.memory += f.memory
	e.pendingLoad.requests++
	e.inFlightMemory += f.memory
	e.inFlight++
	e.group.boundary.addOffered(p.Tokens, f.prefill, f.priority, now, v.opts.WorkHalfLife)
	return true
}

// NoteFirstToken records the first token of an attempt and updates the engine's prefill
// rate. cached is the number of prompt tokens that the engine found in its cache.
func (v *View) NoteFirstToken(id ID, cached int, now time.Time) {
	f := v.flights[id]
	if f == nil || !f.firstToken.IsZero() {
		return
	}
	f.firstToken = now
	v.observePrefillRate(f, cached, now)
	f.clearPrefill()
	for _, b := range f.Prefix {
		f.engine.store(b, v.opts.PrefixBlocks)
	}
}

func (v *View) observePrefillRate(f *flight, cached int, now time.Time) {
	work := float64(f.Tokens - cached)
	took := now.Sub(f.placed).Seconds()
	if work < minObservedTokens || took <= 0 {
		return
	}
	if float64(f.ahead) > maxAheadShare*work {
		return
	}
	rate := (work + float64(f.ahead)) / took
	f.engine.prefillRate.observe(rate, now, v.opts.RateHalfLife)
}

// NoteFinished records the end of an attempt, for whatever reason, and updates the
// learnt means from complete ones. Unknown attempts are ignored, so it may be called twice.
func (v *View) NoteFinished(id ID, end End, now time.Time) {
	f := v.flights[id]
	if f == nil {
		return
	}
	v.removeFlight(id, f)
	if !end.Complete {
		return
	}
	f.engine.group.holdTime.observe(now.Sub(f.placed).Seconds(), now, v.opts.RateHalfLife)
	if f.MaxTokens > 0 {
		share := float64(end.AnswerTokens) / float64(f.MaxTokens)
		v.ensureModel(f.Model).answerShare.observe(share, now, v.opts.RateHalfLife)
	}
	v.observeDecodeRate(f, end.AnswerTokens, now)
}

func (v *View) observeDecodeRate(f *flight, answer int, now time.Time) {
	if f.firstToken.IsZero() || answer < minObservedAnswer {
		return
	}
	took := now.Sub(f.firstToken).Seconds()
	if took <= 0 {
		return
	}
	f.engine.decodeRate.observe(float64(answer-1)/took, now, v.opts.RateHalfLife)
}

// Expire removes attempts whose end was not recorded until FlightGrace after their
// deadline, or for MaxFlight without one, and returns their number. A result other than
// zero is a fault of the caller. Without Expire a missing NoteFinished would take up
// memory in the view for ever.
func (v *View) Expire(now time.Time) int {
	n := 0
	for id, f := range v.flights {
		limit := f.placed.Add(v.opts.MaxFlight)
		if !f.Deadline.IsZero() {
			limit = f.Deadline.Add(v.opts.FlightGrace)
		}
		if now.After(limit) {
			v.removeFlight(id, f)
			n++
		}
	}
	return n
}

func (v *View) removeFlight(id ID, f *flight) {
	delete(v.flights, id)
	e := f.engine
	e.inFlightMemory -= f.memory
	e.inFlight--
	if !f.pending {
		return
	}
	f.removeFromPending()
	at := slices.Index(e.pending, f)
	e.pending = slices.Delete(e.pending, at, at+1)
}

// removeReported removes the placements up to a time from the pending ones, because the
// report includes them.
func (e *Engine) removeReported(until time.Time) {
	e.pending = slices.DeleteFunc(e.pending, func(f *flight) bool {
		if f.placed.After(until) {
			return false
		}
		f.removeFromPending()
		return true
	})
}

func (f *flight) removeFromPending() {
	f.clearPrefill()
	f.engine.pendingLoad.memory -= f.memory
	f.engine.pendingLoad.requests--
	f.pending = false
}

func (f *flight) clearPrefill() {
	if f.pending {
		f.engine.pendingLoad.prefill[f.priority] -= f.prefill
	}
	f.prefill = 0
}
