package dispatch

import (
	"container/list"
	"time"
)

const (
	// prefixCacheShare is the part of an engine's memory, in tokens, that is expected to hold
	// prefixes of earlier prompts.
	prefixCacheShare = 0.7
	// reshareInterval is after how long the peers are sent a prompt again that goes to the same
	// engine. In between they know it as well, only not that it was used again.
	reshareInterval = 5 * time.Second
)

// prefixCache models which prefixes one engine has cached: those used last, up to a number of
// tokens. All boxes' prompts count, so that each box has about the same model of each engine.
//
// The prefix index of pkg/routing follows another rule: it cuts a prompt's text into blocks of
// equal length, remembers only the last engine of each, and does not model engines' memory.
type prefixCache struct {
	// capacity and tokens, which are taken, are in tokens.
	capacity int
	tokens   int
	// order has the block used last in front.
	order   *list.List
	entries map[uint64]*list.Element
}

// cachedBlock is a value of the cache's order.
type cachedBlock struct {
	PrefixBlock
	// sharedAt is when a prompt with the block was last shared between this box and a peer.
	sharedAt time.Time
}

// prefixCacheCapacity is the tokens of prefixes that an engine with so many tokens of memory has
// room for.
func prefixCacheCapacity(memory int) int { return int(prefixCacheShare * float64(memory)) }

func newPrefixCache(capacity int) *prefixCache {
	return &prefixCache{capacity: capacity, order: list.New(), entries: map[uint64]*list.Element{}}
}

// cachedTokens is the length of a prompt's prefix that the engine has probably cached. A nil cache
// has none.
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

// add records that the engine was sent a prompt, and drops what was not used for longest.
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
		c.dropOldest()
	}
}

func (c *prefixCache) dropOldest() {
	oldest := c.order.Back()
	block := oldest.Value.(*cachedBlock)
	c.order.Remove(oldest)
	delete(c.entries, block.Key)
	c.tokens -= block.Tokens
}

// markShared records that a prompt is shared with the peers now. It reports whether that is due: a
// block was not shared for reshareInterval, or is not cached.
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
