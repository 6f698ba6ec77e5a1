package gateway

import (
	"encoding/json"
	"strings"
	"time"

	"go.uber.org/zap"

	"ospreymoor.example/ospreymoor/internal/cluster"
	"ospreymoor.example/ospreymoor/pkg/fleet"
	"ospreymoor.example/ospreymoor/pkg/kv"
	"ospreymoor.example/ospreymoor/pkg/logfield"
	"ospreymoor.example/ospreymoor/pkg/mirror"
)

// Keys below the own prefix.
const (
	nodePart = "nodes/"
)

// Times of the store's watch. A few machines ask often, so that changes that a silent watch
// did not tell are found soon; the others hear of them by the exchange and rest meanwhile.
const (
	// holderQuiet is how long changes are gathered on the machine that gives orders, which waits
	// for their ends, and otherQuiet on the others.
	holderQuiet = 150 * time.Millisecond
	otherQuiet  = 250 * time.Millisecond
	// firstIdle and otherIdle are how long a watch may be silent.
	firstIdle = 400 * time.Millisecond
	otherIdle = 800 * time.Millisecond
	// restTime is how old the news of the store may be on a machine that rests, and largeRestTime
	// where news come by way of relays. Up to restSpread is added, another time on each machine,
	// so that not all ask at once.
	restTime      = 900 * time.Millisecond
	largeRestTime = 1300 * time.Millisecond
	restSpread    = 600 * time.Millisecond
)

func (n *Node) watchQuiet() time.Duration {
	if n.orders.Held() {
		return holderQuiet
	}
	return otherQuiet
}

func (n *Node) watchIdle() time.Duration {
	if n.members.WatchRank() == 0 {
		return firstIdle
	}
	return otherIdle
}

// watchResting tells whether peers tell this machine of the store in good time.
func (n *Node) watchResting() bool {
	if n.members.WatchRank() < cluster.Watchers {
		return false
	}
	if n.orders.Held() {
		return false
	}
	limit := restTime
	if n.members.FollowsRelay() {
		limit = largeRestTime
	}
	staleness := n.mirror.Staleness()
	return staleness >= 0 && staleness < limit+n.restSpread
}

// storeView turns the copy of the store into the table, the directory and the other machines.
// Its methods, but for tell and tellAll, are called one at a time.
type storeView struct {
	platform Platform
	node     *Node
	// config is the revision of the configuration that was decoded last.
	config int64
	// decoded are the back ends of the last list, by key.
	decoded map[string]fleet.Upstream
	// own tells the last state of the machines' own records.
	own partStamp
}

// partStamp tells two states of the records below one prefix apart.
type partStamp struct {
	newest int64
	count  int
}

// take takes a new copy in.
func (v *storeView) take(state mirror.State) {
	v.takeConfig(state)
	v.takeBackends(state)
	v.takeOwn(state)
}

// takeConfig puts a new configuration in force.
func (v *storeView) takeConfig(state mirror.State) {
	log := v.node.config.Log
	newest := stampOf(state, v.platform.ConfigPrefix).newest
	if newest == v.config {
		return
	}
	v.config = newest
	table, err := v.platform.DecodeTable(state.Records)
	if err != nil {
		log.Error("configuration not understood", zap.Int64("revision", newest), logfield.Error(err))
		return
	}
	if table != nil && v.node.Gateway.SetTable(table) {
		log.Info("configuration in force",
			zap.Int64("version", table.Version),
			zap.Int64("revision", newest),
			zap.Int("routes", len(table.Routes)))
	}
}

// takeBackends takes a list of back ends; only records that changed are decoded.
func (v *storeView) takeBackends(state mirror.State) {
	next := make(map[string]fleet.Upstream, len(v.decoded))
	list := make([]fleet.Upstream, 0, len(v.decoded))
	for key, record := range state.Records {
		if !strings.HasPrefix(key, v.platform.UpstreamPrefix) {
			continue
		}
		backend, ok := v.decoded[key]
		if !ok || backend.Revision != record.Revision {
			backend, ok = v.decode(record)
		}
		if ok {
			next[key] = backend
			list = append(list, backend)
		}
	}
	v.decoded = next
	v.tellAll(v.node.Gateway.Directory.SetList(state.Revision, list, state.PreviousCurrentAt))
}

func (v *storeView) tellAll(changes []fleet.Change) {
	for _, change := range changes {
		v.tell(change, v.node.Gateway.Directory.Revision())
	}
}

func (v *storeView) decode(record kv.Record) (fleet.Upstream, bool) {
	backend, err := v.platform.DecodeUpstream(record)
	if err != nil {
		v.node.config.Log.Warn("back end not understood", zap.String("key", record.Key), logfield.Error(err))
	}
	return backend, err == nil
}

// tell takes note of a back end that came, went or began to leave.
func (v *storeView) tell(change fleet.Change, revision int64) {
	v.node.config.Log.Info("back end "+string(change.Kind),
		zap.String("backend", change.Upstream.ID),
		zap.String("service", change.Upstream.Service),
		zap.String("address", change.Upstream.Address),
		zap.Duration("notice", change.Upstream.Notice),
		zap.Int64("revision", revision))
	if change.Kind == fleet.Removed {
		v.node.config.Upstreams.Forget(change.Upstream.ID)
		v.node.Gateway.Loads.Forget(change.Upstream.ID)
	}
}

// takeOwn takes what machines wrote themselves: their registrations and the order lease.
func (v *storeView) takeOwn(state mirror.State) {
	stamp := stampOf(state, v.platform.OwnPrefix)
	if stamp == v.own {
		return
	}
	v.own = stamp
	v.node.members.SetRegistered(v.boxes(state))
	v.node.orders.Observe(state)
}

// boxes decodes the registrations of the boxes.
func (v *storeView) boxes(state mirror.State) []cluster.Box {
	var list []cluster.Box
	for key, record := range state.Records {
		if !strings.HasPrefix(key, v.platform.OwnPrefix+nodePart) {
			continue
		}
		var box cluster.Box
		if err := json.Unmarshal(record.Value, &box); err != nil {
			v.node.config.Log.Warn("box record not understood", zap.String("key", key), logfield.Error(err))
			continue
		}
		list = append(list, box)
	}
	return list
}

func stampOf(state mirror.State, prefix string) partStamp {
	var stamp partStamp
	for key, record := range state.Records {
		if strings.HasPrefix(key, prefix) {
			stamp.newest = max(stamp.newest, record.Revision)
			stamp.count++
		}
	}
	return stamp
}
