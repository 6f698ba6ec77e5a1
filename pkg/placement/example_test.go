package placement_test

import (
	"fmt"
	"time"

	"ospreymoor.example/ospreymoor/pkg/placement"
)

func ExampleNext() {
	now := time.Unix(1000, 0)
	in := placement.Input{
		Engines: []placement.Engine{
			{ID: "e1", Hall: "h1", Pool: "llm", Memory: 40 << 30, Slots: 8},
			{ID: "e2", Hall: "h2", Pool: "llm", Memory: 40 << 30, Slots: 8},
		},
		Wanted: []placement.Unit{{Model: "acme/writer", Item: placement.Item{Name: "acme/writer@1", Bytes: 30 << 30}, Pool: "llm"}},
		Now:    now,
	}
	plan := placement.Next(in)
	fmt.Println(plan.Number, plan.Units[0].Places, plan.Serving)

	// A second model has no room beside two replicas of the first. One of them is removed once the
	// other is confirmed.
	in.Last = plan
	in.Wanted = append(in.Wanted, placement.Unit{Model: "acme/helper", Item: placement.Item{Name: "acme/helper@1", Bytes: 30 << 30}, Pool: "llm"})
	fmt.Println(len(placement.Next(in).Units[0].Places), "places for the helper")
	for i := range in.Engines {
		in.Engines[i].Plan = plan.Number
		in.Engines[i].Resident = map[string]time.Time{"acme/writer@1": now}
	}
	fmt.Println(len(placement.Next(in).Units[0].Places), "place for the helper")
	// Output:
	// 1 [{e1 1} {e2 1}] map[acme/writer:acme/writer@1]
	// 0 places for the helper
	// 1 place for the helper
}

func ExampleFits() {
	err := placement.Fits(placement.Input{
		Engines: []placement.Engine{{ID: "e1", Pool: "llm", Memory: 40 << 30}},
		Wanted: []placement.Unit{
			{Model: "acme/a", Item: placement.Item{Name: "acme/a@1", Bytes: 30 << 30}, Pool: "llm"},
			{Model: "acme/b", Item: placement.Item{Name: "acme/b@1", Bytes: 20 << 30}, Pool: "llm"},
		},
	})
	fmt.Println(err)
	// Output:
	// pool llm: model acme/b with its adapters takes 20GiB, but of 40GiB on 1 engines (0 more set aside for failures) 10GiB is free, at most 10GiB on one: not enough accelerator memory: retire or shrink models, or add engines
}
