package mirror

import "slices"

// leastRemovals is how many removals are remembered at least. A larger copy remembers as many as it has records, so that a hall whose
// entries lapse at once leaves deltas that name them and not all keys.
const leastRemovals = 1000

// removals remembers which keys were removed lately (tombstones).
type removals struct {
	// floor is the revision after which all removals are remembered.
	floor int64
	// log has the removals in the order of their revisions.
	log revisionLog
}

// add remembers a removal. If there are too many, it forgets the earlier half.
func (r *removals) add(key string, revision int64, records int) {
	at := r.log.after(revision)
	r.log = slices.Insert(r.log, at, keyChange{revision, key})
	if most := max(leastRemovals, records); len(r.log) > most {
		forgotten := len(r.log) - most/2
		r.floor = max(r.floor, r.log[forgotten-1].revision)
		r.log = slices.Clone(r.log[forgotten:])
	}
}

// addDelta remembers what a delta removed, also keys that this copy never had: a box whose copy is between
// the delta's revisions may have them. Where the delta does not name them, see restart.
func (r *removals) addDelta(delta Delta, records int) {
	if delta.Whole {
		r.restart(delta.Revision)
		return
	}
	for _, key := range delta.Removed {
		r.add(key, delta.Revision, records)
	}
}

// restart forgets all removals up to a revision: keys may have come and gone before it that this copy
// never had.
func (r *removals) restart(revision int64) {
	r.floor = revision
	r.log = nil
}

// since returns the keys that were removed after a revision, also those created again later; false
// if not all are remembered.
func (r *removals) since(revision int64) (keys []string, known bool) {
	if revision < r.floor {
		return nil, false
	}
	seen := map[string]bool{}
	for _, entry := range r.log[r.log.after(revision):] {
		if !seen[entry.key] {
			seen[entry.key] = true
			keys = append(keys, entry.key)
		}
	}
	return keys, true
}
