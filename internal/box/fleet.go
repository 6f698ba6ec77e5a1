package box

import (
	"encoding/json"
	"slices"
	"sync"
	"time"

	"ospreymoor.example/ospreymoor/pkg/kv"
	"ospreymoor.example/ospreymoor/pkg/membership"
	"ospreymoor.example/ospreymoor/pkg/orders"
	"ospreymoor.example/ospreymoor/pkg/placement"
	"ospreymoor.example/ospreymoor/pkg/records"
	"ospreymoor.example/ospreymoor/pkg/routing"
)

// Names of the records that boxes share beside the table in force.
const (
	planKey        = "fleet/plan"
	boxesRecord    = "boxes"
	holdingsPrefix = "holdings/"
	loadsPrefix    = "loads/"
)

// fleet is what this box knows of upstreams and the plan; it is made anew, never changed.
type fleet struct {
	plan    placement.Plan
	planned bool
	// informed tells that the box list and the hall's holdings were known.
	informed bool
	engines  map[string]engineInfo
	services map[string][]membership.Box
	// holders are the engines that confirmed an item.
	holders map[string][]string
	// slots is what the engines of a pool run at once.
	slots map[string]int
}

// engineInfo is one engine of the box list with what its hall's controller reports.
type engineInfo struct {
	box     membership.Box
	holding orders.Holding
	// reported tells whether there is a report.
	reported bool
	// since tells of each resident item since when this box knows of it.
	since map[string]time.Time
}

// decodedRecords keeps what records decode to, so that a change of one does not decode all.
type decodedRecords struct {
	mu       sync.Mutex
	plan     decoded[kv.Document[placement.Plan]]
	holdings map[string]decoded[orders.Holdings]
}

// decoded is a record's value at a generation.
type decoded[T any] struct {
	generation records.Generation
	value      T
	ok         bool
}

// read decodes a record unless it is still of the generation decoded last.
func (d decoded[T]) read(cache *records.Cache, name string) decoded[T] {
	record, held := cache.Get(name)
	if !held || (d.ok && d.generation == record.Generation) {
		return d
	}
	var value T
	err := json.Unmarshal(record.Value, &value)
	return decoded[T]{generation: record.Generation, value: value, ok: err == nil}
}

// adoptFleet makes the fleet anew from the records held.
func (b *Box) adoptFleet() {
	b.decoded.mu.Lock()
	defer b.decoded.mu.Unlock()
	next := &fleet{
		engines:  map[string]engineInfo{},
		services: map[string][]membership.Box{},
		holders:  map[string][]string{},
		slots:    map[string]int{},
	}
	b.decoded.plan = b.decoded.plan.read(b.cache, planKey)
	next.plan, next.planned = b.decoded.plan.value.Body, b.decoded.plan.ok
	for _, box := range b.view.Upstreams(membership.KindService) {
		next.services[box.Pool] = append(next.services[box.Pool], box)
	}
	fresh := map[string]bool{}
	for _, box := range b.view.Upstreams(membership.KindEngine) {
		if !fresh[box.Hall] {
			fresh[box.Hall] = true
			b.decoded.holdings[box.Hall] = b.decoded.holdings[box.Hall].read(b.cache, holdingsPrefix+box.Hall)
		}
		holding, reported := b.decoded.holdings[box.Hall].value.Engines[box.ID]
		b.noteIncarnation(box.ID, holding)
		next.engines[box.ID] = engineInfo{
			box:      box,
			holding:  holding,
			reported: reported,
			since:    b.residentSince(box.ID, holding),
		}
		next.slots[box.Pool] += holding.Slots
		for _, item := range holding.Resident {
			next.holders[item] = append(next.holders[item], box.ID)
		}
	}
	next.informed = next.planned && len(next.engines) > 0 && hasKey(b.cache, holdingsPrefix+b.config.Hall)
	b.fleet.Store(next)
}

// lists tells whether the box list names an upstream.
func (f *fleet) lists(upstream string) bool {
	if _, ok := f.engines[upstream]; ok {
		return true
	}
	for _, boxes := range f.services {
		for _, box := range boxes {
			if box.ID == upstream {
				return true
			}
		}
	}
	return false
}

// residentSince tells since when each of an engine's items is known to be there.
func (b *Box) residentSince(id string, holding orders.Holding) map[string]time.Time {
	old := b.fleet.Load().engines[id]
	since := make(map[string]time.Time, len(holding.Resident))
	for _, item := range holding.Resident {
		since[item] = time.Now()
		if at, ok := old.since[item]; ok && old.holding.Incarnation == holding.Incarnation {
			since[item] = at
		}
	}
	return since
}

// noteIncarnation forgets what an engine cached or said before its last start.
func (b *Box) noteIncarnation(id string, holding orders.Holding) {
	old, ok := b.fleet.Load().engines[id]
	if ok && old.reported && holding.Incarnation != "" && old.holding.Incarnation != holding.Incarnation {
		b.router.CacheGone(id)
		b.view.MarkStaying(id)
	}
	if holding.Leaving {
		b.view.MarkLeaving(id)
	}
}

// candidates lists the engines that can take a request: they confirmed the model and
// its adapter, and nobody says that they leave.
func (b *Box) candidates(item, adapter string) []routing.Candidate {
	f := b.fleet.Load()
	boxes := b.view.LiveCount() + 1
	var list []routing.Candidate
	for _, id := range f.holders[item] {
		info := f.engines[id]
		if info.box.Leaving || info.holding.Leaving || b.view.IsLeaving(id) {
			continue
		}
		if adapter != "" && !slices.Contains(info.holding.Resident, adapter) {
			continue
		}
		c := b.loads.candidate(id, info)
		if info.box.Hall != b.config.Hall {
			c.Distance = b.config.HallDistance
		}
		c.PeersSent = b.sent.since(id)
		c.Boxes = boxes
		list = append(list, c)
	}
	return list
}

// placementEngines describes the engines to the planner.
func (b *Box) placementEngines() []placement.Engine {
	f := b.fleet.Load()
	engines := make([]placement.Engine, 0, len(f.engines))
	for id, info := range f.engines {
		e := placement.Engine{
			ID:       id,
			Hall:     info.box.Hall,
			Pool:     info.box.Pool,
			Memory:   info.box.Memory,
			Slots:    info.box.Slots,
			Resident: info.since,
			Plan:     info.holding.Plan,
		}
		switch {
		case info.box.Leaving || info.holding.Leaving || b.view.IsLeaving(id):
			e.Condition = placement.Leaving
		case !b.loads.heard(id):
			e.Condition = placement.Unheard
		}
		if info.reported {
			e.Memory, e.Slots = min(e.Memory, info.holding.Capacity), info.holding.Slots
		}
		engines = append(engines, e)
	}
	return engines
}

func decodeRecord[T any](cache *records.Cache, name string) T {
	var value T
	if record, ok := cache.Get(name); ok {
		_ = json.Unmarshal(record.Value, &value)
	}
	return value
}
