package standin

import (
	"container/list"
	"context"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/api/engineapi"
)

// maxCacheEvents is the number of cache events that are kept.
const maxCacheEvents = 10_000

// prefixCache keeps prefix blocks, evicts the least recently used first, and logs
// each change as an event.
type prefixCache struct {
	blockTokens int64
	blocks      map[string]*list.Element
	recent      *list.List // block names; the most recently used is in front
	events      []cacheEvent
	seq         int64
}

type cacheEvent struct {
	engineapi.CacheEvent
	at   time.Time
	lost bool // left out of the answers, by the fault gap_events
}

func newPrefixCache(blockTokens int) *prefixCache {
	c := &prefixCache{blockTokens: int64(blockTokens), blocks: make(map[string]*list.Element), recent: list.New()}
	c.addEvent(engineapi.CacheEventKindCleared, "")
	return c
}

func (c *prefixCache) addEvent(kind engineapi.CacheEventKind, block string) {
	c.seq++
	x := engineapi.CacheEvent{Seq: c.seq, Kind: kind, Block: block}
	c.events = append(c.events, cacheEvent{CacheEvent: x, at: time.Now()})
	if len(c.events) > maxCacheEvents {
		c.events = c.events[1:]
	}
}

// countLeading returns how many blocks, from the first on, are cached without a gap.
func (c *prefixCache) countLeading(blocks []string) int {
	for i, b := range blocks {
		if c.blocks[b] == nil {
			return i
		}
	}
	return len(blocks)
}

// lookup returns the number of tokens in the leading cached blocks and marks these
// blocks as used.
func (c *prefixCache) lookup(blocks []string) int {
	n := c.countLeading(blocks)
	c.touch(blocks[:n])
	return n * int(c.blockTokens)
}

// touch marks blocks as used, in reverse order, so that the first block of a prefix
// is evicted last.
func (c *prefixCache) touch(blocks []string) {
	for i := len(blocks) - 1; i >= 0; i-- {
		if el := c.blocks[blocks[i]]; el != nil {
			c.recent.MoveToFront(el)
		}
	}
}

// store adds blocks. The caller must call trim afterwards.
func (c *prefixCache) store(blocks []string) {
	for _, b := range blocks {
		if c.blocks[b] == nil {
			c.blocks[b] = c.recent.PushFront(b)
			c.addEvent(engineapi.CacheEventKindStored, b)
		}
	}
	c.touch(blocks)
}

// trim evicts blocks until the cache holds no more than the given tokens.
func (c *prefixCache) trim(tokens int64) {
	for int64(c.recent.Len())*c.blockTokens > tokens {
		el := c.recent.Back()
		b, _ := c.recent.Remove(el).(string)
		delete(c.blocks, b)
		c.addEvent(engineapi.CacheEventKindEvicted, b)
	}
}

// removeAll drops all blocks and logs one event for it.
func (c *prefixCache) removeAll() {
	c.blocks = make(map[string]*list.Element)
	c.recent.Init()
	c.addEvent(engineapi.CacheEventKindCleared, "")
}

// cacheBlocks stores the prefix blocks that lie wholly within the run's prompt.
func (e *Engine) cacheBlocks(r *run) {
	whole := min(len(r.req.PrefixBlocks), r.promptTokens/e.opts.BlockTokens)
	e.storeBlocks(r.req.PrefixBlocks[:whole])
}

// storeBlocks adds blocks to the prefix cache. Under the fault gap_events, the
// events with an even number are marked as lost.
func (e *Engine) storeBlocks(blocks []string) {
	before := len(e.cache.events)
	e.cache.store(blocks)
	e.trimCache()
	if !e.faults.isOn(FaultGapEvents) {
		return
	}
	for i := min(before, len(e.cache.events)); i < len(e.cache.events); i++ {
		e.cache.events[i].lost = e.cache.events[i].Seq%2 == 0
	}
}

// GetCacheEvents implements engineapi.Handler. Events appear after their
// delay; lost ones leave a gap in the sequence numbers.
func (e *Engine) GetCacheEvents(_ context.Context, p engineapi.GetCacheEventsParams) (engineapi.GetCacheEventsRes, error) {
	delay := e.opts.EventDelay
	if x, ok := e.faults.get(FaultLateEvents); ok {
		delay += time.Duration(x.Ms) * time.Millisecond
	}
	shown := time.Now().Add(-delay)
	limit := p.Max.Or(1000)
	e.mu.Lock()
	defer e.mu.Unlock()
	res := &engineapi.CacheEvents{Next: max(1, p.From), Events: []engineapi.CacheEvent{}}
	for _, x := range e.cache.events {
		if x.Seq < res.Next {
			continue
		}
		if x.at.After(shown) || len(res.Events) >= limit {
			break
		}
		res.Next = x.Seq + 1
		if !x.lost {
			res.Events = append(res.Events, x.CacheEvent)
		}
	}
	return res, nil
}
