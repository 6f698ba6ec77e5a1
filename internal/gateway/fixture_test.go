package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	jujuerrors "github.com/juju/errors"
	"go.uber.org/zap"

	"ospreymoor.example/ospreymoor/pkg/dispatch"
	"ospreymoor.example/ospreymoor/pkg/fleet"
	"ospreymoor.example/ospreymoor/pkg/origins"
	"ospreymoor.example/ospreymoor/pkg/quarantine"
	"ospreymoor.example/ospreymoor/pkg/residency"
	"ospreymoor.example/ospreymoor/pkg/routes"
	"ospreymoor.example/ospreymoor/pkg/spectest"
)

func TestGateway(t *testing.T) { spectest.Run(t, "Gateway") }

// behavior is the way in which an attempt at a fake upstream ends.
type behavior int

const (
	succeeds behavior = iota
	notSent
	refuses
	brokenBeforeHead
	brokenBody
	fails
	hangs
	behaviorCount
	// crashes ends the upstream crashTime after the attempt begins.
	crashes
)

const crashTime = 60 * time.Millisecond

// fakeUpstreams records the attempts that it gets and ends them as choose decides.
type fakeUpstreams struct {
	mu sync.Mutex
	// choose returns the behavior of an attempt; n counts the attempts of the request, from 1.
	choose   func(id string, n int) behavior
	sends    map[string]int
	runs     map[string]int
	timeLeft []time.Duration
	sentTo   []string
	// customers and urgencies are those of the attempts.
	customers []string
	urgencies []int
	// notice returns what the answer of an upstream to its nth request states; nil states nothing.
	notice func(upstream string, n int) fleet.Notice
	// connect is called while an attempt waits for a connection; nil connects at once.
	connect func(upstream string)
	// crashed holds the upstreams that crashed, and crashChecks counts the checks of upstreams.
	crashed     map[string]bool
	crashChecks int
}

// refusesConnection reports whether an upstream crashed.
func (f *fakeUpstreams) refusesConnection(_ context.Context, of fleet.Upstream) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.crashChecks++
	return f.crashed[of.ID]
}

const plainBody = "the whole answer"

func (f *fakeUpstreams) send(ctx context.Context, to *fleet.Endpoint, attempt Attempt) (*Answer, error) {
	id := attempt.Request.ID
	f.mu.Lock()
	f.sends[id]++
	n := f.sends[id]
	f.timeLeft = append(f.timeLeft, attempt.TimeLeft)
	f.sentTo = append(f.sentTo, to.ID)
	f.customers = append(f.customers, attempt.Customer)
	f.urgencies = append(f.urgencies, attempt.Urgency)
	nth := 0
	for _, on := range f.sentTo {
		if on == to.ID {
			nth++
		}
	}
	f.mu.Unlock()
	if f.connect != nil {
		f.connect(to.ID)
	}
	if err := attempt.BeforeWrite(); err != nil {
		return nil, jujuerrors.WithType(err, ErrNotSent)
	}
	if f.notice != nil {
		notice := f.notice(to.ID, nth)
		to.HandleNotice(notice)
		if notice.Backoff > 0 {
			return notExecutedAnswer(), nil
		}
	}
	chosen := f.choose(id, n)
	switch chosen {
	case notSent:
		return nil, ErrNotSent
	case refuses:
		return notExecutedAnswer(), nil
	}
	f.mu.Lock()
	f.runs[id]++
	f.mu.Unlock()
	switch chosen {
	case crashes:
		time.Sleep(crashTime)
		f.mu.Lock()
		f.crashed[to.ID] = true
		f.mu.Unlock()
		return nil, ErrBroken
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

// notExecutedAnswer returns the answer of an upstream that does not run a request.
func notExecutedAnswer() *Answer {
	return &Answer{Status: http.StatusServiceUnavailable, NotExecuted: true, Body: io.NopCloser(strings.NewReader("")), Header: http.Header{}}
}

// eventCount is the number of events in a streamed answer.
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

// fixture is a gateway with fake upstreams.
type fixture struct {
	*Gateway
	upstreams *fakeUpstreams
}

func newFixture(choose func(id string, n int) behavior, boxes int) *fixture {
	f := &fakeUpstreams{choose: choose, sends: map[string]int{}, runs: map[string]int{}, crashed: map[string]bool{}}
	loads := dispatch.NewLoadTracker()
	g := &Gateway{
		Directory: fleet.New(),
		Loads:     loads,
		Chooser:   &dispatch.Chooser{Loads: loads},
		Upstreams: Upstreams{Send: f.send, RefusesConnection: f.refusesConnection},
		Ensure: func(context.Context, residency.Want) (residency.EnsureResult, error) {
			return residency.EnsureResult{ReadyIn: 2 * time.Second}, residency.ErrNoCapacity
		},
		Quarantine: quarantine.NewRegister(quarantine.DefaultPolicy),
		CrashParts: quarantine.NewPartRegister(quarantine.DefaultPartPolicy, "box"),
		Log:        zap.NewNop(),
		Metrics:    metrics.NewSet(),

		configured: make(chan struct{}),
		started:    origins.NewRegister(),
	}
	g.uses.running = map[residency.ModelUse]int{}
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
	g.Directory.SetList(1, fixtureUpstreams(), time.Time{})
	return &fixture{Gateway: g, upstreams: f}
}

// fixtureUpstreams returns the upstreams of a fixture.
func fixtureUpstreams() (list []fleet.Upstream) {
	for n := range 4 {
		list = append(list, fleet.Upstream{ID: fmt.Sprint("p", n), Service: "plain", Slots: 8, Revision: 1})
		list = append(list, fleet.Upstream{ID: fmt.Sprint("e", n), Service: "engines", Slots: 8, Revision: 1, Models: []fleet.Holding{{Model: "m"}}})
	}
	return list
}

// caller is a response writer that records whether the answer was broken off.
type caller struct {
	*httptest.ResponseRecorder
	aborted bool
}

func (f *fixture) ask(ctx context.Context, id, path, model string) *caller {
	return f.serve(ctx, &Request{
		ID: id, Arrived: time.Now(), Deadline: time.Now().Add(4 * time.Second), Method: http.MethodPost, URI: path, Path: path,
		Host: "h", Header: http.Header{}, Model: model, PromptTokens: 200, AnswerTokens: 20,
	})
}

// streamRequest returns a request for a stream that may be resumed.
func streamRequest(id string) *Request {
	return &Request{
		ID: id, Arrived: time.Now(), Deadline: time.Now().Add(4 * time.Second), Method: http.MethodPost, URI: "/stream/x",
		Path: "/stream/x", Host: "h", Header: http.Header{}, Model: "m", PromptTokens: 200, AnswerTokens: 20,
	}
}

// setVersions lists the engines with software versions.
func (f *fixture) setVersions(versions ...string) {
	revision := f.Directory.Revision() + 1
	var list []fleet.Upstream
	for n, version := range versions {
		list = append(list, fleet.Upstream{
			ID: fmt.Sprint("e", n), Service: "engines", Slots: 8, Revision: revision, SoftwareVersion: version,
			Models: []fleet.Holding{{Model: "m"}},
		})
	}
	f.Directory.SetList(revision, list, time.Now())
}

func (f *fixture) serve(ctx context.Context, request *Request) *caller {
	c := &caller{ResponseRecorder: httptest.NewRecorder()}
	err := f.Serve(ctx, c, request)
	c.aborted = errors.Is(err, ErrAborted)
	return c
}
