package admission_test

import (
	"fmt"
	"testing"
	"time"

	"ospreymoor.example/ospreymoor/pkg/admission"
)

// BenchmarkAdmit measures one admission with different numbers of active customers.
func BenchmarkAdmit(b *testing.B) {
	for _, customers := range []int{2, 50, 300} {
		b.Run(fmt.Sprintf("customers=%d", customers), func(b *testing.B) {
			controller := admission.New(func() int { return 8 })
			for c := range customers {
				controller.Admit(admission.Request{Customer: fmt.Sprintf("c%d", c), Target: time.Second})
			}
			request := admission.Request{
				Customer: "c0", Wait: 500 * time.Millisecond, Target: time.Second, Slots: 100000,
				Limits: []admission.Limit{{Name: "c0", RequestsPerSecond: 1e9, InFlight: 1 << 20}, {Name: "c0/m"}},
			}
			b.ReportAllocs()
			for b.Loop() {
				done, refusal := controller.Admit(request)
				if refusal != nil {
					b.Fatal(refusal)
				}
				done()
			}
		})
	}
}
