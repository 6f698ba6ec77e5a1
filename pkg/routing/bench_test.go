package routing_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"ospreymoor.example/ospreymoor/pkg/routing"
)

// BenchmarkPick measures one choice among 2, 8 and 32 engines that hold the model.
func BenchmarkPick(b *testing.B) {
	prompt := strings.Repeat("a thesis against its sources ", 140)
	for _, candidates := range []int{2, 8, 32} {
		b.Run(fmt.Sprintf("candidates=%d", candidates), func(b *testing.B) {
			router := routing.New(routing.Config{})
			list := make([]routing.Candidate, candidates)
			for i := range list {
				list[i] = routing.Candidate{ID: fmt.Sprintf("e%d", i), Slots: 8, Running: i % 8, Reported: time.Now()}
			}
			b.ReportAllocs()
			for b.Loop() {
				choice, err := router.Pick("m", prompt, list)
				if err != nil {
					b.Fatal(err)
				}
				router.RecordSent("m", prompt, choice.ID)()
			}
		})
	}
}
