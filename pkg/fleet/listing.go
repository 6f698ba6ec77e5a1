package fleet

import "slices"

// listing holds the entries of the latest list, with the indexes that decide which of them are current:
// at one address, and under one name, the later of two processes is the one that is alive. It decides
// for single entries, so that the cost of a change depends on the size of the change.
type listing struct {
	entries map[string]*Upstream
	// byAddress holds the entries by address, and countByName the number of entries under each name.
	byAddress   addressIndex
	countByName map[string]int
	interner    nameInterner
}

func newListing() listing {
	return listing{entries: map[string]*Upstream{}, byAddress: newAddressIndex(), countByName: map[string]int{}, interner: nameInterner{}}
}

// put stores a new or changed entry, and returns the ids of the entries that may have become current or
// outdated.
func (l *listing) put(entry Upstream) (affected []string) {
	affected = l.remove(entry.ID)
	kept := l.interner.internEntry(&entry)
	l.entries[kept.ID] = kept
	l.countByName[NameOf(kept.ID)]++
	l.byAddress.add(kept)
	return l.byAddress.appendIDs(affected, kept.Address)
}

// remove drops an entry, and returns the ids of the entries that may have become current, and its own.
func (l *listing) remove(id string) (affected []string) {
	entry, listed := l.entries[id]
	if !listed {
		return []string{id}
	}
	affected = l.byAddress.appendIDs(nil, entry.Address)
	delete(l.entries, id)
	l.byAddress.remove(entry)
	name := NameOf(id)
	if l.countByName[name]--; l.countByName[name] == 0 {
		delete(l.countByName, name)
	}
	return affected
}

// currentEntry returns the entry of an id, unless a later process is listed at its address. The earlier
// process is gone then, though its entry stays until the platform misses the heartbeats of that process.
func (l *listing) currentEntry(id string) (entry *Upstream, ok bool) {
	entry, ok = l.entries[id]
	if !ok || entry.Address == "" {
		return entry, ok
	}
	if l.byAddress.any(entry.Address, func(other *Upstream) bool { return other.replaces(entry) }) {
		return nil, false
	}
	return entry, true
}

// hasSuccessor reports whether an upstream without a current entry is not coming back: another one is
// listed at its address, or another incarnation under its name.
func (l *listing) hasSuccessor(upstream *Upstream) bool {
	return l.byAddress.first[upstream.Address] != nil || l.countByName[NameOf(upstream.ID)] > 0
}

// addressIndex holds the entries at each address. Nearly all addresses have one; further entries are
// kept separately, in others.
type addressIndex struct {
	first  map[string]*Upstream
	others map[string][]*Upstream
}

func newAddressIndex() addressIndex {
	return addressIndex{first: map[string]*Upstream{}, others: map[string][]*Upstream{}}
}

func (x *addressIndex) add(entry *Upstream) {
	if x.first[entry.Address] == nil {
		x.first[entry.Address] = entry
		return
	}
	x.others[entry.Address] = append(x.others[entry.Address], entry)
}

func (x *addressIndex) remove(entry *Upstream) {
	address := entry.Address
	others := slices.DeleteFunc(x.others[address], func(other *Upstream) bool { return other == entry })
	if x.first[address] == entry {
		delete(x.first, address)
		if len(others) > 0 {
			x.first[address], others = others[0], others[1:]
		}
	}
	x.others[address] = others
	if len(others) == 0 {
		delete(x.others, address)
	}
}

// any reports whether f is true of an entry at an address.
func (x *addressIndex) any(address string, f func(*Upstream) bool) bool {
	first := x.first[address]
	return first != nil && (f(first) || slices.ContainsFunc(x.others[address], f))
}

// appendIDs appends the ids of the entries at an address to a list.
func (x *addressIndex) appendIDs(list []string, address string) []string {
	if first := x.first[address]; first != nil {
		list = append(list, first.ID)
	}
	for _, entry := range x.others[address] {
		list = append(list, entry.ID)
	}
	return list
}
