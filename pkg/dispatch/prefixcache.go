package dispatch

import (
	"container/list"
	"time"
)

const (
	// prefixCacheShare is the fraction of an engine's memory, in tokens, that is expected to hold prefixes
	// of earlier prompts.
	prefixCacheShare = 0.7
	// reshareInterval is the time after which a prompt that goes to the same engine is sent to the peers
	// again. Until then the peers have it in their model, but do not learn that it was used again.
	reshareInterval = 5 * time.Second
)

// prefixCache models which prefixes one engine has cached: the most recently used ones, up to a number of
// tokens. The prompts of all boxes count, so that each box has about the same model of each engine.
//
// The prefix index of pkg/routing works differently: it cuts a prompt's text into blocks of equal length,
// remembers only the last engine of each, and does not model engine memory.
type prefixCache struct {
	// capacity and the tokens in use are both in tokens.
	capacity int
	tokens   int
	// order lists the blocks, most recently used first.
	order   *list.List
	entries map[uint64]*list.Element
}

// cachedBlock is an element of prefixCache.order.
type cachedBlock struct {
	PrefixBlock
	// sharedAt is when a prompt with this block was last exchanged between this box and its peers.
	sharedAt time.Time
}

// prefixCacheCapacity returns the number of prefix tokens that an engine with this memory, in tokens, holds.
func prefixCacheCapacity(memory int) int { return int(prefixCacheShare * float64(memory)) }

func newPrefixCache(capacity int) *prefixCache {
	return &prefixCache{capacity: capacity, order: list.New(), entries: map[uint64]*list.Element{}}
}

// cachedTokens returns the length of the prompt's prefix that the engine has probably cached; 0 for a nil
// cache.
func (c *prefixCache) cachedTokens(blocks []PrefixBlock) int {
	if c == nil {
		return 0
	}
	tokens := 0
	for _, block := range blocks {
		if _, ok := c.entries[block.Key]; !ok {
			break
		}
		tokens += block.Tokens
	}
	return tokens
}

// add records that the engine was sent a prompt, and evicts the least recently used blocks.
func (c *prefixCache) add(blocks []PrefixBlock) {
	for _, block := range blocks {
		if element, ok := c.entries[block.Key]; ok {
			c.order.MoveToFront(element)
			continue
		}
		c.entries[block.Key] = c.order.PushFront(&cachedBlock{PrefixBlock: block})
		c.tokens += block.Tokens
	}
	for c.tokens > c.capacity && c.order.Len() > 0 {
		c.evictOldest()
	}
}

func (c *prefixCache) evictOldest() {
	oldest := c.order.Back()
	block := oldest.Value.(*cachedBlock)
	c.order.Remove(oldest)
	delete(c.entries, block.Key)
	c.tokens -= block.Tokens
}

// markShared marks a prompt as shared with the peers now. It reports whether sharing was due: a block is not
// cached or was not shared for reshareInterval.
func (c *prefixCache) markShared(blocks []PrefixBlock, now time.Time) bool {
	due := false
	for _, block := range blocks {
		element, ok := c.entries[block.Key]
		if !ok {
			due = true
			continue
		}
		cached := element.Value.(*cachedBlock)
		if now.Sub(cached.sharedAt) >= reshareInterval {
			due = true
			cached.sharedAt = now
		}
	}
	return due
}
