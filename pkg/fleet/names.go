package fleet

// names has one copy of each name that many entries share, as those of services, halls and models: each entry is decoded with copies of its
// own.
type names map[string]string

// maxNames bounds the table. It begins anew beyond it, since models and adapters come and go over a directory's life.
const maxNames = 1 << 14

func (n names) one(name string) string {
	if shared, ok := n[name]; ok {
		return shared
	}
	if len(n) >= maxNames {
		clear(n)
	}
	n[name] = name
	return name
}

// all returns a list with shared names, and no spare capacity.
func (n names) all(list []string) []string {
	if len(list) == 0 {
		return nil
	}
	shared := make([]string, len(list))
	for i, name := range list {
		shared[i] = n.one(name)
	}
	return shared
}

// share returns an entry with shared names.
func (n names) share(entry *Upstream) *Upstream {
	shared := *entry
	shared.Service, shared.Hall = n.one(entry.Service), n.one(entry.Hall)
	shared.InMemory, shared.OnDisk = n.all(entry.InMemory), n.all(entry.OnDisk)
	shared.Models = nil
	if len(entry.Models) > 0 {
		shared.Models = make([]Holding, len(entry.Models))
	}
	for i, holding := range entry.Models {
		shared.Models[i] = Holding{Model: n.one(holding.Model), Adapters: n.all(holding.Adapters)}
	}
	return &shared
}
