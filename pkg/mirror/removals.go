package mirror

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

// addDelta remembers what a delta removed, also keys that this copy never had: a box whose copy is between
// the delta's revisions may have them. Where the delta does not name them, see restart.
func (r *removals) addDelta(delta Delta) {
	if delta.Whole {
		r.restart(delta.Revision)
		return
	}
	for _, key := range delta.Removed {
		r.add(key, delta.Revision)
	}
}

// restart forgets all removals up to a revision: keys may have come and gone before it that this copy
// never had.
func (r *removals) restart(revision int64) {
	r.floor = revision
	clear(r.at)
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
