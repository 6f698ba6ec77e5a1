package gateway

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreymoor.example/ospreymoor/pkg/places"
	"ospreymoor.example/ospreymoor/pkg/spectest"
)

// fakeKeeper answers asks for places one after the other with its answers, and records what is returned.
type fakeKeeper struct {
	mu      sync.Mutex
	answers []places.Answer
	err     error
	asks    []places.Ask
	returns []places.Return
}

func (k *fakeKeeper) places() Places {
	return Places{
		Counted: func() bool { return true },
		Ask: func(_ context.Context, ask places.Ask) (places.Answer, error) {
			k.mu.Lock()
			defer k.mu.Unlock()
			k.asks = append(k.asks, ask)
			answer := k.answers[min(len(k.asks), len(k.answers))-1]
			if answer.Upstream == "" && !answer.Denied {
				time.Sleep(60 * time.Millisecond)
			}
			return answer, k.err
		},
		Return: func(_ string, back places.Return) { k.returns = append(k.returns, back) },
	}
}

// askKept sends one plain request to a gateway whose keeper gives answers.
func askKept(keeper *fakeKeeper, choose func(id string, n int) behavior, path string) (*caller, *fakeUpstreams) {
	var got *caller
	var upstreams *fakeUpstreams
	spectest.Bubble(func() {
		f := newFixture(choose, 1)
		f.Places = keeper.places()
		got = f.ask(context.Background(), "1", path, "")
		upstreams = f.upstreams
	})
	return got, upstreams
}

func always(b behavior) func(string, int) behavior { return func(string, int) behavior { return b } }

var _ = Describe("a plain request whose places are counted", func() {
	It("waits at its box until it has a place, goes there, and returns it with what came of it", func() {
		keeper := &fakeKeeper{answers: []places.Answer{{}, {}, {Upstream: "p2"}}}
		got, upstreams := askKept(keeper, always(succeeds), "/once/")
		Expect(got.Code).To(Equal(http.StatusOK))
		Expect(upstreams.sentTo).To(Equal([]string{"p2"}))
		Expect(keeper.asks).To(HaveLen(3))
		Expect(keeper.asks[2].ID).To(Equal(keeper.asks[0].ID))
		Expect(keeper.asks[2].Aim).To(Equal(680 * time.Millisecond))
		Expect(keeper.returns).To(Equal([]places.Return{{ID: keeper.asks[0].ID, Result: places.Served}}))
	})

	It("is refused before it is sent, truly as not run, if it cannot be served before its deadline", func() {
		keeper := &fakeKeeper{answers: []places.Answer{{Denied: true, Wait: 700 * time.Millisecond}}}
		got, upstreams := askKept(keeper, always(succeeds), "/once/")
		Expect(got.Code).To(Equal(http.StatusServiceUnavailable))
		Expect(got.Header().Get("Retry-After")).To(Equal("0.700"))
		Expect(upstreams.sentTo).To(BeEmpty())
		Expect(keeper.returns).To(BeEmpty())
	})

	It("goes by reported loads where the keeper is lost, knows no upstream, or names one that the box does not know", func() {
		for _, keeper := range []*fakeKeeper{
			{answers: []places.Answer{{}}, err: errors.New("lost")},
			{answers: []places.Answer{{None: true}}},
			{answers: []places.Answer{{Upstream: "of another list"}}},
		} {
			got, upstreams := askKept(keeper, always(succeeds), "/once/")
			Expect(got.Code).To(Equal(http.StatusOK))
			Expect(upstreams.sentTo).To(HaveLen(1))
			Expect(keeper.asks).To(HaveLen(1))
			Expect(keeper.returns).To(HaveLen(1))
		}
	})

	It("returns a place at an upstream that failed before it asks for another one, which excludes that upstream", func() {
		keeper := &fakeKeeper{answers: []places.Answer{{Upstream: "p1"}, {Upstream: "p3"}}}
		got, _ := askKept(keeper, func(_ string, n int) behavior { return []behavior{fails, succeeds}[n-1] }, "/safe/")
		Expect(got.Code).To(Equal(http.StatusOK))
		Expect(keeper.asks[1].Except).To(Equal([]string{"p1"}))
		Expect(keeper.returns).To(Equal([]places.Return{{ID: keeper.asks[0].ID, Result: places.Failed}, {ID: keeper.asks[1].ID, Result: places.Served}}))
	})

	It("is sent once if it may run once and its answer is lost", func() {
		keeper := &fakeKeeper{answers: []places.Answer{{Upstream: "p1"}}}
		got, upstreams := askKept(keeper, always(brokenBeforeHead), "/once/")
		Expect(got.Code).To(Equal(http.StatusBadGateway))
		Expect(upstreams.sentTo).To(HaveLen(1))
		Expect(keeper.asks).To(HaveLen(1))
	})

	It("withdraws its ask when its caller leaves", func() {
		keeper := &fakeKeeper{answers: []places.Answer{{}}}
		spectest.Bubble(func() {
			f := newFixture(always(succeeds), 1)
			f.Places = keeper.places()
			ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
			defer cancel()
			f.ask(ctx, "1", "/once/", "")
			Expect(f.upstreams.sentTo).To(BeEmpty())
		})
		Expect(keeper.returns).To(HaveLen(1))
		Expect(keeper.returns[0].ID).To(Equal(keeper.asks[0].ID))
	})
})
