package pause_test

import (
	"context"
	"fmt"
	"time"

	"ospreymoor.example/ospreymoor/pkg/pause"
)

func ExampleFor() {
	ctx, cancel := context.WithCancel(context.Background())
	fmt.Println(pause.For(ctx, time.Millisecond))
	cancel()
	fmt.Println(pause.For(ctx, time.Hour))
	// Output:
	// <nil>
	// context canceled
}
