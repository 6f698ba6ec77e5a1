package mirror

import (
	"iter"
	"maps"

	"github.com/cespare/xxhash/v2"

	"ospreymoor.example/ospreymoor/pkg/kv"
)

// recordShards is the number of shards of a set of records. A change copies only the shards that it touches.
const recordShards = 256

// Records is an immutable set of records by key. A change makes a new set that shares the unchanged shards with the
// old one. The cost of a change grows with the number of changed records, not with the size of the set. The zero
// value is an empty set.
type Records struct {
	shards *[recordShards]map[string]kv.Record
	count  int
}

func shardOf(key string) int { return int(xxhash.Sum64String(key) % recordShards) }

// Get returns the record of a key, and reports whether there is one.
func (r Records) Get(key string) (record kv.Record, found bool) {
	if r.shards == nil {
		return kv.Record{}, false
	}
	record, found = r.shards[shardOf(key)][key]
	return record, found
}

// Len returns the number of records.
func (r Records) Len() int { return r.count }

// All returns an iterator over the keys and records, in no particular order.
func (r Records) All() iter.Seq2[string, kv.Record] {
	return func(yield func(string, kv.Record) bool) {
		if r.shards == nil {
			return
		}
		for _, shard := range r.shards {
			for key, record := range shard {
				if !yield(key, record) {
					return
				}
			}
		}
	}
}

// with returns a set in which the records in put are added or replaced, and the keys in drop are removed.
func (r Records) with(put []kv.Record, drop []string) Records {
	next := Records{shards: &[recordShards]map[string]kv.Record{}, count: r.count}
	if r.shards != nil {
		*next.shards = *r.shards
	}
	var copied [recordShards]bool
	shard := func(key string) map[string]kv.Record {
		n := shardOf(key)
		if !copied[n] {
			copied[n] = true
			next.shards[n] = maps.Clone(next.shards[n])
			if next.shards[n] == nil {
				next.shards[n] = map[string]kv.Record{}
			}
		}
		return next.shards[n]
	}
	for _, record := range put {
		records := shard(record.Key)
		if _, found := records[record.Key]; !found {
			next.count++
		}
		records[record.Key] = record
	}
	for _, key := range drop {
		if _, found := next.Get(key); found {
			delete(shard(key), key)
			next.count--
		}
	}
	return next
}

// Difference returns the keys whose records were added, changed or removed between r and later.
func (r Records) Difference(later Records) []string {
	var keys []string
	for key, record := range later.All() {
		if old, found := r.Get(key); !found || old.Revision != record.Revision {
			keys = append(keys, key)
		}
	}
	for key := range r.All() {
		if _, found := later.Get(key); !found {
			keys = append(keys, key)
		}
	}
	return keys
}
