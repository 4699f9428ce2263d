package placement

import (
	"cmp"
	"slices"
	"time"
)

// GangMember is one engine of a gang with its part of the request.
type GangMember struct {
	Name    string
	Address string // IP:port
	Tokens  int64  // memory to be reserved
	Prefill int    // prompt tokens of its part
}

// GangMembers chooses the engines of a gang for a request that Place answered with
// NeedsGang. It takes the smallest number of engines that can hold the request, of those
// the least used, so that the gang can start soon. The parts are equal as far as the
// engines' memory allows. GangMembers returns nil when the engines no longer suffice.
func GangMembers(v *View, r Request, now time.Time) []GangMember {
	p := v.pools[r.Pool]
	if p == nil || p.groups[r.Domain] == nil {
		return nil
	}
	g := p.groups[r.Domain]
	t := task{view: v, req: &r, now: now}
	var eligible []*Engine
	for _, e := range g.engines {
		if t.eligible(e, Live) && e.knowsMemory() {
			eligible = append(eligible, e)
		}
	}
	size := gangSize(eligible, r.MemoryNeeded())
	if size == 0 {
		return nil
	}
	return splitRequest(leastUsed(eligible, size, r.MemoryNeeded()), r)
}

// leastUsed returns the size least used engines, or the size largest ones when the memory
// of the least used does not add up to need tokens.
func leastUsed(eligible []*Engine, size int, need int64) []*Engine {
	slices.SortFunc(eligible, func(a, b *Engine) int {
		return cmp.Or(cmp.Compare(a.memoryTaken(), b.memoryTaken()), byName(a, b))
	})
	chosen := slices.Clone(eligible[:size])
	if totalMemory(chosen) >= need {
		return chosen
	}
	slices.SortFunc(eligible, func(a, b *Engine) int {
		return cmp.Or(cmp.Compare(b.report.MemoryTotal, a.report.MemoryTotal), byName(a, b))
	})
	return eligible[:size]
}

// memoryTaken returns the memory in use in tokens, as far as known.
func (e *Engine) memoryTaken() int64 {
	return e.report.MemoryUsed + e.pendingLoad.memory
}

func totalMemory(engines []*Engine) (sum int64) {
	for _, e := range engines {
		sum += e.report.MemoryTotal
	}
	return sum
}

// splitRequest assigns each engine an equal part of the remaining tokens, the smallest engine
// first, so that what exceeds an engine's memory moves to larger ones.
func splitRequest(engines []*Engine, r Request) []GangMember {
	slices.SortFunc(engines, func(a, b *Engine) int {
		return cmp.Or(cmp.Compare(a.report.MemoryTotal, b.report.MemoryTotal), byName(a, b))
	})
	need := r.MemoryNeeded()
	members := make([]GangMember, 0, len(engines))
	for i, e := range engines {
		left := int64(len(engines) - i)
		part := min((need+left-1)/left, e.report.MemoryTotal)
		need -= part
		members = append(members, GangMember{
			Name:    e.spec.Name,
			Address: e.spec.Address,
			Tokens:  part,
			Prefill: r.Tokens / len(engines),
		})
	}
	slices.SortFunc(members, func(a, b GangMember) int { return cmp.Compare(a.Name, b.Name) })
	return members
}
