package dispatch

import (
	"container/list"
	"time"
)

// prefixCache models which beginnings of prompts one engine keeps: those used last, up to its
// memory.
type prefixCache struct {
	capacity int
	tokens   int
	order    *list.List
	entries  map[uint64]*list.Element
}

// keptPiece is a piece in the cache.
type keptPiece struct {
	PrefixBlock
	// told is when the peers last heard that a prompt with the piece was sent.
	told time.Time
}

// tellAgain is after how long the peers are told again that a prompt was sent to the same engine:
// it is kept for longer then, but is as well known as before.
const tellAgain = 5 * time.Second

func newPrefixCache(capacity int) *prefixCache {
	return &prefixCache{capacity: capacity, order: list.New(), entries: map[uint64]*list.Element{}}
}

// kept counts the tokens of a prompt's beginning that the engine keeps.
func (c *prefixCache) kept(pieces []PrefixBlock) int {
	tokens := 0
	for _, piece := range pieces {
		if _, ok := c.entries[piece.Key]; !ok {
			break
		}
		tokens += piece.Tokens
	}
	return tokens
}

// use notes that the engine was sent a prompt.
func (c *prefixCache) use(pieces []PrefixBlock) {
	for _, piece := range pieces {
		if element, ok := c.entries[piece.Key]; ok {
			c.order.MoveToFront(element)
			continue
		}
		c.entries[piece.Key] = c.order.PushFront(&keptPiece{PrefixBlock: piece})
		c.tokens += piece.Tokens
	}
	for c.tokens > c.capacity && c.order.Len() > 0 {
		oldest := c.order.Back()
		piece := oldest.Value.(*keptPiece)
		c.order.Remove(oldest)
		delete(c.entries, piece.Key)
		c.tokens -= piece.Tokens
	}
}

// tell tells whether the peers should hear now that a prompt was sent, and notes that they do.
func (c *prefixCache) tell(pieces []PrefixBlock, now time.Time) bool {
	due := false
	for _, piece := range pieces {
		element, ok := c.entries[piece.Key]
		if !ok {
			due = true
			continue
		}
		kept := element.Value.(*keptPiece)
		if now.Sub(kept.told) >= tellAgain {
			due = true
			kept.told = now
		}
	}
	return due
}
