package lease_test

import (
	"context"
	"fmt"
	"time"

	"ospreymoor.example/ospreymoor/pkg/kv"
	"ospreymoor.example/ospreymoor/pkg/lease"
)

func Example() {
	held := make(chan int64, 1)
	l := lease.New(lease.Config{
		Store:   kv.NewMemory().Store(),
		Key:     "leases/planner",
		Holder:  "box-1",
		TTL:     6 * time.Second,
		Changed: func(term int64) { held <- term },
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { l.Run(ctx); close(done) }()

	<-held
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
