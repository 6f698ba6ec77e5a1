package burn_test

import (
	"fmt"
	"time"

	"ospreymoor.example/ospreymoor/pkg/burn"
)

func ExampleReport() {
	first, second := burn.NewRecorder("box-1", "life-1"), burn.NewRecorder("box-2", "life-2")
	for range 97 {
		first.Count("acme", "writer", 0.95, burn.WithinTarget, "")
	}
	second.Count("acme", "writer", 0.95, burn.Late, "")
	second.Count("acme", "writer", 0.95, burn.Refused, "rate limit")
	second.Count("acme", "writer", 0.95, burn.Failed, "")

	// A snapshot that was kept for a box that is gone counts once, however often it is given.
	snapshots := []burn.Snapshot{first.Snapshot(), second.Snapshot(), first.Snapshot()}
	for _, s := range burn.Report(snapshots, time.Now()) {
		fmt.Printf("%s: %d requests, budget left %.0f%%, burn %.1f\n", s.Model, s.Requests, 100*s.BudgetLeft, s.BurnShort)
	}
	// Output:
	// writer: 100 requests, budget left 40%, burn 0.6
}
