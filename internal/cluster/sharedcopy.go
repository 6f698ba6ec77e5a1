package cluster

import (
	"slices"
	"time"

	"ospreymoor.example/ospreymoor/pkg/fleet"
)

// This file has newer state packed once for many boxes. Those that follow one relay ask it for about the same at about the same time, and one
// copy for each of them would take the relay's processor time. Where they are far behind, a copy takes seconds to reach all of them, and is
// kept until then.

const (
	// maxSharedBytes bounds the shared copies that a box keeps, as packed.
	maxSharedBytes = 8 << 20
	// sharedAge is how old a short copy may be that a box is sent: what changed since comes with its next exchange. One that takes long to
	// send may be as old as longSharedAge, from longCopy packed bytes on, so that those who have it can send it on.
	sharedAge     = 400 * time.Millisecond
	longSharedAge = 4 * time.Second
	longCopy      = 256 << 10
	// mostOfCopy bounds a copy by what the box that asks lacks of it: a longer one is not worth its way.
	mostOfCopy = 4
)

// sharedCopy is newer state for all boxes whose own is not older than where it begins.
type sharedCopy struct {
	content
	from, to int64
	// version is that of the directory after which its residencies are.
	version fleet.Version
	at      time.Time
	// named is when a box was last told to fetch it.
	named time.Time
}

// serves reports whether the copy brings a box up to date that asks now.
func (s *sharedCopy) serves(request copyRequest, now time.Time) bool {
	lacking := s.to - request.Revision
	covers := s.from <= request.Revision && !request.Version.Before(s.version)
	return covers && lacking > 0 && mostOfCopy*lacking >= s.to-s.from && now.Sub(s.at) <= s.mostAge()
}

// mostAge is how old the copy may be that a box is sent.
func (s *sharedCopy) mostAge() time.Duration {
	long := min(1, float64(len(s.packed))/longCopy)
	return sharedAge + time.Duration(long*float64(longSharedAge-sharedAge))
}

// addShared keeps a copy that boxes send on, in place of those that no box can be fetching any more.
func (c *contents) addShared(added sharedCopy) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.shared = slices.DeleteFunc(c.shared, func(kept sharedCopy) bool { return added.at.Sub(kept.named) > transferTime })
	added.named = added.at
	c.shared = append(c.shared, added)
	bytes := 0
	for i := len(c.shared) - 1; i >= 0; i-- {
		if bytes += len(c.shared[i].packed); bytes > maxSharedBytes && i < len(c.shared)-1 {
			c.shared = slices.Clone(c.shared[i+1:])
			break
		}
	}
}

// sharedFor returns the id of a copy that serves a request; empty if there is none.
func (c *contents) sharedFor(request copyRequest, now time.Time) contentID {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := len(c.shared) - 1; i >= 0; i-- {
		if c.shared[i].serves(request, now) {
			c.shared[i].named = now
			return c.shared[i].id
		}
	}
	return ""
}

// widened is a request from twice as far back, so that its copy serves boxes that are somewhat older, too.
func widened(request copyRequest, revision int64, version fleet.Version) copyRequest {
	wide := copyRequest{Revision: max(1, 2*request.Revision-revision), Pieces: true}
	if request.Version.Term == version.Term {
		wide.Version = fleet.Version{Term: version.Term, Sequence: max(0, 2*request.Version.Sequence-version.Sequence)}
	}
	return wide
}
