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

// sendCount returns how many requests were sent to an upstream.
func (f *fakeUpstreams) sendCount(upstream string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	count := 0
	for _, on := range f.sentTo {
		if on == upstream {
			count++
		}
	}
	return count
}

// askUntilSentTo sends requests for the service of an upstream until the upstream gets one. It drops what is learned
// about response times, since an engine may never be chosen once others have answered sooner than predicted.
func (f *fixture) askUntilSentTo(upstream string) {
	path, model := "/safe/x", ""
	if upstream[0] == 'e' {
		path, model = "/stream/x", "m"
	}
	for n := 0; f.upstreams.sendCount(upstream) == 0; n++ {
		for k := range 4 {
			f.Loads.Forget(fmt.Sprint("e", k))
		}
		f.ask(context.Background(), fmt.Sprint("until", n), path, model)
	}
}

// noticeFrom returns a notice function by which one upstream gives notice n in all its answers, and the others
// nothing.
func noticeFrom(upstream string, n fleet.Notice) func(string, int) fleet.Notice {
	return func(id string, _ int) fleet.Notice {
		if id == upstream {
			return n
		}
		return fleet.Notice{}
	}
}

var _ = Describe("requests to upstreams whose answers give notice that they leave or want a backoff", func() {
	const backoff = 3 * time.Second
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

	It("never go to a leaving upstream after the first answer with that notice, whatever a list says", func() {
		spectest.Bubble(func() {
			for _, leaving := range []string{"p1", "e2"} {
				f := newFixture(func(string, int) behavior { return succeeds }, 1)
				f.upstreams.notice = noticeFrom(leaving, fleet.Notice{Leaving: true})
				f.askUntilSentTo(leaving)
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
				Expect(f.upstreams.sendCount(leaving)).To(Equal(1))
			}
		})
	})

	It("avoid an upstream until its backoff is over: when first sent, retried, resumed or delayed", func() {
		spectest.Bubble(func() {
			for _, backingOff := range []string{"p1", "e2"} {
				f := newFixture(func(string, int) behavior { return succeeds }, 1)
				f.upstreams.notice = noticeFrom(backingOff, fleet.Notice{Backoff: backoff})
				attempts := 0
				f.upstreams.choose = func(string, int) behavior {
					attempts++
					return []behavior{succeeds, brokenBody, refuses, fails, succeeds}[attempts%5]
				}
				begun := time.Now()
				for time.Since(begun) < 2*time.Second {
					askAll(f, fmt.Sprint("r", time.Since(begun)))
				}
				Expect(f.upstreams.sendCount(backingOff)).To(Equal(1))
			}
		})
	})

	It("are refused at once if all suitable upstreams are in backoff, with the time until the first of them may get requests", func() {
		spectest.Bubble(func() {
			f := newFixture(func(string, int) behavior { return succeeds }, 1)
			f.upstreams.notice = func(string, int) fleet.Notice { return fleet.Notice{Backoff: backoff} }
			f.ask(context.Background(), "first", "/safe/x", "")
			sent := len(f.upstreams.sentTo)
			Expect(sent).To(Equal(4))
			time.Sleep(time.Second)
			begun := time.Now()
			got := f.ask(context.Background(), "late", "/safe/x", "")
			Expect(time.Since(begun)).To(BeZero())
			Expect(got.Code).To(Equal(http.StatusServiceUnavailable))
			Expect(got.Body.String()).To(ContainSubstring(string(reasonBackoff)))
			wait, err := strconv.ParseFloat(got.Header().Get("Retry-After"), 64)
			Expect(err).NotTo(HaveOccurred())
			Expect(wait).To(BeNumerically("~", 2.25, 0.26))
			Expect(f.upstreams.sentTo).To(HaveLen(sent))
		})
	})

	It("wait for a backoff that ends in time, and are served then", func() {
		spectest.Bubble(func() {
			f := newFixture(func(string, int) behavior { return succeeds }, 1)
			f.upstreams.notice = func(_ string, n int) fleet.Notice {
				if n == 1 {
					return fleet.Notice{Backoff: 100 * time.Millisecond}
				}
				return fleet.Notice{}
			}
			Expect(f.ask(context.Background(), "first", "/safe/x", "").Code).To(Equal(http.StatusServiceUnavailable))
			Expect(f.upstreams.sentTo).To(HaveLen(4))
			begun := time.Now()
			Expect(f.ask(context.Background(), "late", "/safe/x", "").Code).To(Equal(http.StatusOK))
			Expect(time.Since(begun)).To(BeNumerically("~", 100*time.Millisecond, 60*time.Millisecond))
		})
	})

	It("have an adapter loaded elsewhere while the engine that has it is in backoff", func() {
		spectest.Bubble(func() {
			f := newFixture(func(string, int) behavior { return succeeds }, 1)
			with := fleet.Upstream{ID: "with", Service: "engines", Models: []fleet.Holding{{Model: "m", Adapters: []string{"a"}}}, Revision: 2}
			without := fleet.Upstream{ID: "without", Service: "engines", Models: []fleet.Holding{{Model: "m"}}, Revision: 2}
			f.Directory.SetList(2, []fleet.Upstream{with, without}, time.Now())
			f.upstreams.notice = noticeFrom("with", fleet.Notice{Backoff: backoff})
			var avoided []string
			f.Ensure = func(_ context.Context, want residency.Want) (residency.EnsureResult, error) {
				avoided = want.Avoid
				return residency.EnsureResult{Upstream: "without", Residency: fleet.Residency{Adapters: map[string][]string{"m": {"a"}}, Sequence: 1}, Term: 1}, nil
			}
			f.ask(context.Background(), "r0", "/stream/x", "m")
			f.Directory.RecordNotice("with", fleet.Notice{Backoff: backoff})
			ask := &Request{ID: "r1", Arrived: time.Now(), Deadline: time.Now().Add(time.Second), Path: "/stream/x", Host: "h", Header: http.Header{}, Model: "m", Adapter: "a"}
			c := &caller{ResponseRecorder: httptest.NewRecorder()}
			Expect(f.Serve(context.Background(), c, ask)).To(Succeed())
			Expect(c.Code).To(Equal(http.StatusOK))
			Expect(avoided).To(Equal([]string{"with"}))
		})
	})

	It("choose again if the chosen upstream asked for a backoff while the choice waited for another box", func() {
		spectest.Bubble(func() {
			f := newFixture(func(string, int) behavior { return succeeds }, 1)
			chosen := ""
			f.Reserve = func(_ context.Context, asked dispatch.Reservation) (dispatch.ReservationAnswer, error) {
				if chosen == "" {
					chosen = asked.Engine
					f.Directory.RecordNotice(chosen, fleet.Notice{Backoff: backoff})
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
			Expect(f.upstreams.sendCount(chosen)).To(BeZero())
		})
	})

	It("that are sent to one of them anyway are logged with the request, the upstream and its notice", func() {
		spectest.Bubble(func() {
			f := newFixture(func(string, int) behavior { return succeeds }, 1)
			core, lines := observer.New(zap.InfoLevel)
			f.Log = zap.New(core)
			var noted []fleet.NoticeEvent
			f.Directory.OnNotice = func(n fleet.NoticeEvent) { noted = append(noted, n) }
			f.Directory.RecordNotice("p0", fleet.Notice{Leaving: true, Backoff: backoff})
			Expect(noted).To(HaveLen(1))
			Expect(noted[0].Kinds()).To(Equal([]string{"leaving", "rest"}))
			time.Sleep(time.Second)
			r := &inflight{gateway: f.Gateway, request: &Request{ID: "r"}, route: &routes.Route{}}
			r.logSentAgainstNotice(dispatch.Choice{Upstream: f.Directory.Get("p0")})
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
