package gateway

import (
	"context"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreymoor.example/ospreymoor/pkg/fleet"
	"ospreymoor.example/ospreymoor/pkg/places"
	"ospreymoor.example/ospreymoor/pkg/spectest"
)

// listAsLeaving lists the fixture's upstreams again, and states that one leaves.
func (f *fixture) listAsLeaving(leaving string) {
	revision := f.Directory.Revision() + 1
	var list []fleet.Upstream
	for _, service := range []string{"plain", "engines"} {
		for _, state := range f.Directory.OfService(service) {
			entry := *state.Upstream
			if entry.ID == leaving {
				entry.Leaving, entry.Revision = true, revision
			}
			list = append(list, entry)
		}
	}
	f.Directory.SetList(revision, list, time.Now())
}

var _ = Describe("a request whose upstream begins to leave before its first byte is written", func() {
	// A box looked at the list only when it chose. A request that then waited for a connection, or for a place at the
	// upstream, was sent whatever the list stated by then.
	It("goes to another upstream after waiting for a connection, without blame for the first one", func() {
		for path, leaving := range map[string]string{"/once/x": "p", "/safe/x": "p", "/stream/x": "e", "/strict/x": "e"} {
			spectest.Bubble(func() {
				f := newFixture(always(succeeds), 1)
				waited := ""
				f.upstreams.connect = func(to string) {
					if waited == "" {
						waited = to
						time.Sleep(300 * time.Millisecond)
						f.listAsLeaving(to)
					}
				}
				model := map[string]string{"e": "m"}[leaving]
				got := f.ask(context.Background(), "1", path, model)
				Expect(got.Code).To(Equal(http.StatusOK), path)
				Expect(waited).To(HavePrefix(leaving))
				Expect(f.upstreams.sentTo).To(HaveLen(2))
				Expect(f.upstreams.sentTo[1]).NotTo(Equal(waited))
				Expect(f.upstreams.runs["1"]).To(Equal(1))
				Expect(f.Loads.TakeObservations().Outcomes).NotTo(HaveKey(waited))
				Expect(f.Directory.Unavailable(waited, "", "")).To(BeFalse())
			})
		}
	})

	It("goes to another upstream after waiting for a place", func() {
		spectest.Bubble(func() {
			f := newFixture(always(succeeds), 1)
			keeper := &fakeKeeper{answers: []places.Answer{{Upstream: "p2"}, {Upstream: "p1"}}}
			f.Places = keeper.places()
			ask := f.Places.Ask
			f.Places.Ask = func(ctx context.Context, asked places.Ask) (places.Answer, error) {
				answer, err := ask(ctx, asked)
				f.listAsLeaving("p2")
				return answer, err
			}
			Expect(f.ask(context.Background(), "1", "/once/x", "").Code).To(Equal(http.StatusOK))
			Expect(f.upstreams.sentTo).To(Equal([]string{"p1"}))
			Expect(keeper.returns).To(Equal([]places.Return{{ID: keeper.asks[0].ID, Result: places.Unused}, {ID: keeper.asks[1].ID, Result: places.Served}}))
		})
	})

	It("is refused, truly as not run, if there is no other upstream", func() {
		spectest.Bubble(func() {
			f := newFixture(always(succeeds), 1)
			f.upstreams.connect = func(to string) { f.listAsLeaving(to) }
			got := f.ask(context.Background(), "1", "/once/x", "")
			Expect(got.Code).To(Equal(http.StatusServiceUnavailable))
			Expect(f.upstreams.runs).To(BeEmpty())
		})
	})
})
