package cluster

import (
	"slices"
	"time"

	"ospreymoor.example/ospreymoor/pkg/fleet"
)

// This file packs newer state once for many boxes. The boxes that follow a relay ask it for about the same state at
// about the same time, and packing it for each of them would use up the relay's processor time. Where they are far
// behind, a delta takes seconds to reach all of them, and is kept until then.

const (
	// maxSharedBytes bounds the shared deltas that a box keeps, in packed bytes.
	maxSharedBytes = 8 << 20
	// shortDeltaMaxAge is the maximum age of a short delta that a box is offered: later changes come with its next
	// exchange. A delta that takes long to send may be older, so that those who have it can send it on: up to
	// longDeltaMaxAge from longDeltaBytes packed bytes on.
	shortDeltaMaxAge = 400 * time.Millisecond
	longDeltaMaxAge  = 4 * time.Second
	longDeltaBytes   = 256 << 10
	// maxDeltaExcess bounds the revisions that a delta spans, as a multiple of those that the box lacks. A longer
	// one is not worth its transfer.
	maxDeltaExcess = 4
)

// sharedDelta is a packed sync answer for all boxes whose state is at least as new as the start of its delta.
type sharedDelta struct {
	blob
	from, to int64
	// version is the directory version that its residencies follow.
	version  fleet.Version
	packedAt time.Time
	// lastOffered is when a box was last referred to it.
	lastOffered time.Time
}

// satisfies reports whether the delta now brings a box up to date whose copy of the store is at a revision, and whose
// directory is at a version.
func (s *sharedDelta) satisfies(revision int64, version fleet.Version, now time.Time) bool {
	lacking := s.to - revision
	covers := s.from <= revision && !version.Before(s.version)
	return covers && lacking > 0 && maxDeltaExcess*lacking >= s.to-s.from && now.Sub(s.packedAt) <= s.maxAge()
}

// maxAge returns the maximum age at which the delta is offered to a box.
func (s *sharedDelta) maxAge() time.Duration {
	long := min(1, float64(len(s.packed))/longDeltaBytes)
	return shortDeltaMaxAge + time.Duration(long*float64(longDeltaMaxAge-shortDeltaMaxAge))
}

// addShared adds a delta, and drops those that no box can be fetching any more and the oldest beyond maxSharedBytes.
func (c *blobCache) addShared(added sharedDelta) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.shared = slices.DeleteFunc(c.shared, func(kept sharedDelta) bool { return added.packedAt.Sub(kept.lastOffered) > transferTimeout })
	added.lastOffered = added.packedAt
	c.shared = append(c.shared, added)
	bytes := 0
	for i := len(c.shared) - 1; i >= 0; i-- {
		if bytes += len(c.shared[i].packed); bytes > maxSharedBytes && i < len(c.shared)-1 {
			c.shared = slices.Clone(c.shared[i+1:])
			break
		}
	}
}

// findShared returns the id of a delta that satisfies a box at a revision and a version; empty if there is none.
func (c *blobCache) findShared(revision int64, version fleet.Version, now time.Time) blobID {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := len(c.shared) - 1; i >= 0; i-- {
		if c.shared[i].satisfies(revision, version, now) {
			c.shared[i].lastOffered = now
			return c.shared[i].id
		}
	}
	return ""
}

// widened returns a state from twice as far back, so that its delta also satisfies boxes that are somewhat further
// behind. revision and version are those of this box.
func (f syncFrom) widened(revision int64, version fleet.Version) syncFrom {
	wide := syncFrom{revision: max(1, 2*f.revision-revision)}
	if f.version.Term == version.Term {
		wide.version = fleet.Version{Term: version.Term, Sequence: max(0, 2*f.version.Sequence-version.Sequence)}
	}
	return wide
}
