package box

import (
	"encoding/json"
	"sync"

	"go.uber.org/zap"

	"ospreymoor.example/ospreymoor/pkg/logfield"
	"ospreymoor.example/ospreymoor/pkg/records"
)

// recordReader decodes records of the cache. A record that cannot be decoded is logged once for its name, and again
// only after one of that name could be decoded.
type recordReader struct {
	cache *records.Cache
	log   *zap.Logger

	mu         sync.Mutex
	unreadable map[string]struct{}
}

func newRecordReader(cache *records.Cache, log *zap.Logger) *recordReader {
	return &recordReader{cache: cache, log: log, unreadable: map[string]struct{}{}}
}

// readRecord decodes the record of a name. It returns the zero value if there is none or if it cannot be decoded; the
// next generation then replaces it.
func readRecord[T any](r *recordReader, name string) T {
	var value T
	record, ok := r.cache.Get(name)
	if !ok {
		return value
	}
	err := json.Unmarshal(record.Value, &value)
	r.logDecodeResult(record, err)
	return value
}

// logDecodeResult logs the first of several successive failures to decode the records of a name.
func (r *recordReader) logDecodeResult(record records.Record, err error) {
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

// decodedRecord is the decoded value of one generation of a record.
type decodedRecord[T any] struct {
	generation records.Generation
	value      T
	ok         bool
}

// refresh returns the decoded record of a name. It decodes the record only if it has changed or could not be decoded
// before.
func (d decodedRecord[T]) refresh(r *recordReader, name string) decodedRecord[T] {
	record, held := r.cache.Get(name)
	if !held || (d.ok && d.generation == record.Generation) {
		return d
	}
	var value T
	err := json.Unmarshal(record.Value, &value)
	r.logDecodeResult(record, err)
	return decodedRecord[T]{generation: record.Generation, value: value, ok: err == nil}
}
