package storeview

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"
	"go.uber.org/zap"

	"ospreymoor.example/ospreymoor/internal/cluster"
	"ospreymoor.example/ospreymoor/pkg/kv"
	"ospreymoor.example/ospreymoor/pkg/logfield"
	"ospreymoor.example/ospreymoor/pkg/mirror"
	"ospreymoor.example/ospreymoor/pkg/routes"
)

// configInForce is the configuration in force, with what it was decoded from. It is safe for concurrent use.
type configInForce struct {
	mu      sync.Mutex
	version int64
	records map[string]kv.Record
	// stored is the version that this box's copy of the store has; 0 if it has none.
	stored int64
}

// known reports whether there is a configuration in force.
func (c *configInForce) known() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.records != nil
}

func (c *configInForce) setStored(version int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stored = version
}

// replace notes a version and what it was decoded from if put puts it in force, and reports whether it did.
func (c *configInForce) replace(version int64, records map[string]kv.Record, put func() bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !put() {
		return false
	}
	c.version, c.records = version, records
	return true
}

// VersionInForce returns the version of the configuration in force; 0 if there is none.
func (v *View) VersionInForce() int64 {
	v.inForce.mu.Lock()
	defer v.inForce.mu.Unlock()
	return v.inForce.version
}

// ConfiguredAt returns when this box first had a configuration and the list of boxes that came with it; the zero time if
// it has none yet.
func (v *View) ConfiguredAt() time.Time {
	if at := v.configuredAt.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// HeldConfig returns the configuration in force if the store has only older ones, as after it came back from a copy; nil
// otherwise.
func (v *View) HeldConfig() *cluster.HeldConfig {
	c := &v.inForce
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.version <= c.stored {
		return nil
	}
	return &cluster.HeldConfig{Version: c.version, Records: c.records}
}

// fromHolder is the origin, for logs, of a configuration that another box holds and the store does not have.
const fromHolder = "held by another box"

// errOtherVersion is the error of a configuration that is not of the version that its sender stated.
const errOtherVersion = errors.ConstError("configuration of another version than the box that holds it stated")

// PutInForce puts a configuration in force that another box holds, if it is newer.
func (v *View) PutInForce(held cluster.HeldConfig) error {
	start := time.Now()
	table, err := v.config.Platform.DecodeTable(held.Records)
	if err != nil {
		return errors.Trace(err)
	}
	if table == nil || table.Version != held.Version {
		return errors.Annotatef(errOtherVersion, "version %d", held.Version)
	}
	v.putInForce(table, held.Records, fromHolder, start)
	return nil
}

// applyTable decodes a changed configuration and puts it in force.
func (v *View) applyTable(state mirror.State, changed []string) {
	if len(changed) == 0 {
		return
	}
	start := time.Now()
	records := map[string]kv.Record{}
	var newest int64
	for _, key := range changed {
		if record, found := state.Records.Get(key); found {
			records[key] = record
			newest = max(newest, record.Revision)
		}
	}
	table, err := v.config.Platform.DecodeTable(records)
	if err != nil {
		v.config.Log.Error("configuration unreadable: the former one stays in force", zap.Int64("revision", kv.SequenceOf(newest)), logfield.Error(err))
		return
	}
	if table == nil {
		v.inForce.setStored(0)
		return
	}
	v.inForce.setStored(table.Version)
	v.putInForce(table, records, string(state.Origin), start)
}

// putInForce puts a configuration in force that was decoded from records, and logs it if it is newer than the one
// before. It reports whether it is.
func (v *View) putInForce(table *routes.Table, records map[string]kv.Record, origin string, start time.Time) bool {
	table.Origin = originOf(records)
	if !v.inForce.replace(table.Version, records, func() bool { return v.config.SetTable(table) }) {
		return false
	}
	var newest int64
	bytes := 0
	for _, record := range records {
		newest = max(newest, record.Revision)
		bytes += len(record.Value)
	}
	v.config.Log.Info("configuration in force",
		zap.Int64("version", table.Version),
		zap.Int64("revision", kv.SequenceOf(newest)),
		zap.Int("routes", len(table.Routes)),
		zap.Int("bytes", bytes),
		zap.String("origin", origin),
		zap.Duration("took", time.Since(start)))
	if disputed := table.Customers.SharingKey(); len(disputed) > 0 {
		v.config.Log.Warn("customers have a key in common, which names none of them: give each its own",
			zap.Int64("version", table.Version), zap.Strings("customers", disputed))
	}
	return true
}

// originOf returns the origin of the configuration that is decoded from records.
func originOf(records map[string]kv.Record) routes.Origin {
	var origin routes.Origin
	for _, key := range slices.Sorted(maps.Keys(records)) {
		record := records[key]
		origin.Epoch = max(origin.Epoch, kv.EpochOf(record.Revision))
		origin.Digest = origin.Digest*31 + xxhash.Sum64(record.Value)
	}
	return origin
}
