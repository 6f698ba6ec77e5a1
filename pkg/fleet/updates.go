package fleet

import (
	"cmp"
	"slices"
)

// Publish numbers and stores an engine's residency. Only the order holder calls it, for its own
// term. It returns the update's sequence; 0 if the term is over.
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

// Tells reports whether a residency would tell boxes more of an engine than its entry in the list does, or corrects what one published
// before told. A new order holder asks all engines what they hold, and most answer what the list has: told of all the same, each
// box of a large fleet would be sent as many residencies as there are engines at each change of the holder.
func (d *Directory) Tells(engine string, next Residency) bool {
	d.mu.RLock()
	defer d.mu.RUnlock()
	state := d.states[engine]
	if _, published := d.residencies[engine]; published || state == nil {
		return true
	}
	if next.Busy || len(next.Withdrawn)+len(next.Loaded)+len(next.Dropped) > 0 {
		return true
	}
	told := 0
	for _, holding := range state.Models {
		listed := slices.Sorted(slices.Values(holding.Adapters))
		if !slices.Equal(listed, next.Adapters[holding.Model]) {
			return true
		}
		if len(listed) > 0 {
			told++
		}
	}
	return told != len(next.Adapters)
}

// MergeResidency takes single residencies that come ahead of their update, as in the order holder's
// answer to a request, and leaves the version as it is. Those of an older term are dropped. A
// residency of an older term stays until the new order holder publishes one of that engine.
func (d *Directory) MergeResidency(term int64, engines map[string]Residency) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.merge(term, engines)
}

// Apply takes an update that UpdateSince returned for this directory's version.
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

// Version returns up to where all residency updates are known.
func (d *Directory) Version() Version {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.version
}

// merge stores the residencies that are newer than those known, and reports whether they are of the
// latest term. The caller holds the lock.
func (d *Directory) merge(term int64, engines map[string]Residency) bool {
	if !d.enterTerm(term) {
		return false
	}
	var touched []string
	for id, next := range engines {
		if old := d.residencies[id]; old.term < term || old.Sequence < next.Sequence {
			d.setResidency(id, next)
			touched = append(touched, id)
		}
	}
	d.reindex(touched...)
	return true
}

// enterTerm begins a new term, if it is one, with no updates known; false if it is older than the
// latest. The caller holds the lock.
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

// published is that an engine's residency was published under the latest term.
type published struct {
	sequence int64
	engine   string
}

// sparePublished is how many entries of residencies that later ones replaced a small fleet may have.
const sparePublished = 64

// notePublished has an engine's residency found by its sequence, so that an update costs what it holds. The caller holds the lock.
func (d *Directory) notePublished(engine string, sequence int64) {
	at := d.publishedAfter(sequence)
	d.published = slices.Insert(d.published, at, published{sequence: sequence, engine: engine})
	if len(d.published) > 2*len(d.residencies)+sparePublished {
		d.published = slices.DeleteFunc(d.published, func(entry published) bool {
			return d.residencies[entry.engine].Sequence != entry.sequence
		})
	}
}

// publishedAfter is the index of the first entry after a sequence. The caller holds the lock.
func (d *Directory) publishedAfter(sequence int64) int {
	at, _ := slices.BinarySearchFunc(d.published, sequence+1, func(entry published, to int64) int { return cmp.Compare(entry.sequence, to) })
	return at
}

// setResidency stores an engine's residency under the latest term. Only the list renews ListedAt
// and ends a lapse. The caller holds the lock.
func (d *Directory) setResidency(engine string, next Residency) {
	d.residencies[engine] = residency{Residency: next, term: d.version.Term}
	d.notePublished(engine, next.Sequence)
	if state := d.states[engine]; state != nil {
		joined := d.join(state.Upstream)
		joined.ListedAt, joined.DropAt, joined.listedLeaving = state.ListedAt, state.DropAt, state.listedLeaving
		d.states[engine] = joined
	}
}
