package fleet

// Version orders the states of knowledge of the order holder's words.
type Version struct {
	// Term of the order lease.
	Term int64 `json:"term,omitempty"`
	// Sequence up to which all words under the term are known.
	Sequence int64 `json:"sequence,omitempty"`
}

// Before tells whether s knows less than other.
func (s Version) Before(other Version) bool {
	return s.Term < other.Term || (s.Term == other.Term && s.Sequence < other.Sequence)
}

// Update is what the order holder said of engines since some stamp, up to Stamp.
type Update struct {
	Version Version              `json:"stamp"`
	Engines map[string]Residency `json:"engines,omitempty"`
}

// Publish takes the word of the order holder, which is this process, on one engine, and numbers
// it. It returns the number; 0 if the term is over.
func (d *Directory) Publish(term int64, engine string, said Residency) int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.enter(term) {
		return 0
	}
	d.known.Sequence++
	said.Sequence = d.known.Sequence
	d.put(engine, said)
	d.index()
	return said.Sequence
}

// MergeResidency takes single words of the order holder, beside those that come in order. Words of
// an older term are dropped. What was said of an engine under an older term holds until the new
// holder speaks of that engine.
func (d *Directory) MergeResidency(term int64, engines map[string]Residency) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.take(term, engines)
}

// Apply takes all words up to a stamp, as WordsSince returns them for this directory's stamp.
func (d *Directory) Apply(words Update) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.take(words.Version.Term, words.Engines) {
		d.known.Sequence = max(d.known.Sequence, words.Version.Sequence)
	}
}

// UpdateSince returns what was said after a stamp; nil if nothing was.
func (d *Directory) UpdateSince(known Version) *Update {
	d.mu.RLock()
	defer d.mu.RUnlock()
	if !known.Before(d.known) {
		return nil
	}
	if known.Term != d.known.Term {
		known = Version{Term: d.known.Term}
	}
	words := &Update{Version: d.known, Engines: map[string]Residency{}}
	for id, said := range d.words {
		if said.term == known.Term && said.Sequence > known.Sequence {
			words.Engines[id] = said.Residency
		}
	}
	return words
}

// Version tells how new the words on engines are.
func (d *Directory) Version() Version {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.known
}

// take takes words in, and tells whether they are of the latest term. The caller holds the lock.
func (d *Directory) take(term int64, engines map[string]Residency) bool {
	if !d.enter(term) {
		return false
	}
	for id, said := range engines {
		if old := d.words[id]; old.term < term || old.Sequence < said.Sequence {
			d.put(id, said)
		}
	}
	d.index()
	return true
}

// enter begins a new term, if it is one; false if it is older than the latest. The caller holds
// the lock.
func (d *Directory) enter(term int64) bool {
	if term < d.known.Term {
		return false
	}
	if term > d.known.Term {
		d.known = Version{Term: term}
	}
	return true
}

// word is what the order holder said last of one engine, and under which term.
type word struct {
	Residency
	term int64
}

// put takes one word under the latest term. The caller holds the lock.
func (d *Directory) put(engine string, said Residency) {
	d.words[engine] = word{Residency: said, term: d.known.Term}
	if state := d.states[engine]; state != nil {
		next := d.join(state.Upstream, state)
		next.ListedAt, next.DropAt = state.ListedAt, state.DropAt
		d.states[engine] = next
	}
}
