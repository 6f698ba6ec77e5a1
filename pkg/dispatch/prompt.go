package dispatch

import (
	"github.com/cespare/xxhash/v2"
)

// PromptPart is one piece of a prompt; requests share parts.
type PromptPart struct {
	ID     string
	Tokens int
}

// PrefixBlock is a prompt's beginning up to the end of one part, for one model and adapter.
type PrefixBlock struct {
	// Key is a hash of the model, the adapter and all parts up to here.
	Key uint64 `json:"k"`
	// Tokens of the last part alone.
	Tokens int `json:"t"`
}

// PrefixBlocks returns the beginnings of a prompt, shortest first.
func PrefixBlocks(model, adapter string, parts []PromptPart) []PrefixBlock {
	digest := xxhash.New()
	_, _ = digest.WriteString(model)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(adapter)
	pieces := make([]PrefixBlock, len(parts))
	for i, part := range parts {
		_, _ = digest.Write([]byte{0})
		_, _ = digest.WriteString(part.ID)
		pieces[i] = PrefixBlock{Key: digest.Sum64(), Tokens: part.Tokens}
	}
	return pieces
}
