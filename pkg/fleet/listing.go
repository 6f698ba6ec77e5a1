package fleet

// listing are the entries of the latest list, with what decides whether one counts: at one address, and under one name, the later of two
// processes is the one that lives. It answers for single entries, so that a change of the list costs what changed.
type listing struct {
	entries map[string]Upstream
	// atAddress and named are the ids of the entries with an address, and under a name.
	atAddress map[string][]string
	named     map[string][]string
}

func newListing() listing {
	return listing{entries: map[string]Upstream{}, atAddress: map[string][]string{}, named: map[string][]string{}}
}

// put takes a new or changed entry, and returns the ids whose entries may count now or not any more.
func (l *listing) put(entry Upstream) (touched []string) {
	touched = l.remove(entry.ID)
	l.entries[entry.ID] = entry
	l.atAddress[entry.Address] = append(l.atAddress[entry.Address], entry.ID)
	name := NameOf(entry.ID)
	l.named[name] = append(l.named[name], entry.ID)
	return append(touched, l.atAddress[entry.Address]...)
}

// remove drops an entry, and returns the ids whose entries may count now, its own among them.
func (l *listing) remove(id string) (touched []string) {
	entry, listed := l.entries[id]
	if !listed {
		return []string{id}
	}
	touched = append(touched, l.atAddress[entry.Address]...)
	delete(l.entries, id)
	dropFrom(l.atAddress, entry.Address, id)
	dropFrom(l.named, NameOf(id), id)
	return touched
}

func dropFrom(index map[string][]string, key, id string) {
	var kept []string
	for _, other := range index[key] {
		if other != id {
			kept = append(kept, other)
		}
	}
	if len(kept) == 0 {
		delete(index, key)
		return
	}
	index[key] = kept
}

// live returns the entry of an id if it counts: no later process is listed at its address. That one is gone, though its entry stays until the
// platform misses its heartbeats.
func (l *listing) live(id string) (entry Upstream, ok bool) {
	entry, ok = l.entries[id]
	if !ok || entry.Address == "" {
		return entry, ok
	}
	for _, other := range l.atAddress[entry.Address] {
		if later := l.entries[other]; later.replaces(&entry) {
			return Upstream{}, false
		}
	}
	return entry, true
}

// hasSuccessor reports whether an upstream without an entry that counts is not coming back: another is listed at its address, or a life
// under its name.
func (l *listing) hasSuccessor(upstream *Upstream) bool {
	return len(l.atAddress[upstream.Address]) > 0 || len(l.named[NameOf(upstream.ID)]) > 0
}
