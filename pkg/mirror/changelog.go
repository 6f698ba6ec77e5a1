package mirror

import (
	"cmp"
	"slices"

	"ospreymoor.example/ospreymoor/pkg/kv"
)

// changelog has the records of a copy in the order of their revisions, so that what a box lacks is found at the cost of what it lacks. An
// entry whose record was changed or removed since stays until there are more of them than records.
type changelog struct {
	entries revisionLog
}

// revisionLog is what happened to keys, in the order of the revisions.
type revisionLog []keyChange

// keyChange is that a key was written or removed at a revision.
type keyChange struct {
	revision int64
	key      string
}

// after is the index of the first entry after a revision.
func (l revisionLog) after(revision int64) int {
	n, _ := slices.BinarySearchFunc(l, revision+1, func(entry keyChange, at int64) int { return cmp.Compare(entry.revision, at) })
	return n
}

// spareEntries is how many outdated entries a small copy may have.
const spareEntries = 64

// add adds records that were put into a copy.
func (l *changelog) add(put []kv.Record, records Records) {
	if len(put) == 0 {
		return
	}
	added := make([]keyChange, len(put))
	for i, record := range put {
		added[i] = keyChange{revision: record.Revision, key: record.Key}
	}
	slices.SortFunc(added, func(a, b keyChange) int { return cmp.Compare(a.revision, b.revision) })
	from := l.entries.after(added[0].revision - 1)
	if from < len(l.entries) {
		// A large record that came late is older than others.
		added = append(added, l.entries[from:]...)
		slices.SortStableFunc(added, func(a, b keyChange) int { return cmp.Compare(a.revision, b.revision) })
	}
	l.entries = append(l.entries[:from], added...)
	if len(l.entries) > 2*records.Len()+spareEntries {
		l.compact(records)
	}
}

// compact drops the entries that are outdated.
func (l *changelog) compact(records Records) {
	l.entries = slices.DeleteFunc(l.entries, func(entry keyChange) bool {
		record, held := records.Get(entry.key)
		return !held || record.Revision != entry.revision
	})
}

// since calls f with each record that was written after a revision.
func (l *changelog) since(revision int64, records Records, f func(kv.Record)) {
	last := keyChange{}
	for _, entry := range l.entries[l.entries.after(revision):] {
		record, held := records.Get(entry.key)
		if held && record.Revision == entry.revision && entry != last {
			f(record)
		}
		last = entry
	}
}
