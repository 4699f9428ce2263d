package placement

import (
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/buckthorndock/buckthorndock/internal/core/request"
)

const unranked = -1

// Engine is what a front knows of one upstream. For a server of a plain service there
// are no load reports.
type Engine struct {
	spec  Spec
	group *group
	score uint64 // rendezvous hash
	rank  int    // among the live engines of the group, from 0, in the order of rising limits; else unranked
	state State

	report   Report
	reported bool

	pending        []*flight // own placements that no report includes yet
	pendingLoad    pendingLoad
	inFlightMemory int64 // memory in tokens of own unfinished placements
	inFlight       int   // number of own unfinished placements

	prefillRate mean
	decodeRate  mean

	cacheIncarnation string
	cacheNext        int64 // sequence number of the next event; zero before the first
	cached           blockSet
}

// pendingLoad is the load of Engine.pending, which is missing from the last report.
// Invariant: all zero when pending is empty.
type pendingLoad struct {
	prefill  [request.NumPriorities]int64 // prompt tokens
	memory   int64                        // tokens
	requests int
}

func newEngine(s Spec, g *group) *Engine {
	return &Engine{spec: s, group: g, score: rendezvousScore(g.pool, s.Name), rank: unranked}
}

// Name returns the name of the upstream.
func (e *Engine) Name() string { return e.spec.Name }

// Address returns the upstream's IP:port.
func (e *Engine) Address() string { return e.spec.Address }

// Domain returns the upstream's failure domain.
func (e *Engine) Domain() string { return e.spec.Domain }

// Pool returns the upstream's pool.
func (e *Engine) Pool() string { return e.group.pool }

// State returns the upstream's state. It is Leaving also when only the last report says
// so, unless the upstream is dead.
func (e *Engine) State() State {
	if e.report.Leaving && e.state != Dead {
		return Leaving
	}
	return e.state
}

// Report returns the last load report; ok is false when there is none.
func (e *Engine) Report() (r Report, ok bool) { return e.report, e.reported }

// InFlight returns the number of the front's own unfinished placements.
func (e *Engine) InFlight() int { return e.inFlight }

// CachedBlocks returns the number of prefix blocks known to be cached on the engine.
func (e *Engine) CachedBlocks() int { return e.cached.len() }

// UnreportedLoad returns the load of the front's own placements that the last report
// does not include: their number, their prompt tokens not yet computed, and their
// memory in tokens.
func (e *Engine) UnreportedLoad() (requests int, prefill, memory int64) {
	for _, n := range e.pendingLoad.prefill {
		prefill += n
	}
	return e.pendingLoad.requests, prefill, e.pendingLoad.memory
}

// TakesLong reports whether the boundary allows long prompts on the engine, as of the
// last placement.
func (e *Engine) TakesLong() bool {
	e.group.rankLive()
	return e.limit() == anyLength
}

func (e *Engine) acceptsWork() bool {
	return e.state == Live && !e.report.Leaving
}

// isNewer reports whether r is newer than the last report. A new incarnation starts its
// sequence numbers again, so between incarnations the time decides.
func (e *Engine) isNewer(r *Report) bool {
	if !e.reported {
		return true
	}
	if r.Incarnation == e.report.Incarnation {
		return r.Seq > e.report.Seq
	}
	return r.Taken.After(e.report.Taken)
}

// reset clears the state that belongs to the engine's process: its cache, its report and
// the correction of the report.
func (e *Engine) reset() {
	e.clearCache()
	e.report = Report{}
	e.reported = false
	for _, f := range e.pending {
		f.pending = false
	}
	e.pending = nil
	e.pendingLoad = pendingLoad{}
}

// serves reports whether the engine has the model. Without a list of models in its
// report, it is assumed to have it, as the settings say.
func (e *Engine) serves(model string) bool {
	if model == "" || len(e.report.Models) == 0 {
		return true
	}
	for _, m := range e.report.Models {
		if m == model {
			return true
		}
		if strings.HasPrefix(m, model) && m[len(model)] == '@' {
			return true // name@version
		}
	}
	return false
}

// free returns the memory in tokens for new work. The memory in use is at least that of
// the front's own unfinished requests, because a report may count a growing request by
// its current size.
func (e *Engine) free() int64 {
	used := max(e.report.MemoryUsed+e.pendingLoad.memory, e.inFlightMemory)
	return e.report.MemoryTotal - used
}

func (e *Engine) knowsMemory() bool {
	return e.report.MemoryTotal > 0
}

// hasFreeMemory reports whether need tokens fit now. An engine of unknown memory is
// assumed to have them.
func (e *Engine) hasFreeMemory(need int64) bool {
	return !e.knowsMemory() || need <= e.free()
}

// requests returns the number of requests on the engine, as far as known.
func (e *Engine) requests() int {
	return e.report.Running + e.report.Queued + e.pendingLoad.requests
}

func (e *Engine) estimatePrefillRate(o *Options, now time.Time) float64 {
	prior := e.report.PrefillRate
	if !(prior > 0) {
		prior = o.PrefillRate
	}
	return e.prefillRate.value(prior, now, o.RateHalfLife)
}

func (e *Engine) estimateDecodeRate(o *Options, now time.Time) float64 {
	prior := e.report.DecodeRate
	if !(prior > 0) {
		prior = o.DecodeRate
	}
	return e.decodeRate.value(prior, now, o.RateHalfLife)
}

// ShortIncarnation returns the short form of an engine's incarnation, used in reports.
// Load reports come from engines and, with the short form, from their owners; the two
// must match.
func ShortIncarnation(incarnation string) string {
	if incarnation == "" {
		return ""
	}
	return strconv.FormatUint(uint64(uint32(xxhash.Sum64String(incarnation))), hexBase)
}
