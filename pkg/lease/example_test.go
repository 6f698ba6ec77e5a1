package lease_test

import (
	"context"
	"fmt"
	"time"

	"ospreymoor.example/ospreymoor/pkg/kv"
	"ospreymoor.example/ospreymoor/pkg/lease"
)

func Example() {
	terms := make(chan int64, 1)
	l := lease.New(lease.Config{
		Store:   kv.NewMemory().Store(),
		Key:     "leases/planner",
		Holder:  "box-1",
		TTL:     6 * time.Second,
		Changed: func(term int64) { terms <- term },
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { l.Run(ctx); close(done) }()

	<-terms
	_, err := l.Term()
	fmt.Println("may act:", err == nil)
	cancel()
	<-done
	_, err = l.Term()
	fmt.Println(err)
	// Output:
	// may act: true
	// lease leases/planner: lease not held: send the work to the box that holds it
}
