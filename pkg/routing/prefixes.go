package routing

import (
	"github.com/cespare/xxhash/v2"
	lru "github.com/hashicorp/golang-lru/v2"
)

const (
	// maxEntries bounds the blocks that are remembered.
	maxEntries = 20_000
	// blockBytes is the length of prompt that one block stands for.
	blockBytes = 256
	// maxBlocks bounds how much of a prompt is looked at.
	maxBlocks = 16
)

// prefixIndex remembers the upstream that was sent each block of a prompt last; a block stands for
// the whole prefix up to its end.
//
// The prefix cache of pkg/dispatch follows another rule: it is one model of each engine's memory,
// fed by all boxes, with the parts and tokens that requests bring. This one knows text only, and
// what this box sent.
type prefixIndex struct {
	last *lru.Cache[uint64, string]
}

func newPrefixIndex() *prefixIndex {
	last, err := lru.New[uint64, string](maxEntries)
	if err != nil {
		panic(err) // Only for a size that is not positive.
	}
	return &prefixIndex{last: last}
}

// cachedShares returns the share of the prompt's blocks, from 0 to 1, that each upstream has
// probably cached.
func (p *prefixIndex) cachedShares(model, prompt string) map[string]float64 {
	hashes := blockHashes(model, prompt)
	shares := map[string]float64{}
	for i, hash := range hashes {
		upstream, ok := p.last.Get(hash)
		if !ok {
			break
		}
		shares[upstream] = float64(i+1) / float64(len(hashes))
	}
	return shares
}

// add records that an upstream was sent a prompt.
func (p *prefixIndex) add(model, prompt, upstream string) {
	for _, hash := range blockHashes(model, prompt) {
		p.last.Add(hash, upstream)
	}
}

// drop drops all blocks of an upstream.
func (p *prefixIndex) drop(upstream string) {
	for _, hash := range p.last.Keys() {
		if last, ok := p.last.Peek(hash); ok && last == upstream {
			p.last.Remove(hash)
		}
	}
}

// blockHashes returns one hash for each whole block of the prompt, each covering all before it.
func blockHashes(model, prompt string) []uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(model)
	_, _ = digest.Write([]byte{0})
	blocks := min(len(prompt)/blockBytes, maxBlocks)
	hashes := make([]uint64, 0, blocks)
	for i := range blocks {
		_, _ = digest.WriteString(prompt[i*blockBytes : (i+1)*blockBytes])
		hashes = append(hashes, digest.Sum64())
	}
	return hashes
}
