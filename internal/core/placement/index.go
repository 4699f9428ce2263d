package placement

import "slices"

// prefixIndex maps a block to the engines of a group that have it cached.
type prefixIndex struct {
	holders map[uint64][]*Engine
}

func newPrefixIndex() prefixIndex {
	return prefixIndex{holders: map[uint64][]*Engine{}}
}

func (x *prefixIndex) add(block uint64, e *Engine) {
	x.holders[block] = append(x.holders[block], e)
}

func (x *prefixIndex) remove(block uint64, e *Engine) {
	left := slices.DeleteFunc(x.holders[block], func(h *Engine) bool { return h == e })
	if len(left) == 0 {
		delete(x.holders, block)
		return
	}
	x.holders[block] = left
}

// depth returns the number of leading blocks that each are cached on some engine.
func (x *prefixIndex) depth(blocks []uint64) int {
	for i, b := range blocks {
		if len(x.holders[b]) == 0 {
			return i
		}
	}
	return len(blocks)
}

// blockSet is the set of cached blocks of one engine, with the order in which they were last
// added, so that the least recently added can be removed.
type blockSet struct {
	blocks map[uint64]uint64 // to the number of its last use
	order  []use             // oldest first; those of removed or renewed blocks are stale
	uses   uint64
}

type use struct {
	block uint64
	n     uint64
}

func (s *blockSet) len() int { return len(s.blocks) }

func (s *blockSet) has(block uint64) bool {
	_, ok := s.blocks[block]
	return ok
}

// add adds or renews a block and reports whether it is new.
func (s *blockSet) add(block uint64) bool {
	if s.blocks == nil {
		s.blocks = map[uint64]uint64{}
	}
	known := s.has(block)
	s.uses++
	s.blocks[block] = s.uses
	s.order = append(s.order, use{block: block, n: s.uses})
	s.compact()
	return !known
}

func (s *blockSet) remove(block uint64) bool {
	if !s.has(block) {
		return false
	}
	delete(s.blocks, block)
	return true
}

// removeOldest removes and returns the block that was added or renewed the longest time ago.
// The set must not be empty.
func (s *blockSet) removeOldest() uint64 {
	for {
		t := s.order[0]
		s.order = s.order[1:]
		if s.blocks[t.block] == t.n {
			delete(s.blocks, t.block)
			return t.block
		}
	}
}

// compact removes stale entries from order when it has grown to more than about twice the
// number of blocks.
func (s *blockSet) compact() {
	const slack = 64
	if len(s.order) <= 2*len(s.blocks)+slack {
		return
	}
	kept := make([]use, 0, len(s.blocks))
	for _, t := range s.order {
		if s.blocks[t.block] == t.n {
			kept = append(kept, t)
		}
	}
	s.order = kept
}

// applyCacheEvent applies an event and returns the number of events missed before it. bound is
// the largest number of blocks to keep.
func (e *Engine) applyCacheEvent(ev CacheEvent, bound int) (missed int64) {
	if ev.Seq < e.cacheNext {
		return 0
	}
	if e.cacheNext > 0 {
		missed = ev.Seq - e.cacheNext
	}
	e.cacheNext = ev.Seq + 1
	switch ev.Kind {
	case Stored:
		e.store(ev.Block, bound)
	case Evicted:
		e.evict(ev.Block)
	case Cleared:
		e.clearBlocks()
	}
	return missed
}

func (e *Engine) store(block uint64, bound int) {
	if !e.cached.add(block) {
		return
	}
	e.group.prefixes.add(block, e)
	for e.cached.len() > bound {
		e.group.prefixes.remove(e.cached.removeOldest(), e)
	}
}

func (e *Engine) evict(block uint64) {
	if e.cached.remove(block) {
		e.group.prefixes.remove(block, e)
	}
}

func (e *Engine) clearBlocks() {
	for block := range e.cached.blocks {
		e.group.prefixes.remove(block, e)
	}
	e.cached = blockSet{}
}

func (e *Engine) clearCache() {
	e.clearBlocks()
	e.cacheNext = 0
}

// cachedDepth returns the number of leading blocks, at most limit, that the engine has
// cached. The first missing block ends the usable prefix.
func (e *Engine) cachedDepth(blocks []uint64, limit int) int {
	for i, b := range blocks[:limit] {
		if !e.cached.has(b) {
			return i
		}
	}
	return limit
}
