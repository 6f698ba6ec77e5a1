package storeview

import (
	"context"
	"math/rand/v2"
	"strings"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"ospreymoor.example/ospreymoor/internal/cluster"
	"ospreymoor.example/ospreymoor/internal/orderlease"
	"ospreymoor.example/ospreymoor/pkg/fleet"
	"ospreymoor.example/ospreymoor/pkg/logfield"
	"ospreymoor.example/ospreymoor/pkg/mirror"
	"ospreymoor.example/ospreymoor/pkg/quarantine"
	"ospreymoor.example/ospreymoor/pkg/routes"
)

// Config is what a view works with: the owners of what it decodes.
type Config struct {
	Platform   Platform
	Directory  *fleet.Directory
	Members    *cluster.Members
	OrderLease *orderlease.Lease
	// Quarantine takes the requests that are held.
	Quarantine *quarantine.Register
	// SetTable puts a configuration in force, and returns whether it was newer.
	SetTable func(*routes.Table) bool
	// Forget is called with the id of each upstream that is gone.
	Forget func(upstream string)
	// Metrics counts entries that name no upstream; nil counts none.
	Metrics *metrics.Set
	Log     *zap.Logger
}

// View is the copy of the store, and what is decoded from it.
type View struct {
	config Config
	mirror *mirror.Mirror
	// spread is this box's part of stalenessSpread.
	spread time.Duration
	// evacuatedHalls counts them, for a metric.
	evacuatedHalls atomic.Int64

	// All below is changed by take alone, which runs once at a time.

	// table is the revision of the configuration that was decoded last.
	table int64
	// upstreams are the entries of the last list, by key.
	upstreams map[string]listEntry
	// boxByKey are the boxes of the last list, by key.
	boxByKey map[string]registeredBox
	// holdsRead is up to which revision records of held requests were taken in.
	holdsRead int64
	// own is the state of the own records that was decoded last.
	own fingerprint
}

// New returns a view without a copy; Run fills it.
func New(config Config) *View {
	v := &View{config: config, spread: rand.N(stalenessSpread), upstreams: map[string]listEntry{}}
	v.mirror = &mirror.Mirror{
		Store:          config.Platform.Store,
		OnChange:       v.take,
		BatchDelay:     v.batchDelay,
		PollTimeout:    v.pollTimeout,
		PollAhead:      v.pollAhead,
		Paused:         v.paused,
		OnConnectivity: v.logConnectivity,
	}
	if config.Metrics != nil {
		config.Metrics.NewGauge("ospreymoor_evacuated_halls", func() float64 { return float64(v.evacuatedHalls.Load()) })
	}
	return v
}

// Run follows the store until ctx ends.
func (v *View) Run(ctx context.Context) { v.mirror.Run(ctx) }

// Mirror is the copy of all that the store holds.
func (v *View) Mirror() *mirror.Mirror { return v.mirror }

func (v *View) logConnectivity(err error) {
	if err != nil {
		v.config.Log.Warn("store lost", logfield.Error(err))
	} else {
		v.config.Log.Info("store regained")
	}
}

// take takes in a new copy. The mirror calls it, one call at a time.
func (v *View) take(state mirror.State) {
	v.takeTable(state)
	evacuations := v.takeEvacuations(state)
	v.takeUpstreams(state)
	v.logEvacuations(&evacuations, state)
	v.takeOwn(state)
}

// fingerprint differs between two states of the records below one prefix.
type fingerprint struct {
	// newest is the highest revision of the records.
	newest int64
	count  int
	// bytes of all values.
	bytes int
}

func fingerprintOf(state mirror.State, prefix string) fingerprint {
	var f fingerprint
	for key, record := range state.Records {
		if strings.HasPrefix(key, prefix) {
			f.newest = max(f.newest, record.Revision)
			f.count++
			f.bytes += len(record.Value)
		}
	}
	return f
}

// takeTable puts a new configuration in force.
func (v *View) takeTable(state mirror.State) {
	begun := time.Now()
	written := fingerprintOf(state, v.config.Platform.ConfigPrefix)
	newest := written.newest
	if newest == v.table {
		return
	}
	v.table = newest
	table, err := v.config.Platform.DecodeTable(state.Records)
	if err != nil {
		v.config.Log.Error("configuration unreadable: the former one stays in force", zap.Int64("revision", newest), logfield.Error(err))
		return
	}
	if table != nil && v.config.SetTable(table) {
		v.config.Log.Info("configuration in force",
			zap.Int64("version", table.Version),
			zap.Int64("revision", newest),
			zap.Int("routes", len(table.Routes)),
			zap.Int("bytes", written.bytes),
			zap.String("origin", string(state.Origin)),
			zap.Duration("took", time.Since(begun)))
		if disputed := table.Customers.Disputed(); len(disputed) > 0 {
			v.config.Log.Warn("customers have a key in common, which names none of them: give each its own",
				zap.Int64("version", table.Version), zap.Strings("customers", disputed))
		}
	}
}
