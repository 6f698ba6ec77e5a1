package places

import (
	"context"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreymoor.example/ospreymoor/pkg/spectest"
)

// newTestKeeper returns a keeper of the service "s", whose upstream has one slot and so two places.
func newTestKeeper() *Keeper {
	return &Keeper{
		Upstreams: func(service string) []Upstream {
			if service != "s" {
				return nil
			}
			return []Upstream{{ID: "u", Slots: 1}}
		},
		Share:   func() float64 { return 1 },
		Running: noneRunning,
	}
}

var _ = Describe("a keeper of places", func() {
	It("holds an ask for a moment, and gives it the place that it got between two calls", func() {
		spectest.Bubble(func() {
			k := newTestKeeper()
			for id := range uint64(2) {
				Expect(k.Ask(context.Background(), Ask{Service: "s", ID: id + 1}).Upstream).To(Equal("u"))
			}
			begun := time.Now()
			answer := k.Ask(context.Background(), Ask{Service: "s", ID: 9})
			Expect(time.Since(begun)).To(Equal(holdTime))
			Expect(answer.Upstream).To(BeEmpty())
			Expect(answer.Known).To(Equal(2))
			k.Return(Returns{Service: "s", Places: []Return{{ID: 1, Result: Served}}})
			Expect(k.Ask(context.Background(), Ask{Service: "s", ID: 9}).Upstream).To(Equal("u"))
			Expect(time.Since(begun)).To(Equal(holdTime))
		})
	})

	It("keeps no account for services without upstreams", func() {
		k := newTestKeeper()
		for n := range 1000 {
			Expect(k.Ask(context.Background(), Ask{Service: fmt.Sprint(n)}).None).To(BeTrue())
			k.Return(Returns{Service: fmt.Sprint(n)})
		}
		Expect(k.services).To(BeEmpty())
	})
})
