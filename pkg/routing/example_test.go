package routing_test

import (
	"fmt"
	"time"

	"ospreymoor.example/ospreymoor/pkg/routing"
)

func ExampleRouter() {
	router := routing.New(routing.Config{SlotTime: time.Second})
	now := time.Now()
	candidates := []routing.Candidate{
		{ID: "e1", Slots: 2, Running: 2, Queued: 3, Reported: now},
		{ID: "e2", Slots: 2, Running: 2, Queued: 1, Reported: now},
	}
	choice, _ := router.Pick("writer", "prompt", candidates)
	fmt.Println(choice.ID, choice.Wait)
	_, err := router.Pick("writer", "prompt", nil)
	fmt.Println(err)
	// Output:
	// e2 1s
	// model writer: no upstream holds the model at the moment: try again later
}
