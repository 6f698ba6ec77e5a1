package storeview

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"ospreymoor.example/ospreymoor/internal/cluster"
	"ospreymoor.example/ospreymoor/internal/orderlease"
	"ospreymoor.example/ospreymoor/pkg/fleet"
	"ospreymoor.example/ospreymoor/pkg/kv"
	"ospreymoor.example/ospreymoor/pkg/mirror"
	"ospreymoor.example/ospreymoor/pkg/origins"
	"ospreymoor.example/ospreymoor/pkg/quarantine"
	"ospreymoor.example/ospreymoor/pkg/routes"
)

// Config holds the settings of a View and the components to which it passes what it decodes.
type Config struct {
	Platform   Platform
	Directory  *fleet.Directory
	Members    *cluster.Members
	OrderLease *orderlease.Lease
	// Quarantine receives the store's records of requests held by quarantine.
	Quarantine *quarantine.Register
	// CrashParts receives those of parts of prompts.
	CrashParts *quarantine.PartRegister
	// Origins receives the store's records of where streams began.
	Origins *origins.Register
	// SetTable puts a configuration in force, and reports whether it was newer than the one before.
	SetTable func(*routes.Table) bool
	// Forget is called with the id of each upstream that is removed from the directory.
	Forget func(upstream string)
	// ReadsFullStore means that this box reads the whole store when it starts, so that other boxes can ask it for a
	// first copy.
	ReadsFullStore bool
	// Metrics counts entries that name no usable upstream; nil counts none.
	Metrics *metrics.Set
	Log     *zap.Logger
}

// View holds this box's copy of the store and what was decoded from it.
type View struct {
	config Config
	mirror *mirror.Mirror
	// jitter is what this box adds to the limits of staleness; see maxStalenessJitter.
	jitter time.Duration
	// restoredWaitShare is this box's share, 0 to 1, of the jitter in leaveRestored.
	restoredWaitShare float64
	// lastFollowReason is the reason why this box follows the store itself; empty while other boxes keep its copy up to
	// date. Only the mirror's goroutine uses it.
	lastFollowReason followReason
	// loggedOlderThan is the copy's revision at the latest logged snapshot that was older than it.
	loggedOlderThan int64
	// copyWaitDeadline is when this box stops waiting for a first copy of a large store from other boxes.
	copyWaitDeadline time.Time
	// changeLogLimit limits the log lines about changes in the list of upstreams.
	changeLogLimit logLimit
	// recordCount is the number of records of the copy.
	recordCount atomic.Int64
	// evacuatedHalls is the number of evacuated halls, for a metric.
	evacuatedHalls atomic.Int64
	// configuredAt is when a state that has a configuration was first applied; nil before that.
	configuredAt atomic.Pointer[time.Time]
	inForce      configInForce

	// The fields below are changed only by applyState, which never runs concurrently with itself.

	// lastRecords, lastRevision and lastOrigin are those of the copy that was applied last.
	lastRecords  mirror.Records
	lastRevision int64
	lastOrigin   mirror.Origin
	// upstreamIDs has the upstream's id by the key of its entry. unusableReasons has, by key, why an entry names no
	// usable upstream.
	upstreamIDs     map[string]string
	unusableReasons map[string]string
	// boxByKey has the latest registration of each key.
	boxByKey    map[string]registeredBox
	evacuations evacuationSet
}

// New returns a view without a copy of the store. Run fetches and updates the copy.
func New(config Config) *View {
	v := &View{
		config: config, jitter: rand.N(maxStalenessJitter), restoredWaitShare: rand.Float64(), copyWaitDeadline: time.Now().Add(minCopyWait + rand.N(maxCopyWaitJitter)),
		upstreamIDs: map[string]string{}, unusableReasons: map[string]string{}, boxByKey: map[string]registeredBox{},
		evacuations: evacuationSet{halls: map[string]bool{}, lost: map[string]time.Time{}},
	}
	v.mirror = &mirror.Mirror{
		Store:             config.Platform.Store,
		OnChange:          v.applyState,
		BatchDelay:        v.batchDelay,
		PollTimeout:       v.pollTimeout,
		PollAhead:         v.pollAhead,
		Paused:            v.mayPause,
		MayAwaitRestored:  v.mayAwaitRestored,
		LeaveRestored:     v.leaveRestored,
		MayAwaitCopy:      v.mayAwaitCopy,
		OnPartialSnapshot: v.applyPartialSnapshot,
		OnConnectivity:    v.logConnectivity,
		OnOlderSnapshot:   v.logOlderSnapshot,
		OnWatchEnd:        v.countWatchEnd,
	}
	if config.Metrics != nil {
		config.Metrics.NewGauge("ospreymoor_store_epoch", func() float64 { return float64(v.storeEpoch()) })
		config.Metrics.NewGauge("ospreymoor_evacuated_halls", func() float64 { return float64(v.evacuatedHalls.Load()) })
	}
	return v
}

// Run follows the store until ctx ends.
func (v *View) Run(ctx context.Context) { v.mirror.Run(ctx) }

// Mirror returns this box's copy of the store.
func (v *View) Mirror() *mirror.Mirror { return v.mirror }

// ConfigMissing reports whether other boxes named a configuration that this box's copy lacks.
func (v *View) ConfigMissing() bool {
	return slices.ContainsFunc(v.mirror.Missing(), func(record mirror.LargeRecord) bool {
		return strings.HasPrefix(record.Key, v.config.Platform.ConfigPrefix)
	})
}

// applyState applies a new state of the copy. The mirror makes one call at a time. The cost grows with the number of
// changed records, not with the size of the store.
func (v *View) applyState(state mirror.State) {
	changes := v.groupChangedKeys(state)
	first := v.lastRevision == 0
	restored := !first && kv.Precedes(v.lastRevision, kv.EpochOf(state.Revision))
	if restored {
		v.logRestored(state)
	}
	if note := v.config.Platform.Store.NoteEpoch; note != nil {
		note(kv.EpochOf(state.Revision))
	}
	v.lastRecords, v.lastRevision, v.lastOrigin = state.Records, state.Revision, state.Origin
	v.recordCount.Store(int64(state.Records.Len()))
	v.applyOrigins(state, changes.own) // Before the list of upstreams, with which callers take streams up.
	v.applyTable(state, changes.config)
	evacuations := v.applyEvacuations(state, changes.evacuations, restored)
	v.applyUpstreams(state, changes.upstreams, restored)
	v.logEvacuations(&evacuations, state.Revision, string(state.Origin))
	v.applyOwnRecords(state, changes.own, !first && !restored)
	if v.configuredAt.Load() == nil && v.inForce.known() {
		now := time.Now()
		v.configuredAt.Store(&now)
	}
}

// changedKeys are the keys whose records changed, grouped by what the records describe.
type changedKeys struct{ config, evacuations, upstreams, own []string }

// groupChangedKeys returns the keys whose records changed, grouped by their prefix.
func (v *View) groupChangedKeys(state mirror.State) changedKeys {
	keys := state.Changed
	if keys == nil {
		keys = v.lastRecords.Difference(state.Records)
	}
	platform := &v.config.Platform
	var grouped changedKeys
	for _, key := range keys {
		switch {
		case strings.HasPrefix(key, platform.UpstreamPrefix):
			grouped.upstreams = append(grouped.upstreams, key)
		case strings.HasPrefix(key, platform.OwnPrefix):
			grouped.own = append(grouped.own, key)
		case platform.EvacuationPrefix != "" && strings.HasPrefix(key, platform.EvacuationPrefix):
			grouped.evacuations = append(grouped.evacuations, key)
		case strings.HasPrefix(key, platform.ConfigPrefix):
			grouped.config = append(grouped.config, key)
		}
	}
	return grouped
}
