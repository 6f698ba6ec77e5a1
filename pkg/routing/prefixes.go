package routing

import (
	"github.com/cespare/xxhash/v2"
	lru "github.com/hashicorp/golang-lru/v2"
)

const (
	// blockBytes is the length of prompt that one cache entry stands for.
	blockBytes = 256
	// maxBlocks bounds how much of a prompt is looked at.
	maxBlocks = 16
)

// prefixes remembers which upstream was last sent each beginning of a prompt.
type prefixes struct {
	last *lru.Cache[uint64, string]
}

func newPrefixes(size int) *prefixes {
	last, err := lru.New[uint64, string](size)
	if err != nil {
		panic(err) // The size is positive, see New.
	}
	return &prefixes{last: last}
}

// holders returns the share of the prompt that each upstream probably has cached.
func (p *prefixes) holders(model, prompt string) map[string]float64 {
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

// add notes that an upstream was sent a prompt.
func (p *prefixes) add(model, prompt, upstream string) {
	for _, hash := range blockHashes(model, prompt) {
		p.last.Add(hash, upstream)
	}
}

// forget drops all that an upstream was sent.
func (p *prefixes) forget(upstream string) {
	for _, hash := range p.last.Keys() {
		if holder, ok := p.last.Peek(hash); ok && holder == upstream {
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
