// Package records keeps the latest generation of each record that boxes share.
//
// A record comes from the platform or from a peer; the highest generation wins, wherever it
// came from, so that what a box holds never goes back. Everything here is soft state: it is lost
// with the process. The package owns the comparison of generations; it relies on nothing.
//
// It belongs to the native way, `ospreymoor serve`, where boxes fetch records from each other as
// well as from the store. On `ospreymoor node`, pkg/mirror keeps a copy of the store's keys instead.
package records

import (
	"encoding/json"
	"sync"
)

// Generation orders the values of one record: by Term, then by Sequence.
// For a record of the store, Term is its revision and Sequence is 0. For one that a hall's
// controller publishes, Term is that of its lease and Sequence counts within it.
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

// Record is one value of one name.
type Record struct {
	Name       string          `json:"name"`
	Generation Generation      `json:"generation"`
	Value      json.RawMessage `json:"value"`
}

// Cache holds each record in its highest generation. It is safe for concurrent use.
type Cache struct {
	mu      sync.Mutex
	records map[string]Record
	subs    []func(Record)
}

// NewCache returns an empty cache.
func NewCache() *Cache {
	return &Cache{records: map[string]Record{}}
}

// Subscribe has f called with each record that is taken in. Call it before the first Put.
// f runs under no lock, and two calls for one name may come out of order: f must use Get.
func (c *Cache) Subscribe(f func(Record)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.subs = append(c.subs, f)
}

// Put takes a record in if its generation is above the one held, and reports whether it was.
func (c *Cache) Put(record Record) bool {
	c.mu.Lock()
	old, ok := c.records[record.Name]
	if ok && !old.Generation.Less(record.Generation) {
		c.mu.Unlock()
		return false
	}
	c.records[record.Name] = record
	subs := c.subs
	c.mu.Unlock()
	for _, f := range subs {
		f(record)
	}
	return true
}

// Get returns the record of a name, false if there is none.
func (c *Cache) Get(name string) (Record, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	record, ok := c.records[name]
	return record, ok
}

// Generations returns the generations held of the names that keep accepts.
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

// Behind lists the names of which others hold a newer generation than this cache.
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

// Forget drops records that keep rejects, such as bundle texts out of force.
func (c *Cache) Forget(keep func(name string) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name := range c.records {
		if !keep(name) {
			delete(c.records, name)
		}
	}
}
