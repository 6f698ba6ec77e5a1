package mirror_test

import (
	"context"
	"fmt"
	"math"

	"ospreymoor.example/ospreymoor/pkg/kv"
	"ospreymoor.example/ospreymoor/pkg/mirror"
)

func Example() {
	store := kv.NewMemory().Store()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if _, err := store.Swap(ctx, kv.Swap{Key: "config", Value: []byte("v1")}); err != nil {
		fmt.Println(err)
	}
	changes := make(chan mirror.State, 1)
	watching := &mirror.Mirror{Store: store, OnChange: func(state mirror.State) { changes <- state }}
	go watching.Run(ctx)
	record, _ := (<-changes).Records.Get("config")
	fmt.Println(string(record.Value))

	// Another box gets what it lacks without asking the store.
	other := &mirror.Mirror{}
	fmt.Println(other.ApplyDelta(*watching.DeltaSince(other.State().Revision, math.MaxInt)))
	record, _ = other.State().Records.Get("config")
	fmt.Println(string(record.Value))
	// Output:
	// v1
	// true
	// v1
}
