package box

import (
	"context"
	"fmt"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	enginev1 "ospreymoor.example/ospreymoor/internal/gen/ospreymoor/engine/v1"
	ospreymoorv1 "ospreymoor.example/ospreymoor/internal/gen/ospreymoor/v1"
	"ospreymoor.example/ospreymoor/internal/standin"
	"ospreymoor.example/ospreymoor/pkg/membership"
	"ospreymoor.example/ospreymoor/pkg/routing"
)

var _ = Describe("Overload", func() {
	// flood sends one request per interval for a time. It counts answers, refusals within 50 ms and later refusals.
	flood := func(t *testFleet, b *testBox, name string, every, lasts time.Duration) (served, refused, held int) {
		var mu sync.Mutex
		var sending sync.WaitGroup
		for n := range int(lasts / every) {
			sending.Go(func() {
				begun := time.Now()
				request := &ospreymoorv1.GenerateRequest{Model: "m1", Prompt: fmt.Sprintf("%s-%d", name, n), MaxTokens: 50}
				_, err := t.complete(context.Background(), b, request)
				mu.Lock()
				defer mu.Unlock()
				switch {
				case err == nil:
					served++
				case time.Since(begun) > 50*time.Millisecond:
					held++
				default:
					refused++
				}
			})
			time.Sleep(every)
		}
		sending.Wait()
		return served, refused, held
	}

	It("is refused at once, and admitted requests are served", func() {
		spec := fleetSpec{halls: 1, boxes: 1, engines: 1, memory: 64 * gib}
		withFleet(spec, func(t *testFleet) {
			// With a target of 30 s, at most 30 s of work is admitted at any load.
			t.roll(t.boxes["h1-b1"], bundleText(1, "w1", "15GiB", "m1"))
			t.awaitModels("m1")
			served, refused, held := flood(t, t.boxes["h1-b1"], "flood", 20*time.Millisecond, 30*time.Second)
			Expect(held).To(BeZero(), "no refusal is late")
			Expect(refused).To(BeNumerically(">", 500))
			Expect(served).To(BeNumerically(">", 200))
			Expect(t.boxes["h1-b1"].admission.InFlight()).To(BeZero())
		})
	})

	// attemptsPerRequest returns how often a request is sent to an engine on average, while one of three engines
	// breaks off every answer. share is that of the retry budget.
	attemptsPerRequest := func(share float64) float64 {
		spec := fleetSpec{halls: 1, boxes: 1, engines: 3, memory: 64 * gib}
		spec.engine = func(id string, c *standin.EngineConfig, _ *membership.Box) {
			if id == "h1-e1" {
				c.Mangle = func(m *enginev1.GenerateResponse) []*enginev1.GenerateResponse {
					return []*enginev1.GenerateResponse{{RequestId: "another", Index: m.GetIndex()}}
				}
			}
		}
		spec.config = func(c *Config) { c.Control.Placement.Replicas = 3 }
		ratio := 0.0
		withFleet(spec, func(t *testFleet) {
			b := t.boxes["h1-b1"]
			t.roll(b, bundleText(1, "w1", "15GiB", "m1"))
			t.awaitModels("m1")
			time.Sleep(20 * time.Second)
			b.models.retries = routing.NewRetryBudget(share)
			before := total(b.router.Totals())
			const requests = 300
			_, _, _ = flood(t, b, "retry", 100*time.Millisecond, requests*100*time.Millisecond)
			ratio = float64(total(b.router.Totals())-before) / requests
		})
		return ratio
	}

	It("of retries is limited to a share of the requests when an engine breaks off every answer", func() {
		Expect(attemptsPerRequest(retryBudgetRatio)).To(BeNumerically("<", 1.25))
	})

	It("of the key-value service is not caused by an idle fleet", func() {
		withFleet(fleetSpec{halls: 4, boxes: 2, engines: 2, memory: 64 * gib}, func(t *testFleet) {
			t.roll(t.boxes["h1-b1"], bundleText(1, "w1", "15GiB", "m1", "m2"))
			t.awaitModels("m1", "m2")
			time.Sleep(time.Minute)
			calls := t.platformCalls.counts()
			time.Sleep(time.Minute)
			reads, writes := callsSince(t.platformCalls.counts(), calls)
			Expect(reads / 60).To(BeNumerically("<", 4))
			Expect(writes / 60).To(BeNumerically("<", 4))
		})
	})
})

func total(counts map[string]int64) int64 {
	var sum int64
	for _, n := range counts {
		sum += n
	}
	return sum
}
