package fleet

// nameInterner keeps one copy of each name that many entries share, such as those of services, halls
// and models. Each entry is decoded with copies of its own.
type nameInterner map[string]string

// maxInternedNames bounds the table. A full table is cleared, since models and adapters come and go
// while a directory exists.
const maxInternedNames = 1 << 14

func (n nameInterner) intern(name string) string {
	if shared, ok := n[name]; ok {
		return shared
	}
	if len(n) >= maxInternedNames {
		clear(n)
	}
	n[name] = name
	return name
}

// internAll returns a list of interned names, without spare capacity.
func (n nameInterner) internAll(list []string) []string {
	if len(list) == 0 {
		return nil
	}
	shared := make([]string, len(list))
	for i, name := range list {
		shared[i] = n.intern(name)
	}
	return shared
}

// internEntry returns a copy of an entry with interned names.
func (n nameInterner) internEntry(entry *Upstream) *Upstream {
	shared := *entry
	shared.Service, shared.Hall = n.intern(entry.Service), n.intern(entry.Hall)
	shared.InMemory, shared.OnDisk = n.internAll(entry.InMemory), n.internAll(entry.OnDisk)
	shared.Models = nil
	if len(entry.Models) > 0 {
		shared.Models = make([]Holding, len(entry.Models))
	}
	for i, holding := range entry.Models {
		shared.Models[i] = Holding{Model: n.intern(holding.Model), Adapters: n.internAll(holding.Adapters)}
	}
	return &shared
}
