package dispatch

import "github.com/cespare/xxhash/v2"

// PromptPart is one part of a prompt. Requests may share parts, except the last one, which is taken to be the
// request's own.
type PromptPart struct {
	ID     string
	Tokens int
}

// PrefixBlock is a prompt's prefix up to the end of one part, for one model and adapter.
type PrefixBlock struct {
	// Key is a hash of the model, the adapter and all parts up to this one.
	Key uint64 `json:"k"`
	// Tokens is the length of the last part alone.
	Tokens int `json:"t"`
}

// PrefixBlocks returns the prefixes of a prompt, shortest first.
func PrefixBlocks(model, adapter string, parts []PromptPart) []PrefixBlock {
	digest := xxhash.New()
	_, _ = digest.WriteString(model)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(adapter)
	blocks := make([]PrefixBlock, len(parts))
	for i, part := range parts {
		_, _ = digest.Write([]byte{0})
		_, _ = digest.WriteString(part.ID)
		blocks[i] = PrefixBlock{Key: digest.Sum64(), Tokens: part.Tokens}
	}
	return blocks
}

// sharedBlocks returns the blocks of a prompt without the last one, which no other request shares.
func sharedBlocks(blocks []PrefixBlock) []PrefixBlock { return blocks[:max(0, len(blocks)-1)] }
