package dispatch

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"ospreymoor.example/ospreymoor/pkg/fleet"
)

// homeOf is the candidate that all processes prefer for a prompt that no engine keeps.
func homeOf(need Requirements, candidates []*fleet.State) string {
	if len(need.Blocks) < 2 {
		return ""
	}
	// The last part is the request's own.
	key := need.Blocks[len(need.Blocks)-2].Key
	var home string
	var highest uint64
	var buffer [8]byte
	binary.LittleEndian.PutUint64(buffer[:], key)
	for _, state := range candidates {
		digest := xxhash.New()
		_, _ = digest.Write(buffer[:])
		_, _ = digest.WriteString(state.ID)
		if rank := digest.Sum64(); home == "" || rank > highest {
			home, highest = state.ID, rank
		}
	}
	return home
}
