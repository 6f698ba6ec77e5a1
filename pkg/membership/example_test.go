package membership_test

import (
	"fmt"

	"ospreymoor.example/ospreymoor/pkg/membership"
)

func ExampleView() {
	view := membership.NewView("box-1")
	view.SetList(membership.List{Generation: 1, Boxes: []membership.Box{
		{ID: "engine-1", Kind: membership.KindEngine},
		{ID: "engine-2", Kind: membership.KindEngine},
	}})
	view.MarkLeaving("engine-2") // The engine announced it; the list lags.
	for _, box := range view.Upstreams(membership.KindEngine) {
		fmt.Println(box.ID, "leaving:", box.Leaving)
	}
	// Output:
	// engine-1 leaving: false
	// engine-2 leaving: true
}

func ExampleIsAmongFirst() {
	boxes := []string{"box-1", "box-2", "box-3", "box-4"}
	chosen := 0
	for _, box := range boxes {
		if membership.IsAmongFirst("watch", boxes, box, 2) {
			chosen++
		}
	}
	fmt.Println(chosen)
	// Output: 2
}
