package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"ospreymoor.example/ospreymoor/pkg/dispatch"
	"ospreymoor.example/ospreymoor/pkg/fleet"
	"ospreymoor.example/ospreymoor/pkg/residency"
	"ospreymoor.example/ospreymoor/pkg/routes"
	"ospreymoor.example/ospreymoor/pkg/spectest"
)

func TestGateway(t *testing.T) { spectest.Run(t, "Gateway") }

// fate is how one attempt ends at a fake upstream.
type fate int

const (
	whole fate = iota
	notSent
	refuses
	brokenBeforeHead
	brokenBody
	fails
	hangs
	fates
)

// fakeUpstreams notes what ran, and ends attempts as chosen.
type fakeUpstreams struct {
	mu sync.Mutex
	// choose picks the fate of an attempt; n counts those of the request.
	choose func(id string, n int) fate
	sends  map[string]int
	runs   map[string]int
	left   []time.Duration
	on     []string
}

const plainBody = "the whole answer"

func (f *fakeUpstreams) send(ctx context.Context, to fleet.Upstream, attempt Attempt) (*Answer, error) {
	id := attempt.Request.ID
	f.mu.Lock()
	f.sends[id]++
	n := f.sends[id]
	f.left = append(f.left, attempt.Left)
	f.on = append(f.on, to.ID)
	f.mu.Unlock()
	chosen := f.choose(id, n)
	switch chosen {
	case notSent:
		return nil, ErrNotSent
	case refuses:
		return &Answer{Status: http.StatusServiceUnavailable, NotExecuted: true, Body: io.NopCloser(strings.NewReader("")), Header: http.Header{}}, nil
	}
	f.mu.Lock()
	f.runs[id]++
	f.mu.Unlock()
	switch chosen {
	case brokenBeforeHead:
		return nil, ErrBroken
	case fails:
		return &Answer{Status: http.StatusInternalServerError, Header: http.Header{"Seal": {"s"}}, Body: io.NopCloser(strings.NewReader("failed"))}, nil
	case hangs:
		<-ctx.Done()
		return nil, ErrBroken
	}
	text := plainBody
	if attempt.Request.Model != "" {
		text = events(attempt.LastEventID)
	}
	var body io.Reader = strings.NewReader(text)
	if chosen == brokenBody {
		body = io.MultiReader(strings.NewReader(text[:len(text)/2]), brokenReader{})
	}
	return &Answer{Status: http.StatusOK, Header: http.Header{"Seal": {to.ID}}, Body: io.NopCloser(body)}, nil
}

// eventCount is how many events answer a stream.
const eventCount = 6

func events(last string) string {
	first, _ := strconv.Atoi(last)
	text := ""
	for n := first + 1; n <= eventCount; n++ {
		text += fmt.Sprintf("id: %d\ndata: %d\n\n", n, n)
	}
	return text
}

type brokenReader struct{}

func (brokenReader) Read([]byte) (int, error) { return 0, errors.New("connection reset") }

// fixture is a gateway on fakes.
type fixture struct {
	*Gateway
	upstreams *fakeUpstreams
}

func newFixture(choose func(id string, n int) fate, boxes int) *fixture {
	f := &fakeUpstreams{choose: choose, sends: map[string]int{}, runs: map[string]int{}}
	loads := dispatch.NewLoadTracker()
	g := &Gateway{
		Directory: fleet.New(),
		Loads:     loads,
		Chooser:   &dispatch.Chooser{Loads: loads},
		Upstreams: Upstreams{Send: f.send},
		Ensure: func(context.Context, string, string, string) (residency.Ensured, error) {
			return residency.Ensured{Ready: 2 * time.Second}, residency.ErrNoPlace
		},
		Log: zap.NewNop(),
		Set: metrics.NewSet(),
	}
	g.uses.running = map[residency.AdapterUse]int{}
	g.budget = newRetryBudget(RetryLimits{Ratio: 0.2, Slack: 50}, func() int { return boxes })
	route := func(path string, kind routes.Kind, service string, resumable bool) routes.Route {
		return routes.Route{
			Name: path, Host: "h", PathPrefix: path, Kind: kind, Resumable: resumable, Timeout: 3 * time.Second,
			Target: 800 * time.Millisecond, MaxAttempts: 2, Shares: []routes.Share{{Service: service, Weight: 1}},
		}
	}
	engines := &routes.Engines{Slots: 8, CacheTokens: 100_000, Models: []routes.Model{{Name: "m"}, {Name: "nowhere"}}}
	g.SetTable(routes.New(1, []routes.Route{
		route("/once/", routes.Once, "plain", false),
		route("/safe/", routes.Repeatable, "plain", false),
		route("/stream/", routes.Stream, "engines", true),
		route("/strict/", routes.Stream, "engines", false),
	}, []routes.Service{{Name: "plain"}, {Name: "engines", Engines: engines}}, routes.Limits{}))
	var list []fleet.Upstream
	for n := range 4 {
		list = append(list, fleet.Upstream{ID: fmt.Sprint("p", n), Service: "plain", Slots: 8, Revision: 1})
		list = append(list, fleet.Upstream{ID: fmt.Sprint("e", n), Service: "engines", Slots: 8, Revision: 1, Models: []fleet.Holding{{Model: "m"}}})
	}
	g.Directory.SetList(1, list, time.Time{})
	return &fixture{Gateway: g, upstreams: f}
}

// caller is a response writer that knows whether the answer was broken off.
type caller struct {
	*httptest.ResponseRecorder
	aborted bool
}

func (f *fixture) ask(ctx context.Context, id, path, model string) *caller {
	c := &caller{ResponseRecorder: httptest.NewRecorder()}
	request := &Request{
		ID: id, Arrived: time.Now(), Deadline: time.Now().Add(4 * time.Second), Method: http.MethodPost, URI: path, Path: path,
		Host: "h", Header: http.Header{}, Model: model, PromptTokens: 200, AnswerTokens: 20,
	}
	err := f.Serve(ctx, c, request)
	c.aborted = errors.Is(err, ErrAborted)
	return c
}

// refused reports whether a status promises that the request never runs.
func refused(status int) bool { return status == http.StatusServiceUnavailable }

var _ = Describe("a gateway", func() {
	It("runs what may run once at most once, and never what it answered 503", func() {
		spectest.Bubble(func() {
			for seed := range uint64(40) {
				random := rand.New(rand.NewPCG(seed, 3))
				f := newFixture(func(string, int) fate { return fate(random.IntN(int(fates))) }, 1)
				for n := range 20 {
					id := fmt.Sprint(seed, "-", n)
					path, model := "/once/x", ""
					if n%2 == 0 {
						path, model = "/strict/x", "m"
					}
					got := f.ask(context.Background(), id, path, model)
					Expect(f.upstreams.runs[id]).To(BeNumerically("<=", 1), id)
					if refused(got.Code) {
						Expect(f.upstreams.runs[id]).To(BeZero(), id)
						Expect(got.Header().Get("Retry-After")).NotTo(BeEmpty())
					}
					if got.Code == http.StatusOK && !got.aborted {
						Expect(got.Body.String()).To(Or(Equal(plainBody), Equal(events(""))))
					}
				}
			}
		})
	})

	It("joins resumable streams cleanly, under the first upstream's head, or breaks them off", func() {
		spectest.Bubble(func() {
			for seed := range uint64(60) {
				random := rand.New(rand.NewPCG(seed, 4))
				f := newFixture(func(string, int) fate { return fate(random.IntN(int(fates))) }, 1)
				got := f.ask(context.Background(), "r", "/stream/x", "m")
				if got.Code != http.StatusOK {
					continue
				}
				if got.aborted {
					Expect(events("")).To(HavePrefix(got.Body.String()))
				} else {
					Expect(got.Body.String()).To(Equal(events("")))
				}
				Expect(f.upstreams.on).To(ContainElement(got.Header().Get("Seal")))
			}
		})
	})

	It("sends a request again only within the route's attempts", func() {
		spectest.Bubble(func() {
			f := newFixture(func(string, int) fate { return brokenBeforeHead }, 1)
			got := f.ask(context.Background(), "r", "/safe/x", "")
			Expect(f.upstreams.runs["r"]).To(Equal(2))
			Expect(got.Code).To(Equal(http.StatusServiceUnavailable))
		})
	})

	It("passes an upstream's failure on when no other one does better", func() {
		spectest.Bubble(func() {
			f := newFixture(func(string, int) fate { return fails }, 1)
			got := f.ask(context.Background(), "r", "/safe/x", "")
			Expect(got.Code).To(Equal(http.StatusInternalServerError))
			Expect(got.Header().Get("Seal")).To(Equal("s"))
			Expect(got.Body.String()).To(Equal("failed"))
		})
	})

	It("gives its final answer at the route's timeout, and gives upstreams the time that is left", func() {
		spectest.Bubble(func() {
			f := newFixture(func(string, int) fate { return hangs }, 1)
			begun := time.Now()
			got := f.ask(context.Background(), "r", "/once/x", "")
			Expect(got.Code).To(Equal(http.StatusGatewayTimeout))
			Expect(time.Since(begun)).To(Equal(3 * time.Second))
			Expect(f.upstreams.left[0]).To(BeNumerically("<=", 3*time.Second))
		})
	})

	It("refuses at once what no engine can hold in time, with a retry-after", func() {
		spectest.Bubble(func() {
			f := newFixture(func(string, int) fate { return whole }, 1)
			begun := time.Now()
			got := f.ask(context.Background(), "r", "/stream/x", "nowhere")
			Expect(got.Code).To(Equal(http.StatusServiceUnavailable))
			Expect(got.Header().Get("Retry-After")).To(Equal("2.000"))
			Expect(time.Since(begun)).To(BeNumerically("<", 200*time.Millisecond))
		})
	})

	It("answers 503, never 404, while it knows no configuration", func() {
		f := newFixture(func(string, int) fate { return whole }, 1)
		f.table.Store(nil)
		Expect(f.ask(context.Background(), "r", "/once/x", "").Code).To(Equal(http.StatusServiceUnavailable))
		Expect(f.ask(context.Background(), "r", "/nowhere/x", "").Code).To(Equal(http.StatusServiceUnavailable))
	})

	It("never goes back to an older configuration", func() {
		f := newFixture(func(string, int) fate { return whole }, 1)
		Expect(f.SetTable(routes.New(1, nil, nil, routes.Limits{}))).To(BeFalse())
		Expect(f.SetTable(routes.New(2, nil, nil, routes.Limits{}))).To(BeTrue())
		Expect(f.SetTable(routes.New(1, nil, nil, routes.Limits{}))).To(BeFalse())
		Expect(f.Table().Version).To(Equal(int64(2)))
	})

	It("keeps retries within its share of the budget, whatever fails", func() {
		spectest.Bubble(func() {
			const boxes = 5
			f := newFixture(func(string, int) fate { return brokenBeforeHead }, boxes)
			const requests = 400
			for n := range requests {
				f.ask(context.Background(), fmt.Sprint(n), "/safe/x", "")
			}
			total := 0
			for _, n := range f.upstreams.sends {
				total += n
			}
			Expect(total - requests).To(BeNumerically(">", 0))
			Expect(float64(total - requests)).To(BeNumerically("<=", 0.2*requests+50.0/boxes))
		})
	})

	It("does not count as a retry what never reached an upstream", func() {
		spectest.Bubble(func() {
			f := newFixture(func(_ string, n int) fate {
				if n == 1 {
					return notSent
				}
				return whole
			}, 1000)
			for n := range 50 {
				Expect(f.ask(context.Background(), fmt.Sprint(n), "/once/x", "").Code).To(Equal(http.StatusOK))
				time.Sleep(time.Second) // The upstream that took no connection is tried again.
			}
		})
	})
})
