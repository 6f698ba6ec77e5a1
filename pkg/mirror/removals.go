package mirror

import "slices"

// minRemovalLimit is the lower bound of the limit on remembered removals. A copy with more records remembers up to as
// many removals as it has records: if all entries of a hall lapse at once, deltas then name the removed keys and need
// not list all keys.
const minRemovalLimit = 1000

// removals has tombstones of recently removed keys.
type removals struct {
	// floor is the revision after which all removals are remembered.
	floor int64
	log   revisionLog
}

// add remembers a removal. If there are too many, it forgets all but the latest half of the limit.
func (r *removals) add(key string, revision int64, records int) {
	at := r.log.indexAfter(revision)
	r.log = slices.Insert(r.log, at, keyChange{revision, key})
	if limit := max(minRemovalLimit, records); len(r.log) > limit {
		forgotten := len(r.log) - limit/2
		r.floor = max(r.floor, r.log[forgotten-1].revision)
		r.log = slices.Clone(r.log[forgotten:])
	}
}

// addDelta remembers the removals of a delta, including keys that this copy never had, because a box whose copy is
// between the delta's revisions may have them. A delta that does not name its removals resets the list.
func (r *removals) addDelta(delta Delta, records int) {
	if delta.HasAllKeys {
		r.reset(delta.Revision)
		return
	}
	for _, key := range delta.Removed {
		r.add(key, delta.Revision, records)
	}
}

// reset forgets all removals up to a revision, because keys may have been created and removed before it that this
// copy never had.
func (r *removals) reset(revision int64) {
	r.floor = revision
	r.log = nil
}

// since returns the keys that were removed after a revision, including those created again later. It returns false if
// not all of them are remembered.
func (r *removals) since(revision int64) (keys []string, known bool) {
	if revision < r.floor {
		return nil, false
	}
	seen := map[string]bool{}
	for _, entry := range r.log[r.log.indexAfter(revision):] {
		if !seen[entry.key] {
			seen[entry.key] = true
			keys = append(keys, entry.key)
		}
	}
	return keys, true
}
