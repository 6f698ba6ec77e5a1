package box

import (
	"encoding/json"
	"fmt"
	"time"

	"go.uber.org/zap"

	"ospreymoor.example/ospreymoor/pkg/bundle"
	"ospreymoor.example/ospreymoor/pkg/kv"
	"ospreymoor.example/ospreymoor/pkg/membership"
	"ospreymoor.example/ospreymoor/pkg/orders"
	"ospreymoor.example/ospreymoor/pkg/placement"
	"ospreymoor.example/ospreymoor/pkg/records"
)

// syntheticBox returns a box that does not run but has the records of a large fleet: the given number of engines in
// seven halls, and three models for each four engines with two adapters each.
func syntheticBox(engines int) *Box {
	box := New(Config{
		ID: "b", Hall: "h0", Log: zap.NewNop(),
		Peers:    PeerConfig{Address: "b:2"},
		Platform: PlatformConfig{URL: "http://platform:1", ReadsPerSecond: 1, WritesPerSecond: 1},
		Requests: RequestConfig{ClaimWindow: time.Hour},
	})
	in := placement.Input{Settings: placement.Settings{MaxLoads: 1 << 30}}
	list := membership.List{Generation: 1}
	for e := range engines {
		id := fmt.Sprintf("hall-%d-engine-%d", e%7, e)
		list.Boxes = append(list.Boxes, membership.Box{ID: id, Kind: membership.KindEngine, Hall: fmt.Sprintf("h%d", e%7), Pool: "llm", Address: id + ":1", Memory: 160 * gib, Slots: 8})
		in.Engines = append(in.Engines, placement.Engine{ID: id, Hall: fmt.Sprintf("h%d", e%7), Pool: "llm", Memory: 160 * gib, Slots: 8})
	}
	for m := range engines * 3 / 4 {
		unit := placement.Unit{Model: fmt.Sprintf("customer-%d/model-%d", m%300, m), Pool: "llm"}
		unit.Item = placement.Item{Name: unit.Model + "@weights-2026", Bytes: 20 * gib}
		for a := range 2 {
			unit.Adapters = append(unit.Adapters, placement.Item{Name: fmt.Sprintf("%s+adapter-%d@1", unit.Model, a), Base: unit.Model, Bytes: gib / 2})
		}
		in.Wanted = append(in.Wanted, unit)
	}
	plan := placement.Next(in)
	putValue(box, boxListRecord, list)
	putValue(box, planRecord, kv.Document[placement.Plan]{Body: plan})
	holdings := map[string]orders.Holdings{}
	for _, e := range in.Engines {
		if holdings[e.Hall].Engines == nil {
			holdings[e.Hall] = orders.Holdings{Hall: e.Hall, Engines: map[string]orders.Holding{}}
		}
		held := orders.Holding{Incarnation: "i", Capacity: 160 * gib, Slots: 8}
		for _, item := range plan.On(e.ID) {
			held.Resident = append(held.Resident, item.Name)
		}
		holdings[e.Hall].Engines[e.ID] = held
	}
	for hall, h := range holdings {
		putValue(box, holdingsPrefix+hall, h)
	}
	box.view.SetList(list)
	return box
}

func putValue(box *Box, name string, value any) {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	box.cache.Put(records.Record{Name: name, Generation: records.Generation{Term: 1}, Value: encoded})
}

func putText(box *Box, customer, text string) {
	putValue(box, bundle.TextKey(customer, 1), bundle.Text{YAML: text})
}

func planBytes(box *Box) int {
	record, _ := box.cache.Get(planRecord)
	return len(record.Value)
}

func holdingsBytes(box *Box) int {
	record, _ := box.cache.Get(holdingsPrefix + "h0")
	return len(record.Value)
}
