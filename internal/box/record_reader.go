package box

import (
	"encoding/json"
	"sync"

	"go.uber.org/zap"

	"ospreymoor.example/ospreymoor/pkg/logfield"
	"ospreymoor.example/ospreymoor/pkg/records"
)

// recordReader decodes records of the cache. A record that cannot be decoded is logged once for its name, until one
// of that name can be decoded again.
type recordReader struct {
	cache *records.Cache
	log   *zap.Logger

	mu         sync.Mutex
	unreadable map[string]struct{}
}

func newRecordReader(cache *records.Cache, log *zap.Logger) *recordReader {
	return &recordReader{cache: cache, log: log, unreadable: map[string]struct{}{}}
}

// readRecord decodes the record of a name. It returns the zero value if there is none, or if it cannot be decoded:
// the next generation replaces it.
func readRecord[T any](r *recordReader, name string) T {
	var value T
	record, ok := r.cache.Get(name)
	if !ok {
		return value
	}
	err := json.Unmarshal(record.Value, &value)
	r.note(record, err)
	return value
}

// note logs the first of a row of failures to decode a name.
func (r *recordReader) note(record records.Record, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err == nil {
		delete(r.unreadable, record.Name)
		return
	}
	if _, logged := r.unreadable[record.Name]; logged {
		return
	}
	r.unreadable[record.Name] = struct{}{}
	r.log.Warn("record cannot be read: all boxes need the same version", zap.String("record", record.Name), logfield.Error(err))
}

// decoded is a record's value at a generation.
type decoded[T any] struct {
	generation records.Generation
	value      T
	ok         bool
}

// refresh returns the record of a name decoded, anew only if it changed or could not be decoded before.
func (d decoded[T]) refresh(r *recordReader, name string) decoded[T] {
	record, held := r.cache.Get(name)
	if !held || (d.ok && d.generation == record.Generation) {
		return d
	}
	var value T
	err := json.Unmarshal(record.Value, &value)
	r.note(record, err)
	return decoded[T]{generation: record.Generation, value: value, ok: err == nil}
}
