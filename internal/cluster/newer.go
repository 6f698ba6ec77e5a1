package cluster

import (
	"math"

	"ospreymoor.example/ospreymoor/pkg/fleet"
	"ospreymoor.example/ospreymoor/pkg/kv"
)

// storeRevision returns the revision of the sender's copy of the store. A box of the previous version names no epoch:
// its copy is taken for one of a store that names none either, and so for older than every other copy.
func (m *message) storeRevision() int64 { return kv.RevisionAt(m.StoreEpoch, m.Revision) }

// since returns the revision whose later changes are requested, by a box whose copy has this revision. A box of the
// previous version names no epoch and gets what it would get from another one: the changes since its sequence number.
func (r *syncRequest) since(own int64) int64 {
	if !r.NamesEpoch {
		return kv.RevisionAt(kv.EpochOf(own), r.Revision)
	}
	return kv.RevisionAt(r.StoreEpoch, r.Revision)
}

// syncRequestOf returns the part of a message that requests newer state.
func syncRequestOf(m message) syncRequest {
	return syncRequest{Revision: m.Revision, StoreEpoch: m.StoreEpoch, NamesEpoch: m.NamesEpoch, Version: m.Version, Pieces: m.Pieces}
}

// syncFrom is the state after which another box requests what is newer: a revision of the store and a version of the
// directory.
type syncFrom struct {
	revision int64
	version  fleet.Version
}

// newerThan returns what this box has newer than the state of a request.
func (e *Exchange) newerThan(request syncRequest) syncAnswer {
	from := syncFrom{revision: request.since(e.Mirror.State().Revision), version: request.Version}
	return e.newerThanFrom(from, request.Pieces)
}

// newerThanFrom returns what this box has newer than a state. Large values are left out if the other box fetches them
// in pieces. Otherwise there is no delta while this box itself lacks some of them.
func (e *Exchange) newerThanFrom(from syncFrom, pieces bool) syncAnswer {
	newer := syncAnswer{Update: e.Directory.UpdateSince(from.version)}
	switch {
	case pieces:
		newer.Delta = e.Mirror.DeltaSince(from.revision, largeValueBytes)
	case len(e.Mirror.Missing()) == 0:
		newer.Delta = e.Mirror.DeltaSince(from.revision, math.MaxInt)
	}
	return newer
}
