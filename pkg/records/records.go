// Package records caches the latest generation of each record that boxes share.
//
// A record comes from the platform or from a peer. The highest generation wins, wherever it came from, so a box never
// goes back to an older one. The cache is soft state: it is lost with the process. The package owns the comparison of
// generations and relies on no other package.
//
// `ospreymoor serve`, the native mode, uses it: boxes fetch records from each other as well as from the store. In
// `ospreymoor node`, pkg/mirror keeps a copy of the store's keys instead.
package records

import (
	"encoding/json"
	"sync"
)

// Generation orders the values of one record, by Term and then by Sequence. For a record of the store, Term is its
// revision and Sequence is 0. For a record that a hall's controller publishes, Term is that of the controller's lease
// and Sequence counts within it.
type Generation struct {
	Term     int64 `json:"t"`
	Sequence int64 `json:"s,omitempty"`
}

// Less reports whether g comes before other.
func (g Generation) Less(other Generation) bool {
	if g.Term != other.Term {
		return g.Term < other.Term
	}
	return g.Sequence < other.Sequence
}

// Record is a named value in one generation.
type Record struct {
	Name       string          `json:"name"`
	Generation Generation      `json:"generation"`
	Value      json.RawMessage `json:"value"`
}

// Cache holds the highest generation seen of each record. It is safe for concurrent use.
type Cache struct {
	mu          sync.Mutex
	records     map[string]Record
	subscribers []func(Record)
}

// NewCache returns an empty cache.
func NewCache() *Cache {
	return &Cache{records: map[string]Record{}}
}

// Subscribe registers f to be called with each record that Put stores. Call Subscribe before the first Put. f runs
// without the lock, and two calls for one name may come out of order, so f must get the current record with Get.
func (c *Cache) Subscribe(f func(Record)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.subscribers = append(c.subscribers, f)
}

// Put stores a record if its generation is above the one held, and reports whether it did.
func (c *Cache) Put(record Record) bool {
	c.mu.Lock()
	old, ok := c.records[record.Name]
	if ok && !old.Generation.Less(record.Generation) {
		c.mu.Unlock()
		return false
	}
	c.records[record.Name] = record
	subscribers := c.subscribers
	c.mu.Unlock()
	for _, f := range subscribers {
		f(record)
	}
	return true
}

// Get returns the record of a name, and false if there is none.
func (c *Cache) Get(name string) (Record, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	record, ok := c.records[name]
	return record, ok
}

// Generations returns the generations of the records whose names keep accepts.
func (c *Cache) Generations(keep func(name string) bool) map[string]Generation {
	c.mu.Lock()
	defer c.mu.Unlock()
	generations := map[string]Generation{}
	for name, record := range c.records {
		if keep(name) {
			generations[name] = record.Generation
		}
	}
	return generations
}

// Behind lists the names in others whose generation is newer than the one in this cache, or that this cache lacks.
func (c *Cache) Behind(others map[string]Generation) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var names []string
	for name, generation := range others {
		held, ok := c.records[name]
		if !ok || held.Generation.Less(generation) {
			names = append(names, name)
		}
	}
	return names
}

// Retain drops the records whose names keep rejects, such as texts of bundles that are no longer in force.
func (c *Cache) Retain(keep func(name string) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name := range c.records {
		if !keep(name) {
			delete(c.records, name)
		}
	}
}
