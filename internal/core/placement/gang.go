package placement

import "slices"

// gang decides on a request that no able engine can hold by itself. Members are
// of one failure domain, because a front sends only to engines of its own.
func (t *task) gang(d *Decision, g *group, able []*Engine) {
	need := t.ask.MemoryNeeded()
	if size := gangSize(able, need); size > 0 {
		d.Verdict = NeedsGang
		d.Reason = ReasonOverOneEngine
		d.GangSize = size
		d.GangDomain = g.domain
		return
	}
	limit, unknown := t.knownMemory(g)
	switch {
	case unknown:
		d.Verdict = NoEngine
		d.Reason = ReasonMemoryUnknown
	case need <= limit:
		d.Verdict = NoEngine
		d.Reason = ReasonGangEnginesMissing
	default:
		d.Verdict = NeverPossible
		d.Reason = ReasonOverPool
		d.MemoryLimit = limit
	}
	if d.Verdict == NoEngine {
		s := t.view.estimator(g, t.ask, d.EnginePriority, t.now)
		d.Backlog = s.backlog(g)
	}
}

// gangSize returns the fewest engines that hold need tokens together, zero when
// all of them do not.
func gangSize(engines []*Engine, need int64) int {
	sizes := make([]int64, len(engines))
	for i, e := range engines {
		sizes[i] = e.report.MemoryTotal
	}
	slices.Sort(sizes)
	slices.Reverse(sizes)
	for i, size := range sizes {
		need -= size
		if need <= 0 {
			return i + 1
		}
	}
	return 0
}

// knownMemory sums the memory of all engines that could serve the model when they
// are well. Unknown is true when one of them has not reported its memory.
func (t *task) knownMemory(g *group) (sum int64, unknown bool) {
	for _, e := range g.engines {
		if !e.serves(t.ask.Model) {
			continue
		}
		if !e.knowsMemory() {
			unknown = true
		}
		sum += e.report.MemoryTotal
	}
	return sum, unknown
}
