package orders_test

import (
	"context"
	"fmt"
	"time"

	"ospreymoor.example/ospreymoor/pkg/orders"
	"ospreymoor.example/ospreymoor/pkg/placement"
)

func ExampleController() {
	writer := placement.Item{Name: "acme/writer@1", Bytes: 30 << 30}
	state := orders.State{Incarnation: "1", Capacity: 40 << 30, Term: 5}
	loaded := make(chan string, 1)
	engine := orders.Engine{
		ID:     "e1",
		Fenced: true,
		Fence:  func(context.Context, orders.Authority) (orders.State, error) { return state, nil },
		State:  func(context.Context) (orders.State, error) { return state, nil },
		Load: func(_ context.Context, authority orders.Authority, item placement.Item) error {
			state.Resident = append(state.Resident, item)
			loaded <- fmt.Sprintf("load %s under term %d", item.Name, authority.Term)
			return nil
		},
	}
	plan := placement.Plan{Number: 1, Units: []placement.UnitPlaces{{
		Unit:   placement.Unit{Model: "acme/writer", Item: writer},
		Places: []placement.Place{{Engine: "e1", Since: 1}},
	}}}
	controller := &orders.Controller{
		Hall:            "hall-1",
		Term:            func() (int64, error) { return 5, nil },
		Engines:         func() []orders.Engine { return []orders.Engine{engine} },
		TakeOver:        func(context.Context) error { return nil },
		Plan:            func() (placement.Plan, bool) { return plan, true },
		MayUnload:       func(placement.Plan, string, string) bool { return false },
		PublishHoldings: func(int64, int64, orders.Holdings) {},
		PublishLoads:    func(int64, int64, orders.Loads) {},
		Interval:        10 * time.Millisecond,
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { controller.Run(ctx); close(done) }()
	fmt.Println(<-loaded)
	cancel()
	<-done
	// Output: load acme/writer@1 under term 5
}
