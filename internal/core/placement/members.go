package placement

import (
	"cmp"
	"slices"
	"time"
)

// GangMember is one engine of a gang with its part of the memory.
type GangMember struct {
	Name    string
	Address string // IP:port
	Tokens  int64  // to be reserved
	Prefill int    // prompt tokens of its part
}

// GangMembers chooses the engines of a gang for an ask that Place answered by
// NeedsGang: of the fewest that hold it, those with the least work ahead, so that
// the gang can start soon. The parts are equal as far as the engines' memory
// allows. Nil means that the view no longer offers a gang.
func GangMembers(v *View, a Request, now time.Time) []GangMember {
	p := v.pools[a.Pool]
	if p == nil || p.groups[a.Domain] == nil {
		return nil
	}
	g := p.groups[a.Domain]
	t := task{view: v, ask: &a, now: now}
	var able []*Engine
	for _, e := range g.engines {
		if t.able(e, Live) && e.knowsMemory() {
			able = append(able, e)
		}
	}
	size := gangSize(able, a.MemoryNeeded())
	if size == 0 {
		return nil
	}
	return split(leastHeld(able, size, a.MemoryNeeded()), a)
}

// leastHeld returns size engines that hold need tokens together, the least used
// first. When the least used are too small, larger ones take their place.
func leastHeld(able []*Engine, size int, need int64) []*Engine {
	slices.SortFunc(able, func(a, b *Engine) int {
		return cmp.Or(cmp.Compare(a.memoryTaken(), b.memoryTaken()), byName(a, b))
	})
	chosen := slices.Clone(able[:size])
	if totalMemory(chosen) >= need {
		return chosen
	}
	slices.SortFunc(able, func(a, b *Engine) int {
		return cmp.Or(cmp.Compare(b.report.MemoryTotal, a.report.MemoryTotal), byName(a, b))
	})
	return able[:size]
}

// memoryTaken returns the memory in use as far as is known here.
func (e *Engine) memoryTaken() int64 {
	return e.report.MemoryUsed + e.own.memory
}

func totalMemory(engines []*Engine) (sum int64) {
	for _, e := range engines {
		sum += e.report.MemoryTotal
	}
	return sum
}

// split gives each engine an equal part of what is left, the smallest engine
// first, so that a part over an engine's memory moves to larger ones.
func split(engines []*Engine, a Request) []GangMember {
	slices.SortFunc(engines, func(a, b *Engine) int {
		return cmp.Or(cmp.Compare(a.report.MemoryTotal, b.report.MemoryTotal), byName(a, b))
	})
	need := a.MemoryNeeded()
	members := make([]GangMember, 0, len(engines))
	for i, e := range engines {
		left := int64(len(engines) - i)
		part := min((need+left-1)/left, e.report.MemoryTotal)
		need -= part
		members = append(members, GangMember{
			Name:    e.spec.Name,
			Address: e.spec.Address,
			Tokens:  part,
			Prefill: a.Tokens / len(engines),
		})
	}
	slices.SortFunc(members, func(a, b GangMember) int { return cmp.Compare(a.Name, b.Name) })
	return members
}
