package dispatch

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"ospreymoor.example/ospreymoor/pkg/fleet"
)

// preferredEngine is the candidate that all boxes prefer for a prompt, by rendezvous hashing: the
// one with the highest hash of the prompt's shared prefix and its id. So prompts that share a
// prefix meet on one engine before any has it cached, and only prompts of an engine that goes move
// elsewhere. It is empty for a prompt without a shared prefix.
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
