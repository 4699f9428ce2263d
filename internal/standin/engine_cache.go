package standin

import (
	"container/list"
	"context"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/api/engineapi"
)

const maxCacheEvents = 10_000

// prefixCache keeps prefix blocks, the least recently used going first, and the
// events that tell of them.
type prefixCache struct {
	blockTokens int64
	blocks      map[string]*list.Element
	recent      *list.List // of block names; the front was used last
	events      []cacheEvent
	seq         int64
}

type cacheEvent struct {
	engineapi.CacheEvent
	at   time.Time
	lost bool
}

func newPrefixCache(blockTokens int) *prefixCache {
	c := &prefixCache{blockTokens: int64(blockTokens), blocks: make(map[string]*list.Element), recent: list.New()}
	c.tell(engineapi.CacheEventKindCleared, "")
	return c
}

func (c *prefixCache) tell(kind engineapi.CacheEventKind, block string) {
	c.seq++
	x := engineapi.CacheEvent{Seq: c.seq, Kind: kind, Block: block}
	c.events = append(c.events, cacheEvent{CacheEvent: x, at: time.Now()})
	if len(c.events) > maxCacheEvents {
		c.events = c.events[1:]
	}
}

// leading returns how many of the blocks are here without a gap.
func (c *prefixCache) leading(blocks []string) int {
	for i, b := range blocks {
		if c.blocks[b] == nil {
			return i
		}
	}
	return len(blocks)
}

// lookup returns the tokens of the leading blocks and marks them as used.
func (c *prefixCache) lookup(blocks []string) int {
	n := c.leading(blocks)
	c.touch(blocks[:n])
	return n * int(c.blockTokens)
}

// touch marks blocks as used, the first of them last, so that a prefix outlives
// its continuation.
func (c *prefixCache) touch(blocks []string) {
	for i := len(blocks) - 1; i >= 0; i-- {
		if el := c.blocks[blocks[i]]; el != nil {
			c.recent.MoveToFront(el)
		}
	}
}

// store adds blocks; trim has to follow.
func (c *prefixCache) store(blocks []string) {
	for _, b := range blocks {
		if c.blocks[b] == nil {
			c.blocks[b] = c.recent.PushFront(b)
			c.tell(engineapi.CacheEventKindStored, b)
		}
	}
	c.touch(blocks)
}

// trim evicts until the cache keeps no more than the tokens.
func (c *prefixCache) trim(tokens int64) {
	for int64(c.recent.Len())*c.blockTokens > tokens {
		el := c.recent.Back()
		b, _ := c.recent.Remove(el).(string)
		delete(c.blocks, b)
		c.tell(engineapi.CacheEventKindEvicted, b)
	}
}

// clear drops all blocks.
func (c *prefixCache) clear() {
	c.blocks = make(map[string]*list.Element)
	c.recent.Init()
	c.tell(engineapi.CacheEventKindCleared, "")
}

// cacheBlocks keeps what a run has computed of its prefix.
func (e *Engine) cacheBlocks(r *run) {
	whole := min(len(r.req.PrefixBlocks), r.promptTokens/e.opts.BlockTokens)
	e.storeBlocks(r.req.PrefixBlocks[:whole])
}

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

// GetCacheEvents implements engineapi.Handler. Events show when their delay is
// over; lost ones leave a gap in the sequence numbers.
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
