package routing

import (
	"github.com/cespare/xxhash/v2"
	lru "github.com/hashicorp/golang-lru/v2"
)

const (
	// maxIndexedBlocks bounds the number of blocks that are remembered.
	maxIndexedBlocks = 20_000
	// blockBytes is the length of the part of a prompt that one block covers.
	blockBytes = 256
	// maxBlocks bounds how many blocks of a prompt are considered.
	maxBlocks = 16
)

// prefixIndex remembers the upstream that each block of a prompt was last sent to. A block stands for
// the whole prefix up to its end.
//
// The prefix cache of pkg/dispatch follows another rule: it is one model of each engine's memory, fed
// by all boxes, with the parts and tokens that requests state. This index uses only the text of the
// prompts that this box sent.
type prefixIndex struct {
	lastUpstream *lru.Cache[uint64, string]
}

func newPrefixIndex() *prefixIndex {
	lastUpstream, err := lru.New[uint64, string](maxIndexedBlocks)
	if err != nil {
		panic(err) // lru.New fails only for a size that is not positive.
	}
	return &prefixIndex{lastUpstream: lastUpstream}
}

// cachedShares returns, by upstream, the share of the prompt's blocks that it has probably cached, from
// 0 to 1.
func (p *prefixIndex) cachedShares(model, prompt string) map[string]float64 {
	hashes := blockHashes(model, prompt)
	shares := map[string]float64{}
	for i, hash := range hashes {
		upstream, ok := p.lastUpstream.Get(hash)
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
		p.lastUpstream.Add(hash, upstream)
	}
}

// drop removes all blocks of an upstream.
func (p *prefixIndex) drop(upstream string) {
	for _, hash := range p.lastUpstream.Keys() {
		if last, ok := p.lastUpstream.Peek(hash); ok && last == upstream {
			p.lastUpstream.Remove(hash)
		}
	}
}

// blockHashes returns one hash for each whole block of the prompt, up to maxBlocks. Each covers the
// model and all blocks up to its own.
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
