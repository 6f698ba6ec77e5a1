package mirror

import (
	"iter"
	"maps"

	"github.com/cespare/xxhash/v2"

	"ospreymoor.example/ospreymoor/pkg/kv"
)

// recordShards is how many parts a set of records is kept in. A change copies the parts that it touches.
const recordShards = 256

// Records are the records of a state by key. They do not change once made: a change makes new ones, which share with the old ones what is
// the same. Its cost goes with what changed, not with how many records there are.
type Records struct {
	shards *[recordShards]map[string]kv.Record
	count  int
}

func shardOf(key string) int { return int(xxhash.Sum64String(key) % recordShards) }

// Get returns the record of a key.
func (r Records) Get(key string) (record kv.Record, held bool) {
	if r.shards == nil {
		return kv.Record{}, false
	}
	record, held = r.shards[shardOf(key)][key]
	return record, held
}

// Len is how many records there are.
func (r Records) Len() int { return r.count }

// All ranges over the records by key, in no order.
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

// with returns the records with some put and others dropped.
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
		if _, held := records[record.Key]; !held {
			next.count++
		}
		records[record.Key] = record
	}
	for _, key := range drop {
		if _, held := next.Get(key); held {
			delete(shard(key), key)
			next.count--
		}
	}
	return next
}

// Difference lists the keys whose records are new, other or gone in later records.
func (r Records) Difference(later Records) []string {
	var keys []string
	for key, record := range later.All() {
		if old, held := r.Get(key); !held || old.Revision != record.Revision {
			keys = append(keys, key)
		}
	}
	for key := range r.All() {
		if _, held := later.Get(key); !held {
			keys = append(keys, key)
		}
	}
	return keys
}
