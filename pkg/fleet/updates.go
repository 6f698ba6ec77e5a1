package fleet

import (
	"cmp"
	"slices"
)

// Publish numbers and stores an engine's residency. Only the order holder calls it, for its own term.
// It returns the sequence number of the update; 0 if the term is over.
func (d *Directory) Publish(term int64, engine string, next Residency) int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.enterTerm(term) {
		return 0
	}
	d.version.Sequence++
	next.Sequence = d.version.Sequence
	d.setResidency(engine, next)
	d.reindex(engine)
	return next.Sequence
}

// ResidencyDiffers reports whether a residency adds to what boxes know about an engine from its entry in
// the list, or corrects a residency published before. A new order holder asks all engines what they
// hold, and most answer what the list has. If these answers were published all the same, each box of a
// large fleet would be sent as many residencies as there are engines at each change of the holder.
func (d *Directory) ResidencyDiffers(engine string, next Residency) bool {
	d.mu.RLock()
	defer d.mu.RUnlock()
	state := d.states[engine]
	if _, published := d.residencies[engine]; published || state == nil {
		return true
	}
	if next.Busy || len(next.Withdrawn)+len(next.Loaded)+len(next.Dropped) > 0 {
		return true
	}
	withAdapters := 0
	for _, holding := range state.Models {
		listed := slices.Sorted(slices.Values(holding.Adapters))
		if !slices.Equal(listed, next.Adapters[holding.Model]) {
			return true
		}
		if len(listed) > 0 {
			withAdapters++
		}
	}
	return withAdapters != len(next.Adapters)
}

// MergeResidency stores single residencies that arrive ahead of their update, as in the order holder's
// answer to a request, and leaves the version as it is. It drops residencies of an older term. A stored
// residency of an older term stays until the new order holder publishes one of that engine.
func (d *Directory) MergeResidency(term int64, engines map[string]Residency) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.merge(term, engines)
}

// Apply stores an update that UpdateSince returned for this directory's version.
func (d *Directory) Apply(update Update) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.merge(update.Version.Term, update.Engines) {
		d.version.Sequence = max(d.version.Sequence, update.Version.Sequence)
	}
}

// UpdateSince returns what was published after a version; nil if nothing was.
func (d *Directory) UpdateSince(version Version) *Update {
	d.mu.RLock()
	defer d.mu.RUnlock()
	if !version.Before(d.version) {
		return nil
	}
	if version.Term != d.version.Term {
		version = Version{Term: d.version.Term}
	}
	update := &Update{Version: d.version, Engines: map[string]Residency{}}
	for _, entry := range d.published[d.publishedAfter(version.Sequence):] {
		if latest := d.residencies[entry.engine]; latest.term == version.Term && latest.Sequence == entry.sequence {
			update.Engines[entry.engine] = latest.Residency
		}
	}
	return update
}

// Version returns the version up to which all residency updates are known.
func (d *Directory) Version() Version {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.version
}

// merge stores the residencies that are newer than the known ones, and reports whether they are of the
// latest term. The caller holds the lock.
func (d *Directory) merge(term int64, engines map[string]Residency) bool {
	if !d.enterTerm(term) {
		return false
	}
	var affected []string
	for id, next := range engines {
		if old := d.residencies[id]; old.term < term || old.Sequence < next.Sequence {
			d.setResidency(id, next)
			affected = append(affected, id)
		}
	}
	d.reindex(affected...)
	return true
}

// enterTerm starts a term with no updates known, if it is a new one. It returns false if the term is
// older than the latest one. The caller holds the lock.
func (d *Directory) enterTerm(term int64) bool {
	if term < d.version.Term {
		return false
	}
	if term > d.version.Term {
		d.version = Version{Term: term}
		d.published = nil
	}
	return true
}

// publishedEntry is an engine's residency under the latest term, by its sequence number.
type publishedEntry struct {
	sequence int64
	engine   string
}

// publishedSlack is how many superseded entries the published list of a small fleet may have.
const publishedSlack = 64

// indexPublished makes an engine's residency findable by its sequence number, so that the cost of an
// update depends on its size. The caller holds the lock.
func (d *Directory) indexPublished(engine string, sequence int64) {
	at := d.publishedAfter(sequence)
	d.published = slices.Insert(d.published, at, publishedEntry{sequence: sequence, engine: engine})
	if len(d.published) > 2*len(d.residencies)+publishedSlack {
		d.published = slices.DeleteFunc(d.published, func(entry publishedEntry) bool {
			return d.residencies[entry.engine].Sequence != entry.sequence
		})
	}
}

// publishedAfter returns the index of the first entry after a sequence number. The caller holds the
// lock.
func (d *Directory) publishedAfter(sequence int64) int {
	at, _ := slices.BinarySearchFunc(d.published, sequence+1, func(entry publishedEntry, to int64) int { return cmp.Compare(entry.sequence, to) })
	return at
}

// setResidency stores an engine's residency under the latest term. Only a list renews ListedAt and ends
// a lapse. The caller holds the lock.
func (d *Directory) setResidency(engine string, next Residency) {
	d.residencies[engine] = termResidency{Residency: next, term: d.version.Term}
	d.indexPublished(engine, next.Sequence)
	if state := d.states[engine]; state != nil {
		updated := d.newState(state.Upstream)
		updated.ListedAt, updated.DropAt, updated.listedLeaving, updated.lost = state.ListedAt, state.DropAt, state.listedLeaving, state.lost
		d.states[engine] = updated
	}
}
