package placement_test

import (
	"fmt"
	"testing"
	"time"

	"ospreymoor.example/ospreymoor/pkg/placement"
)

const gib = 1 << 30

// fleetOf returns a fleet with the given number of engines in four halls, and the given number of models.
func fleetOf(engines, models int) placement.Input {
	in := placement.Input{Settings: placement.Settings{MoveCost: 0.2, MaxLoads: 1 << 20}, Now: time.Unix(1000, 0)}
	for e := range engines {
		in.Engines = append(in.Engines, placement.Engine{
			ID: fmt.Sprintf("e%03d", e), Hall: fmt.Sprintf("h%d", e%4), Pool: "llm",
			Memory: 160 * gib, Slots: 8, Resident: map[string]time.Time{},
		})
	}
	for m := range models {
		unit := placement.Unit{
			Model: fmt.Sprintf("m%03d", m), Pool: "llm", Demand: float64(m%17) * 0.4,
			Item: placement.Item{Name: fmt.Sprintf("m%03d@1", m), Bytes: int64(8+m%5*8) * gib},
		}
		for a := range 2 {
			unit.Adapters = append(unit.Adapters, placement.Item{Name: fmt.Sprintf("m%03d+a%d", m, a), Base: unit.Model, Bytes: gib / 4})
		}
		in.Wanted = append(in.Wanted, unit)
	}
	return in
}

// confirm makes every engine hold what the plan has on it.
func confirm(in *placement.Input, plan placement.Plan) {
	in.Last = plan
	for i := range in.Engines {
		e := &in.Engines[i]
		e.Plan, e.Resident = plan.Number, map[string]time.Time{}
		for _, item := range plan.On(e.ID) {
			e.Resident[item.Name] = time.Unix(0, 0)
		}
	}
}

// BenchmarkNext measures one plan of a settled fleet.
func BenchmarkNext(b *testing.B) {
	for _, size := range []struct{ engines, models int }{{18, 40}, {100, 150}, {600, 440}} {
		b.Run(fmt.Sprintf("engines=%d/models=%d", size.engines, size.models), func(b *testing.B) {
			in := fleetOf(size.engines, size.models)
			confirm(&in, placement.Next(in))
			b.ReportAllocs()
			for b.Loop() {
				placement.Next(in)
			}
		})
	}
}
