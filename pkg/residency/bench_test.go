package residency_test

import (
	"fmt"
	"testing"

	"ospreymoor.example/ospreymoor/pkg/residency"
)

// BenchmarkPlan plans for fleets from the present size up to the size that the design aims at.
func BenchmarkPlan(b *testing.B) {
	sizes := []struct{ engines, models int }{{18, 39}, {140, 305}, {600, 440}, {3000, 399}, {9756, 399}}
	for _, size := range sizes {
		b.Run(fmt.Sprintf("%d engines %d models", size.engines, size.models), func(b *testing.B) {
			in := residency.PlanInput{Megabytes: 220_000, MoveCost: 0.03, Moves: min(64, max(4, size.engines/10)), StoreLoads: 4}
			for n := range size.models {
				demand := 0.0
				if n%7 == 0 {
					demand = 0.6
				}
				in.Models = append(in.Models, residency.PlanModel{Name: fmt.Sprint("m", n), Megabytes: 72_000, Demand: demand})
			}
			for n := range size.engines {
				in.Engines = append(in.Engines, residency.PlanEngine{
					ID: fmt.Sprint("e", n), Hall: fmt.Sprint("z", n%4), Usable: true,
					Models: []string{fmt.Sprint("m", n%size.models), fmt.Sprint("m", (3*n+1)%size.models), fmt.Sprint("m", (5*n+2)%size.models)},
				})
			}
			b.ReportAllocs()
			for b.Loop() {
				residency.Plan(in)
			}
		})
	}
}
