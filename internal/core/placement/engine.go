package placement

import (
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/buckthorndock/buckthorndock/internal/core/request"
)

const unranked = -1

// Engine is one upstream as a front sees it. A plain service is one without
// reports.
type Engine struct {
	spec  Spec
	group *group
	score uint64 // rendezvous hash
	rank  int    // among the live ones of the group, from 0; else unranked. Limits rise with it
	state State

	report   Report
	reported bool

	pending  []*flight // own placements that no report has shown yet
	own      pendingSums
	held     int64 // memory in tokens of own placements not finished
	inFlight int   // own placements not finished

	prefillRate mean
	decodeRate  mean

	cacheIncarnation string
	cacheNext        int64 // sequence number after the last event; zero before the first
	cached           blockSet
}

// pendingSums corrects the lag of the last report.
// Invariant: all zero when pending is empty.
type pendingSums struct {
	prefill  [request.NumPriorities]int64 // prompt tokens
	memory   int64                        // tokens
	requests int
}

func newEngine(s Spec, g *group) *Engine {
	return &Engine{spec: s, group: g, score: rendezvousScore(g.pool, s.Name), rank: unranked}
}

// Name returns the name of the upstream.
func (e *Engine) Name() string { return e.spec.Name }

// Address returns its IP:port.
func (e *Engine) Address() string { return e.spec.Address }

// Domain returns its failure domain.
func (e *Engine) Domain() string { return e.spec.Domain }

// Pool returns the pool it belongs to.
func (e *Engine) Pool() string { return e.group.pool }

// State returns its state, Leaving also when only its report says so.
func (e *Engine) State() State {
	if e.report.Leaving && e.state != Dead {
		return Leaving
	}
	return e.state
}

// Report returns the last load report; ok is false before the first.
func (e *Engine) Report() (r Report, ok bool) { return e.report, e.reported }

// InFlight returns the number of own placements not finished.
func (e *Engine) InFlight() int { return e.inFlight }

// CachedBlocks returns the number of prefix blocks known to be cached.
func (e *Engine) CachedBlocks() int { return e.cached.len() }

// UnreportedLoad returns the correction for the lag of the last report: own
// placements, their prompt tokens not yet computed, and their memory in tokens.
func (e *Engine) UnreportedLoad() (requests int, prefill, memory int64) {
	for _, n := range e.own.prefill {
		prefill += n
	}
	return e.own.requests, prefill, e.own.memory
}

// TakesLong reports whether the boundary lets long prompts on this engine. It is
// as of the last placement.
func (e *Engine) TakesLong() bool {
	e.group.rank()
	return e.limit() == anyLength
}

func (e *Engine) accepts() bool {
	return e.state == Live && !e.report.Leaving
}

// newer orders reports. A new incarnation starts its numbers afresh, so between
// incarnations the time decides.
func (e *Engine) newer(r *Report) bool {
	if !e.reported {
		return true
	}
	if r.Incarnation == e.report.Incarnation {
		return r.Seq > e.report.Seq
	}
	return r.Taken.After(e.report.Taken)
}

// restart forgets what died with the process behind the address.
func (e *Engine) restart() {
	e.clearCache()
	e.report = Report{}
	e.reported = false
	for _, f := range e.pending {
		f.pending = false
	}
	e.pending = nil
	e.own = pendingSums{}
}

// serves reports whether the engine has the model. Before its first report the
// settings are believed.
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

// free returns the memory in tokens for new work. Own requests not finished are
// a floor to what is used, as a report may count a growing request by its
// present size.
func (e *Engine) free() int64 {
	used := max(e.report.MemoryUsed+e.own.memory, e.held)
	return e.report.MemoryTotal - used
}

func (e *Engine) knowsMemory() bool {
	return e.report.MemoryTotal > 0
}

// hasRoom reports whether need tokens fit now; an engine of unknown memory is
// given the benefit of the doubt.
func (e *Engine) hasRoom(need int64) bool {
	return !e.knowsMemory() || need <= e.free()
}

// requests returns the requests on the engine as far as known.
func (e *Engine) requests() int {
	return e.report.Running + e.report.Queued + e.own.requests
}

func (e *Engine) prefill(o *Options, now time.Time) float64 {
	prior := e.report.PrefillRate
	if !(prior > 0) {
		prior = o.PrefillRate
	}
	return e.prefillRate.value(prior, now, o.RateHalfLife)
}

func (e *Engine) decode(o *Options, now time.Time) float64 {
	prior := e.report.DecodeRate
	if !(prior > 0) {
		prior = o.DecodeRate
	}
	return e.decodeRate.value(prior, now, o.RateHalfLife)
}

// ShortIncarnation returns the form of an engine's incarnation in reports. Load
// reports come from engines and, shortened, from their owners; both must agree.
func ShortIncarnation(incarnation string) string {
	if incarnation == "" {
		return ""
	}
	return strconv.FormatUint(uint64(uint32(xxhash.Sum64String(incarnation))), hexBase)
}
