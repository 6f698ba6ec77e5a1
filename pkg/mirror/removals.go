package mirror

import "ospreymoor.example/ospreymoor/pkg/kv"

// maxRemovals is how many removals are remembered; beyond it, deltas name all keys until later
// removals are remembered again.
// Chosen, not measured.
const maxRemovals = 1000

// removals remembers which keys were removed lately (tombstones).
type removals struct {
	// floor is the revision after which all removals are remembered.
	floor int64
	// at is the revision of each key's latest removal.
	at map[string]int64
}

// add remembers a removal. If there are too many, it forgets all earlier ones.
func (r *removals) add(key string, revision int64) {
	if r.at == nil {
		r.at = map[string]int64{}
	}
	if len(r.at) >= maxRemovals {
		for _, at := range r.at {
			r.floor = max(r.floor, at)
		}
		clear(r.at)
	}
	r.at[key] = revision
}

// addMissing remembers the keys that the records of a newer revision lack of an older state. Before
// the first state, nothing is known of earlier removals.
func (r *removals) addMissing(old State, records map[string]kv.Record, revision int64) {
	if old.Revision == 0 {
		r.floor = revision
		return
	}
	for key := range old.Records {
		if _, held := records[key]; !held {
			r.add(key, revision)
		}
	}
}

// since returns the keys that were removed after a revision, also those created again later; false
// if not all are remembered.
func (r *removals) since(revision int64) (keys []string, known bool) {
	if revision < r.floor {
		return nil, false
	}
	for key, at := range r.at {
		if at > revision {
			keys = append(keys, key)
		}
	}
	return keys, true
}
