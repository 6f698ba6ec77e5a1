package dispatch

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"ospreymoor.example/ospreymoor/pkg/fleet"
)

// preferredEngine returns the candidate that all boxes prefer for a prompt, by rendezvous hashing: the one
// with the highest hash of the prompt's shared prefix and its ID. Prompts that share a prefix thus go to the
// same engine before any engine has it cached, and only the prompts of a removed engine move elsewhere. It
// returns "" for a prompt without a shared prefix.
func preferredEngine(need Requirements, candidates []*fleet.State) string {
	shared := sharedBlocks(need.Blocks)
	if len(shared) == 0 {
		return ""
	}
	var key [8]byte
	binary.LittleEndian.PutUint64(key[:], shared[len(shared)-1].Key)
	var preferred string
	var highest uint64
	for _, upstream := range candidates {
		digest := xxhash.New()
		_, _ = digest.Write(key[:])
		_, _ = digest.WriteString(upstream.ID)
		if rank := digest.Sum64(); preferred == "" || rank > highest {
			preferred, highest = upstream.ID, rank
		}
	}
	return preferred
}
