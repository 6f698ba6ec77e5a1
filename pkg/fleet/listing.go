package fleet

import "slices"

// listing are the entries of the latest list, with what decides whether one counts: at one address, and under one name, the later of two
// processes is the one that lives. It answers for single entries, so that a change of the list costs what changed.
type listing struct {
	entries map[string]*Upstream
	// atAddress has the entries by address, and named how many there are under a name.
	atAddress addressIndex
	named     map[string]int
	names     names
}

func newListing() listing {
	return listing{entries: map[string]*Upstream{}, atAddress: newAddressIndex(), named: map[string]int{}, names: names{}}
}

// put takes a new or changed entry, and returns the ids whose entries may count now or not any more.
func (l *listing) put(entry Upstream) (touched []string) {
	touched = l.remove(entry.ID)
	kept := l.names.share(&entry)
	l.entries[kept.ID] = kept
	l.named[NameOf(kept.ID)]++
	l.atAddress.add(kept)
	return l.atAddress.appendIDs(touched, kept.Address)
}

// remove drops an entry, and returns the ids whose entries may count now, its own among them.
func (l *listing) remove(id string) (touched []string) {
	entry, listed := l.entries[id]
	if !listed {
		return []string{id}
	}
	touched = l.atAddress.appendIDs(nil, entry.Address)
	delete(l.entries, id)
	l.atAddress.remove(entry)
	name := NameOf(id)
	if l.named[name]--; l.named[name] == 0 {
		delete(l.named, name)
	}
	return touched
}

// live returns the entry of an id if it counts: no later process is listed at its address. That one is gone, though its entry stays until the
// platform misses its heartbeats.
func (l *listing) live(id string) (entry *Upstream, ok bool) {
	entry, ok = l.entries[id]
	if !ok || entry.Address == "" {
		return entry, ok
	}
	if l.atAddress.any(entry.Address, func(other *Upstream) bool { return other.replaces(entry) }) {
		return nil, false
	}
	return entry, true
}

// hasSuccessor reports whether an upstream without an entry that counts is not coming back: another is listed at its address, or a life
// under its name.
func (l *listing) hasSuccessor(upstream *Upstream) bool {
	return l.atAddress.first[upstream.Address] != nil || l.named[NameOf(upstream.ID)] > 0
}

// addressIndex has the entries at each address. Nearly all have one: the second at the same address, and later ones, are kept apart.
type addressIndex struct {
	first map[string]*Upstream
	more  map[string][]*Upstream
}

func newAddressIndex() addressIndex {
	return addressIndex{first: map[string]*Upstream{}, more: map[string][]*Upstream{}}
}

func (x *addressIndex) add(entry *Upstream) {
	if x.first[entry.Address] == nil {
		x.first[entry.Address] = entry
		return
	}
	x.more[entry.Address] = append(x.more[entry.Address], entry)
}

func (x *addressIndex) remove(entry *Upstream) {
	address := entry.Address
	others := slices.DeleteFunc(x.more[address], func(other *Upstream) bool { return other == entry })
	if x.first[address] == entry {
		delete(x.first, address)
		if len(others) > 0 {
			x.first[address], others = others[0], others[1:]
		}
	}
	x.more[address] = others
	if len(others) == 0 {
		delete(x.more, address)
	}
}

// any reports whether f holds for an entry at an address.
func (x *addressIndex) any(address string, f func(*Upstream) bool) bool {
	first := x.first[address]
	return first != nil && (f(first) || slices.ContainsFunc(x.more[address], f))
}

// appendIDs appends the ids of the entries at an address to a list.
func (x *addressIndex) appendIDs(list []string, address string) []string {
	if first := x.first[address]; first != nil {
		list = append(list, first.ID)
	}
	for _, entry := range x.more[address] {
		list = append(list, entry.ID)
	}
	return list
}
