package mirror

import (
	"cmp"
	"slices"

	"ospreymoor.example/ospreymoor/pkg/kv"
)

// changelog lists the records of a copy in the order of their revisions, so that the cost of finding what a box lacks
// grows only with the number of records that it lacks. Entries whose records were changed or removed since are
// outdated. They stay until there are more of them than records.
type changelog struct {
	entries revisionLog
}

// revisionLog is a list of changes of keys, in the order of their revisions.
type revisionLog []keyChange

// keyChange states that a key was written or removed at a revision.
type keyChange struct {
	revision int64
	key      string
}

// indexAfter returns the index of the first entry after a revision.
func (l revisionLog) indexAfter(revision int64) int {
	n, _ := slices.BinarySearchFunc(l, revision+1, func(entry keyChange, at int64) int { return cmp.Compare(entry.revision, at) })
	return n
}

// outdatedEntriesAllowance is how many entries a changelog may have beyond twice the number of records. It lets a
// small copy have some outdated entries.
const outdatedEntriesAllowance = 64

// add appends entries for records that were added or changed in a copy.
func (l *changelog) add(put []kv.Record, records Records) {
	if len(put) == 0 {
		return
	}
	added := make([]keyChange, len(put))
	for i, record := range put {
		added[i] = keyChange{revision: record.Revision, key: record.Key}
	}
	slices.SortFunc(added, func(a, b keyChange) int { return cmp.Compare(a.revision, b.revision) })
	from := l.entries.indexAfter(added[0].revision - 1)
	if from < len(l.entries) {
		// A large record that arrived late has an older revision than the latest entries.
		added = append(added, l.entries[from:]...)
		slices.SortStableFunc(added, func(a, b keyChange) int { return cmp.Compare(a.revision, b.revision) })
	}
	l.entries = append(l.entries[:from], added...)
	if len(l.entries) > 2*records.Len()+outdatedEntriesAllowance {
		l.compact(records)
	}
}

// compact removes outdated entries.
func (l *changelog) compact(records Records) {
	l.entries = slices.DeleteFunc(l.entries, func(entry keyChange) bool {
		record, found := records.Get(entry.key)
		return !found || record.Revision != entry.revision
	})
}

// forEachSince calls f for each record that was written after a revision.
func (l *changelog) forEachSince(revision int64, records Records, f func(kv.Record)) {
	last := keyChange{}
	for _, entry := range l.entries[l.entries.indexAfter(revision):] {
		record, found := records.Get(entry.key)
		if found && record.Revision == entry.revision && entry != last {
			f(record)
		}
		last = entry
	}
}
