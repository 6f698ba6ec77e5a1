package gateway

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreymoor.example/ospreymoor/pkg/fleet"
	"ospreymoor.example/ospreymoor/pkg/spectest"
)

// A hall was cut off for 5.5 s by resets. Each box had an idle connection to many of its upstreams, and sent requests on
// them one after the other: each failed after it was sent, so that a request that may run once could not be repeated.
// 132 requests of one site ended so after the moment of the cut itself.
var _ = Describe("a hall that is cut off", func() {
	// play sends requests that may run once to a box that has an idle connection to each upstream of two halls, of which
	// one is cut off after a second, and returns how many failed after the cut.
	play := func(path, model string, perHall int) (failed, sent int) {
		spectest.Bubble(func() {
			cut := false
			var mu sync.Mutex
			idle := map[string]bool{}
			f := newFixture(func(string, int) behavior { return succeeds }, 7)
			g := f.Gateway
			succeed := f.Upstreams.Send
			f.Upstreams.Send = func(ctx context.Context, to *fleet.Endpoint, attempt Attempt) (*Answer, error) {
				mu.Lock()
				defer mu.Unlock()
				if to.Hall != "cut" || !cut {
					idle[to.ID] = true
					return succeed(ctx, to, attempt)
				}
				if idle[to.ID] {
					delete(idle, to.ID)
					return nil, ErrBroken
				}
				return nil, ErrNotSent
			}
			f.Upstreams.Forget = func(id string) {
				mu.Lock()
				defer mu.Unlock()
				delete(idle, id)
			}
			g.watchReach()
			var list []fleet.Upstream
			for n := range perHall {
				for _, hall := range []string{"cut", "own"} {
					id := fmt.Sprint(hall, n)
					list = append(list,
						fleet.Upstream{ID: "p" + id, Service: "plain", Slots: 8, Revision: 1, Hall: hall},
						fleet.Upstream{ID: "e" + id, Service: "engines", Slots: 8, Revision: 1, Hall: hall, Models: []fleet.Holding{{Model: "m"}}})
				}
			}
			g.Directory.SetList(2, list, time.Time{})
			for n := range 400 {
				cut = n >= 200
				answered := f.ask(context.Background(), fmt.Sprint("r", n), path, model)
				if cut && (answered.Code != http.StatusOK || answered.aborted) {
					failed++
				}
				time.Sleep(5 * time.Millisecond)
			}
			for id, n := range f.upstreams.sends {
				if id != "" {
					sent += n
				}
			}
			cut = false
			answered := f.ask(context.Background(), "after", path, model)
			Expect(answered.Code).To(Equal(http.StatusOK))
		})
		return failed, sent
	}

	DescribeTable("costs a box a few requests, not one at each upstream there", func(path, model string) {
		failed, _ := play(path, model, 12)
		GinkgoWriter.Printf("%s: %d requests failed\n", path, failed)
		Expect(failed).To(BeNumerically("<=", 3))
	},
		Entry("requests that may run once", "/once/", ""),
		Entry("streams that cannot be resumed", "/strict/", "m"),
	)
})
