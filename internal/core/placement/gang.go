package placement

import "slices"

// decideGang decides on a request that no eligible engine can hold by itself. The members
// of a gang are in one failure domain, because a front sends only to engines of its own.
func (t *task) decideGang(d *Decision, g *group, eligible []*Engine) {
	need := t.req.MemoryNeeded()
	if size := gangSize(eligible, need); size > 0 {
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
		s := t.view.newEstimator(g, t.req, d.EnginePriority, t.now)
		d.Backlog = s.backlog(g)
	}
}

// gangSize returns the smallest number of engines whose memory adds up to need tokens, or
// zero when all of them are too few.
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

// knownMemory sums the memory in tokens of all engines that have the model, whatever their
// state. unknown is true when one of them has not reported its memory.
func (t *task) knownMemory(g *group) (sum int64, unknown bool) {
	for _, e := range g.engines {
		if !e.serves(t.req.Model) {
			continue
		}
		if !e.knowsMemory() {
			unknown = true
		}
		sum += e.report.MemoryTotal
	}
	return sum, unknown
}
