package gateway

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"ospreymoor.example/ospreymoor/pkg/dispatch"
	"ospreymoor.example/ospreymoor/pkg/fleet"
	"ospreymoor.example/ospreymoor/pkg/residency"
	"ospreymoor.example/ospreymoor/pkg/routes"
	"ospreymoor.example/ospreymoor/pkg/spectest"
)

// times counts how often an upstream was sent requests.
func (f *fakeUpstreams) times(upstream string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	count := 0
	for _, on := range f.on {
		if on == upstream {
			count++
		}
	}
	return count
}

// only is a plan of what upstreams tell in which one tells something, in all its answers.
func only(upstream string, n fleet.Notice) func(string, int) fleet.Notice {
	return func(id string, _ int) fleet.Notice {
		if id == upstream {
			return n
		}
		return fleet.Notice{}
	}
}

var _ = Describe("requests, with upstreams that tell in their answers that they leave or want rest", func() {
	const rest = 3 * time.Second
	// askAll sends requests of all kinds, one after the other.
	askAll := func(f *fixture, name string) {
		for n := range 30 {
			for _, path := range []string{"/once/x", "/safe/x", "/stream/x", "/strict/x"} {
				model := map[bool]string{true: "m"}[path[1] == 's' && path != "/safe/x"]
				f.ask(context.Background(), fmt.Sprint(name, path, n), path, model)
				time.Sleep(5 * time.Millisecond)
			}
		}
	}

	It("go to one that leaves until the first answer that tells it, and never again, whatever a list says", func() {
		spectest.Bubble(func() {
			for _, leaving := range []string{"p1", "e2"} {
				f := newFixture(func(string, int) fate { return whole }, 1)
				f.upstreams.tells = only(leaving, fleet.Notice{Leaving: true})
				askAll(f, "first")
				list := []fleet.Upstream{}
				for _, id := range []string{"p0", "p1", "e0", "e2"} {
					state := f.Directory.Get(id)
					entry := *state.Upstream
					entry.Leaving, entry.Revision = false, 2
					list = append(list, entry)
				}
				f.Directory.SetList(2, list, time.Now())
				askAll(f, "second")
				f.Directory.SetList(3, list[:1], time.Now())
				time.Sleep(10 * time.Second)
				f.Directory.DropLapsed()
				f.Directory.ExpireMarks()
				f.Directory.SetList(4, list, time.Now())
				askAll(f, "third")
				Expect(f.upstreams.times(leaving)).To(Equal(1))
			}
		})
	})

	It("leave one that wants rest alone until that is over, on all ways: first, again, resumed, kept back", func() {
		spectest.Bubble(func() {
			for _, resting := range []string{"p1", "e2"} {
				f := newFixture(func(string, int) fate { return whole }, 1)
				f.upstreams.tells = only(resting, fleet.Notice{Rest: rest})
				fates := 0
				f.upstreams.choose = func(string, int) fate {
					fates++
					return []fate{whole, brokenBody, refuses, fails, whole}[fates%5]
				}
				begun := time.Now()
				for time.Since(begun) < 2*time.Second {
					askAll(f, fmt.Sprint("r", time.Since(begun)))
				}
				Expect(f.upstreams.times(resting)).To(Equal(1))
			}
		})
	})

	It("are refused at once where all that have what they need rest, with the time until the first of them may be asked", func() {
		spectest.Bubble(func() {
			f := newFixture(func(string, int) fate { return whole }, 1)
			f.upstreams.tells = func(string, int) fleet.Notice { return fleet.Notice{Rest: rest} }
			f.ask(context.Background(), "first", "/safe/x", "")
			sent := len(f.upstreams.on)
			Expect(sent).To(Equal(4))
			time.Sleep(time.Second)
			begun := time.Now()
			got := f.ask(context.Background(), "late", "/safe/x", "")
			Expect(time.Since(begun)).To(BeZero())
			Expect(got.Code).To(Equal(http.StatusServiceUnavailable))
			Expect(got.Body.String()).To(ContainSubstring(string(reasonResting)))
			wait, err := strconv.ParseFloat(got.Header().Get("Retry-After"), 64)
			Expect(err).NotTo(HaveOccurred())
			Expect(wait).To(BeNumerically("~", 2.25, 0.26))
			Expect(f.upstreams.on).To(HaveLen(sent))
		})
	})

	It("wait for the end of a rest that comes in time, and are served then", func() {
		spectest.Bubble(func() {
			f := newFixture(func(string, int) fate { return whole }, 1)
			f.upstreams.tells = func(_ string, n int) fleet.Notice {
				if n == 1 {
					return fleet.Notice{Rest: 100 * time.Millisecond}
				}
				return fleet.Notice{}
			}
			Expect(f.ask(context.Background(), "first", "/safe/x", "").Code).To(Equal(http.StatusServiceUnavailable))
			Expect(f.upstreams.on).To(HaveLen(4))
			begun := time.Now()
			Expect(f.ask(context.Background(), "late", "/safe/x", "").Code).To(Equal(http.StatusOK))
			Expect(time.Since(begun)).To(BeNumerically("~", 100*time.Millisecond, 60*time.Millisecond))
		})
	})

	It("have an adapter loaded elsewhere while the engine that has it rests", func() {
		spectest.Bubble(func() {
			f := newFixture(func(string, int) fate { return whole }, 1)
			with := fleet.Upstream{ID: "with", Service: "engines", Models: []fleet.Holding{{Model: "m", Adapters: []string{"a"}}}, Revision: 2}
			without := fleet.Upstream{ID: "without", Service: "engines", Models: []fleet.Holding{{Model: "m"}}, Revision: 2}
			f.Directory.SetList(2, []fleet.Upstream{with, without}, time.Now())
			f.upstreams.tells = only("with", fleet.Notice{Rest: rest})
			var avoided []string
			f.Ensure = func(_ context.Context, want residency.Want) (residency.EnsureResult, error) {
				avoided = want.Avoid
				return residency.EnsureResult{Upstream: "without", Residency: fleet.Residency{Adapters: map[string][]string{"m": {"a"}}, Sequence: 1}, Term: 1}, nil
			}
			f.ask(context.Background(), "r0", "/stream/x", "m")
			f.Directory.Note("with", fleet.Notice{Rest: rest})
			ask := &Request{ID: "r1", Arrived: time.Now(), Deadline: time.Now().Add(time.Second), Path: "/stream/x", Host: "h", Header: http.Header{}, Model: "m", Adapter: "a"}
			c := &caller{ResponseRecorder: httptest.NewRecorder()}
			Expect(f.Serve(context.Background(), c, ask)).To(Succeed())
			Expect(c.Code).To(Equal(http.StatusOK))
			Expect(avoided).To(Equal([]string{"with"}))
		})
	})

	It("choose anew if the chosen upstream told it while the choice waited for another box", func() {
		spectest.Bubble(func() {
			f := newFixture(func(string, int) fate { return whole }, 1)
			chosen := ""
			f.Reserve = func(_ context.Context, asked dispatch.Reservation) (dispatch.ReservationAnswer, error) {
				if chosen == "" {
					chosen = asked.Engine
					f.Directory.Note(chosen, fleet.Notice{Rest: rest})
				}
				return dispatch.ReservationAnswer{Taken: true}, nil
			}
			for n := range 50 {
				request := &Request{
					ID: fmt.Sprint("r", n), Arrived: time.Now(), Deadline: time.Now().Add(4 * time.Second), Path: "/stream/x", Host: "h",
					Header: http.Header{}, Model: "m", PromptTokens: 20_000, AnswerTokens: 20,
				}
				Expect(f.Serve(context.Background(), &caller{ResponseRecorder: httptest.NewRecorder()}, request)).To(Succeed())
			}
			Expect(f.upstreams.times(chosen)).To(BeZero())
		})
	})

	It("that go to one of them all the same have a line that names the request, the upstream and what it goes against", func() {
		spectest.Bubble(func() {
			f := newFixture(func(string, int) fate { return whole }, 1)
			core, lines := observer.New(zap.InfoLevel)
			f.Log = zap.New(core)
			var noted []fleet.Noted
			f.Directory.OnNotice = func(n fleet.Noted) { noted = append(noted, n) }
			f.Directory.Note("p0", fleet.Notice{Leaving: true, Rest: rest})
			Expect(noted).To(HaveLen(1))
			Expect(noted[0].Kinds()).To(Equal([]string{"leaving", "rest"}))
			time.Sleep(time.Second)
			r := &inflight{gateway: f.Gateway, request: &Request{ID: "r"}, route: &routes.Route{}}
			r.noteAgainst(dispatch.Choice{Upstream: f.Directory.Get("p0")})
			against := lines.FilterMessage("sent against notice").All()
			Expect(against).To(HaveLen(1))
			fields := against[0].ContextMap()
			Expect(fields["id"]).To(Equal("r"))
			Expect(fields["backend"]).To(Equal("p0"))
			Expect(fields["leavingFor"]).To(Equal(time.Second))
			Expect(fields["restLeft"]).To(Equal(2 * time.Second))
			Expect(f.Metrics.GetOrCreateCounter("ospreymoor_sent_against_notice_total").Get()).To(BeEquivalentTo(1))
		})
	})
})
