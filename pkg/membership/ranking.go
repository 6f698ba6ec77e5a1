package membership

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// Rank returns ids ordered by a hash of purpose and id (rendezvous hashing). All boxes that know the
// same ids compute the same order without exchanging messages, and the loss of a box leaves the
// order of the others unchanged.
func Rank(purpose string, ids []string) []string {
	type scored struct {
		id    string
		score uint64
	}
	scores := make([]scored, len(ids))
	for i, id := range ids {
		scores[i] = scored{id: id, score: xxhash.Sum64String(purpose + "\x00" + id)}
	}
	sort.Slice(scores, func(i, j int) bool {
		if scores[i].score != scores[j].score {
			return scores[i].score > scores[j].score
		}
		return scores[i].id < scores[j].id
	})
	ranked := make([]string, len(ids))
	for i, s := range scores {
		ranked[i] = s.id
	}
	return ranked
}

// IsAmongFirst reports whether id is one of the first n ids in the ranking for a purpose.
func IsAmongFirst(purpose string, ids []string, id string, n int) bool {
	for i, ranked := range Rank(purpose, ids) {
		if i >= n {
			return false
		}
		if ranked == id {
			return true
		}
	}
	return false
}
