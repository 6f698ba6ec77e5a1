package box

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"ospreymoor.example/ospreymoor/pkg/kv"
	"ospreymoor.example/ospreymoor/pkg/membership"
	"ospreymoor.example/ospreymoor/pkg/orders"
	"ospreymoor.example/ospreymoor/pkg/placement"
	"ospreymoor.example/ospreymoor/pkg/records"
	"ospreymoor.example/ospreymoor/pkg/routing"
)

// fleetState owns what this box knows of upstreams and the plan. It is derived from the records of the cache.
type fleetState struct {
	self *self
	// hallDistance is the extra latency to the upstreams of another hall.
	hallDistance time.Duration
	reader       *recordReader
	cache        *records.Cache
	view         *membership.View
	router       *routing.Router
	loads        *loadTable
	sent         *sentTable

	// snapshot is replaced at each change and never modified.
	snapshot atomic.Pointer[fleetSnapshot]

	// mu guards the decoded records below. They are kept so that a change of one record does not decode all of them.
	mu       sync.Mutex
	plan     decodedRecord[kv.Document[placement.Plan]]
	holdings map[string]decodedRecord[orders.Holdings]
}

// fleetSnapshot is the fleet as this box knows it at one moment.
type fleetSnapshot struct {
	plan    placement.Plan
	planned bool
	// complete is whether the box list, the plan and the hall's holdings were known when the snapshot was made.
	complete bool
	engines  map[string]engineState
	services map[string][]membership.Box
	// holders lists, by item, the engines that have confirmed to hold it.
	holders map[string][]string
	// slots is how many requests the engines of a pool can run at once.
	slots map[string]int
}

// engineState is an engine of the box list, with what its hall's controller reports of it.
type engineState struct {
	box     membership.Box
	holding orders.Holding
	// reported is whether its hall's controller has reported it.
	reported bool
	// since is when this box first saw each resident item reported.
	since map[string]time.Time
}

// fleetConfig holds the parts that a fleetState uses.
type fleetConfig struct {
	self         *self
	hallDistance time.Duration
	reader       *recordReader
	view         *membership.View
	router       *routing.Router
}

func newFleetState(config fleetConfig) *fleetState {
	s := &fleetState{
		self:         config.self,
		hallDistance: config.hallDistance,
		reader:       config.reader,
		cache:        config.reader.cache,
		view:         config.view,
		router:       config.router,
		loads:        newLoadTable(),
		sent:         newSentTable(),
		holdings:     map[string]decodedRecord[orders.Holdings]{},
	}
	s.snapshot.Store(&fleetSnapshot{})
	return s
}

// rebuild replaces the snapshot by one made from the records in the cache.
func (s *fleetState) rebuild() {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := &fleetSnapshot{
		engines:  map[string]engineState{},
		services: map[string][]membership.Box{},
		holders:  map[string][]string{},
		slots:    map[string]int{},
	}
	s.plan = s.plan.refresh(s.reader, planRecord)
	next.plan, next.planned = s.plan.value.Body, s.plan.ok
	for _, box := range s.view.Upstreams(membership.KindService) {
		next.services[box.Pool] = append(next.services[box.Pool], box)
	}
	refreshed := map[string]bool{}
	for _, box := range s.view.Upstreams(membership.KindEngine) {
		if !refreshed[box.Hall] {
			refreshed[box.Hall] = true
			s.holdings[box.Hall] = s.holdings[box.Hall].refresh(s.reader, holdingsPrefix+box.Hall)
		}
		holding, reported := s.holdings[box.Hall].value.Engines[box.ID]
		s.updateLeaving(box.ID, holding)
		next.add(engineState{
			box:      box,
			holding:  holding,
			reported: reported,
			since:    s.residentSince(box.ID, holding),
		})
	}
	next.complete = next.planned && len(next.engines) > 0 && hasRecord(s.cache, holdingsPrefix+s.self.hall)
	s.snapshot.Store(next)
}

// add adds an engine to a snapshot that is not in use yet.
func (f *fleetSnapshot) add(state engineState) {
	f.engines[state.box.ID] = state
	f.slots[state.box.Pool] += state.holding.Slots
	for _, item := range state.holding.Resident {
		f.holders[item] = append(f.holders[item], state.box.ID)
	}
}

// hasUpstream reports whether the box list names an upstream.
func (f *fleetSnapshot) hasUpstream(upstream string) bool {
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

// residentSince returns when each of an engine's items was first seen on its current incarnation.
func (s *fleetState) residentSince(id string, holding orders.Holding) map[string]time.Time {
	old := s.snapshot.Load().engines[id]
	since := make(map[string]time.Time, len(holding.Resident))
	for _, item := range holding.Resident {
		since[item] = time.Now()
		if at, ok := old.since[item]; ok && old.holding.Incarnation == holding.Incarnation {
			since[item] = at
		}
	}
	return since
}

// updateLeaving marks an engine as leaving if its report says so. If the engine has restarted, it first drops what
// the router knows of the engine's cache, and that the earlier incarnation was leaving.
func (s *fleetState) updateLeaving(id string, holding orders.Holding) {
	old, ok := s.snapshot.Load().engines[id]
	if ok && old.reported && holding.Incarnation != "" && old.holding.Incarnation != holding.Incarnation {
		s.router.DropPrefixes(id)
		s.view.ClearLeaving(id)
	}
	if holding.Leaving {
		s.view.MarkLeaving(id)
	}
}

// leaving reports whether an upstream is leaving according to the box list, its hall's controller or the upstream
// itself.
func (s *fleetState) leaving(state engineState) bool {
	return state.box.Leaving || state.holding.Leaving || s.view.IsLeaving(state.box.ID)
}

// candidates lists the engines that can take a request: those that have confirmed the model and its adapter and
// that no source reports as leaving.
func (s *fleetState) candidates(item, adapter string) []routing.Candidate {
	f := s.snapshot.Load()
	boxes := s.view.LiveCount() + 1
	var list []routing.Candidate
	for _, id := range f.holders[item] {
		state := f.engines[id]
		if s.leaving(state) || (adapter != "" && !slices.Contains(state.holding.Resident, adapter)) {
			continue
		}
		candidate := s.loads.candidate(id, state)
		candidate.Distance = s.distance(state.box)
		candidate.PeersSent = s.sent.sinceReport(id)
		candidate.Boxes = boxes
		list = append(list, candidate)
	}
	return list
}

// distance returns the extra latency to an upstream.
func (s *fleetState) distance(box membership.Box) time.Duration {
	if box.Hall != s.self.hall {
		return s.hallDistance
	}
	return 0
}

// serviceCandidates lists the upstreams of a pool of plain services that no source reports as leaving, with their box
// list entries by id. Plain services report no load.
func (s *fleetState) serviceCandidates(pool string) ([]routing.Candidate, map[string]membership.Box) {
	byID := map[string]membership.Box{}
	var list []routing.Candidate
	for _, box := range s.snapshot.Load().services[pool] {
		if box.Leaving || s.view.IsLeaving(box.ID) {
			continue
		}
		byID[box.ID] = box
		list = append(list, routing.Candidate{
			ID:       box.ID,
			Slots:    serviceSlots,
			Reported: time.Now(),
			Distance: s.distance(box),
		})
	}
	return list, byID
}

// applyLoads stores the load reports of a hall. Each engine's report covers the requests sent to it so far.
func (s *fleetState) applyLoads(name string, loads orders.Loads) {
	s.loads.update(name, loads)
	for id := range loads.Engines {
		s.sent.markReported(id)
	}
}
