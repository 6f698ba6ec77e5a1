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
	"ospreymoor.example/ospreymoor/pkg/kv"
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
	// ReadsWhole means that this box reads the store whole when it starts, as one that others ask for a first copy.
	ReadsWhole bool
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
	// following is the reason for which this box asked the store last; empty while others keep its copy up to date. The mirror's own
	// goroutine alone uses it.
	following followReason
	// awaitsUntil is until when this box awaits a first copy of a large store from others.
	awaitsUntil time.Time
	// changeLines bounds the log of what changes in the list of upstreams.
	changeLines lineBudget
	// evacuatedHalls counts them, for a metric.
	evacuatedHalls atomic.Int64

	// All below is changed by take alone, which runs once at a time.

	// last are the records of the copy that was taken last.
	last mirror.Records
	// upstreams are the ids that the last list's entries name, by key, and unusable why others name no upstream to use.
	upstreams map[string]string
	unusable  map[string]string
	// boxByKey are the boxes of the last list, by key.
	boxByKey map[string]registeredBox
	// evacuated are the halls that are evacuated.
	evacuated map[string]bool
}

// New returns a view without a copy; Run fills it.
func New(config Config) *View {
	v := &View{
		config: config, spread: rand.N(stalenessSpread), awaitsUntil: time.Now().Add(copyWait + rand.N(copySpread)),
		upstreams: map[string]string{}, unusable: map[string]string{}, boxByKey: map[string]registeredBox{}, evacuated: map[string]bool{},
	}
	v.mirror = &mirror.Mirror{
		Store:          config.Platform.Store,
		OnChange:       v.take,
		BatchDelay:     v.batchDelay,
		PollTimeout:    v.pollTimeout,
		PollAhead:      v.pollAhead,
		Paused:         v.paused,
		AwaitsCopy:     v.awaitsCopy,
		OnPart:         v.takePart,
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

// take takes in a new copy. The mirror calls it, one call at a time. Its cost goes with what changed.
func (v *View) take(state mirror.State) {
	changes := v.changesOf(state)
	v.last = state.Records
	v.takeTable(state, changes.config)
	evacuations := v.takeEvacuations(state, changes.evacuations)
	v.takeUpstreams(state, changes.upstreams)
	v.logEvacuations(&evacuations, state)
	v.takeOwn(state, changes.own)
}

// changes are the keys whose records changed, by what they are of.
type changes struct{ config, evacuations, upstreams, own []string }

// changesOf sorts the keys whose records changed.
func (v *View) changesOf(state mirror.State) changes {
	keys := state.Changed
	if keys == nil {
		keys = v.last.Difference(state.Records)
	}
	platform := &v.config.Platform
	var sorted changes
	for _, key := range keys {
		switch {
		case strings.HasPrefix(key, platform.UpstreamPrefix):
			sorted.upstreams = append(sorted.upstreams, key)
		case strings.HasPrefix(key, platform.OwnPrefix):
			sorted.own = append(sorted.own, key)
		case platform.EvacuationPrefix != "" && strings.HasPrefix(key, platform.EvacuationPrefix):
			sorted.evacuations = append(sorted.evacuations, key)
		case strings.HasPrefix(key, platform.ConfigPrefix):
			sorted.config = append(sorted.config, key)
		}
	}
	return sorted
}

// takeTable puts a new configuration in force.
func (v *View) takeTable(state mirror.State, changed []string) {
	if len(changed) == 0 {
		return
	}
	begun := time.Now()
	var newest int64
	bytes := 0
	records := map[string]kv.Record{}
	for _, key := range changed {
		if record, held := state.Records.Get(key); held {
			records[key] = record
			newest = max(newest, record.Revision)
			bytes += len(record.Value)
		}
	}
	table, err := v.config.Platform.DecodeTable(records)
	if err != nil {
		v.config.Log.Error("configuration unreadable: the former one stays in force", zap.Int64("revision", newest), logfield.Error(err))
		return
	}
	if table != nil && v.config.SetTable(table) {
		v.config.Log.Info("configuration in force",
			zap.Int64("version", table.Version),
			zap.Int64("revision", newest),
			zap.Int("routes", len(table.Routes)),
			zap.Int("bytes", bytes),
			zap.String("origin", string(state.Origin)),
			zap.Duration("took", time.Since(begun)))
		if disputed := table.Customers.Disputed(); len(disputed) > 0 {
			v.config.Log.Warn("customers have a key in common, which names none of them: give each its own",
				zap.Int64("version", table.Version), zap.Strings("customers", disputed))
		}
	}
}
