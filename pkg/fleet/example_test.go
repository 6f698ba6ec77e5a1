package fleet_test

import (
	"fmt"
	"time"

	"ospreymoor.example/ospreymoor/pkg/fleet"
)

func ExampleDirectory() {
	directory := fleet.New()
	engine := fleet.Upstream{ID: "e1", Service: "chat", Models: []fleet.Holding{{Model: "small"}}, Revision: 7}
	for _, change := range directory.SetList(7, []fleet.Upstream{engine}, time.Time{}) {
		fmt.Println(change.Upstream.ID, change.Kind)
	}
	// The order holder loaded a model that the list does not have yet.
	directory.Publish(3, "e1", fleet.Residency{Loaded: []string{"large"}})
	state := directory.Get("e1")
	fmt.Println(state.Usable(time.Now()), state.Holds("small"), state.Holds("large"), state.Holds("other"))
	// Another box gets the update.
	fmt.Println(len(directory.UpdateSince(fleet.Version{}).Engines), directory.Version())
	// Output:
	// e1 joined
	// true true true false
	// 1 {3 1}
}
