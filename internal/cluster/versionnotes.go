package cluster

import (
	"maps"
	"slices"
	"time"

	"ospreymoor.example/ospreymoor/pkg/origins"
)

// noteInterval is the time after which a version that serves is noted again. A note in the store outlasts it by more than
// origins.Retention.
const noteInterval = time.Minute

// NoteVersions has the software versions that serve noted in the store. Two boxes do so for all, so that the loss of one
// leaves no version without a note.
func (o *Origins) NoteVersions(serving []origins.Origin) {
	keepers := o.Members.originKeepersOf(savePart)
	notes := slices.ContainsFunc(keepers[:min(len(keepers), originKeepers)], func(keeper Box) bool {
		return keeper.Name == o.Members.self.Name
	})
	if records := o.dueNotes(serving, notes); len(records) > 0 {
		o.Save(records)
	}
}

// dueNotes returns the notes that this box has to make now. notes means that it makes any.
func (o *Origins) dueNotes(serving []origins.Origin, notes bool) (due []origins.Record) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !notes {
		o.noted = nil
		return nil
	}
	if o.noted == nil {
		o.noted = map[origins.Origin]time.Time{}
	}
	maps.DeleteFunc(o.noted, func(version origins.Origin, _ time.Time) bool { return !slices.Contains(serving, version) })
	now := time.Now()
	for _, version := range serving {
		if at, ok := o.noted[version]; !ok || now.Sub(at) >= noteInterval {
			o.noted[version] = now
			due = append(due, origins.NoteOf(version))
		}
	}
	return due
}
