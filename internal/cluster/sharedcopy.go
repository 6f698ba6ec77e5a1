package cluster

import (
	"time"

	"ospreymoor.example/ospreymoor/pkg/fleet"
)

// This file has newer state packed once for many boxes. Those that follow one relay ask it for about the same at about the same time: of 164
// boxes each was packed a copy of its own, four times a second, and a copy was dropped for later ones before it had been fetched.

const (
	// sharedCopies is how many shared copies a box keeps, so that transfers of earlier ones end.
	sharedCopies = 6
	// sharedAge is how old a copy may be that a box is sent: what changed since comes with its next exchange. One of the whole store may
	// be as old as wholeAge.
	sharedAge = 400 * time.Millisecond
	wholeAge  = 5 * time.Second
)

// sharedCopy is newer state for all boxes whose own is not older than where it begins.
type sharedCopy struct {
	content
	from, to int64
	// version is that of the directory after which its residencies are.
	version fleet.Version
	at      time.Time
}

// serves reports whether the copy brings a box up to date that asks now.
func (s *sharedCopy) serves(request copyRequest, now time.Time) bool {
	age := sharedAge
	if s.from == 0 {
		age = wholeAge
	}
	covers := s.from <= request.Revision && !request.Version.Before(s.version)
	return covers && s.to > request.Revision && now.Sub(s.at) <= age && (s.from > 0 || request.Revision == 0)
}

// addShared keeps a copy that boxes send on.
func (c *contents) addShared(added sharedCopy) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.shared = append(c.shared, added)
	c.shared = c.shared[max(0, len(c.shared)-sharedCopies):]
}

// sharedFor returns the id of a copy that serves a request; empty if there is none.
func (c *contents) sharedFor(request copyRequest, now time.Time) contentID {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := len(c.shared) - 1; i >= 0; i-- {
		if c.shared[i].serves(request, now) {
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
