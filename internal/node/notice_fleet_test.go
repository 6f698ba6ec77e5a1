package node

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"ospreymoor.example/ospreymoor/internal/gateway"
	"ospreymoor.example/ospreymoor/pkg/fleet"
	"ospreymoor.example/ospreymoor/pkg/kv"
	"ospreymoor.example/ospreymoor/pkg/pause"
	"ospreymoor.example/ospreymoor/pkg/residency"
	"ospreymoor.example/ospreymoor/pkg/routes"
)

// noticeVariant is one way to follow the notices of upstreams.
type noticeVariant struct {
	name string
	// ignoreNotices makes boxes ignore all notices.
	ignoreNotices bool
	backoffRules  fleet.BackoffPolicy
	// backoffForAll makes all boxes keep a backoff that an engine asked of one box.
	backoffForAll bool
	// coldPerSecond is how many requests per second a cold engine can take; 0 means no bound.
	coldPerSecond float64
	// slots is the number of slots that engines state; 0 means 64.
	slots int
	// tune changes a box before it runs, and tuneConfig its configuration; nil changes nothing.
	tune       func(n *noticeFleet, box *Node)
	tuneConfig func(n *noticeFleet, box int, config *Config)
}

// noticeFleet is a fleet of boxes with engines whose answers state that they leave, that they need a backoff, or a
// limit.
type noticeFleet struct {
	*crashFleet
	variant noticeVariant
	// logTo gets the log lines of all boxes; nil drops them.
	logTo zapcore.Core
	// engineSlots is how many requests an engine runs at once; it rejects further ones and asks for a backoff. 0 means
	// any number.
	engineSlots int
	// brittle is how many requests an engine can reject in a second, for want of slots; it states that in its answers, asks
	// for no backoff, and falls over when it rejects more. A negative number, the default, means that engines are sturdy.
	brittle      int
	brittleSince time.Time
	// falls counts the times that an engine fell over.
	falls int
	// backoff is the duration that engines ask for.
	backoff time.Duration

	noticeMu sync.Mutex
	engines  map[string]*noticeEngine
	// sentInBackoff counts the requests from boxes that the engine had asked for a backoff that was not over. rejected
	// counts all requests that an engine did not run. largestBurst is the most requests that one got within burstSpan.
	sentInBackoff, rejected, largestBurst int
	// sentAfterLeaving counts the requests that reached an engine from a box later than leavingGrace after the engine
	// had first stated to that box that it leaves.
	sentAfterLeaving int
	// lastLearned is the latest time at which a box learned that an engine leaves.
	lastLearned time.Time
	// lostRuns counts the requests that ended because their engine was gone.
	lostRuns int
}

// noticeEngine is the state of one engine. The fleet's noticeMu guards it.
type noticeEngine struct {
	running int
	// rejectShare is the share of requests that the engine rejects until rejectUntil.
	rejectShare float64
	rejectUntil time.Time
	// leaving makes its answers state that it leaves. The context alive ends when it is gone.
	leaving bool
	alive   context.Context
	kill    context.CancelFunc
	gone    bool
	// backoffAskedAt is when each box was last asked for a backoff, and leavingStatedAt when the engine
	// first stated to each box that it leaves.
	backoffAskedAt, leavingStatedAt map[int]time.Time
	// recentArrivals are the arrivals within the latest burstSpan.
	recentArrivals []time.Time
	// allArrivals are the arrivals since the start, and sentBy has the box of each.
	allArrivals []time.Time
	sentBy      []int
	// limits are the limits that its answers stated, in order, and limitStatedAt is when it first stated one
	// to each box.
	limits []statedLimit
	// rejections are those within the latest second, and fallenUntil is until when it is down after too many.
	rejections    []time.Time
	fallenUntil   time.Time
	limitStatedAt map[int]time.Time
}

const (
	// backoffGrace is how long after it was asked for a backoff a box may still send, and leavingGrace how long after
	// an engine stated to it that it leaves. Both are bounds of the platform.
	backoffGrace = 500 * time.Millisecond
	leavingGrace = 2 * time.Second
	// burstSpan is the time in which requests count as one burst.
	burstSpan = 100 * time.Millisecond
)

// withNoticeFleet runs f on a fleet in a bubble.
func withNoticeFleet(size smallFleetSize, variant noticeVariant, f func(*noticeFleet)) {
	withLoggedNoticeFleet(size, variant, nil, f)
}

// withLoggedNoticeFleet runs f on a fleet whose boxes log to a core; nil drops the lines.
func withLoggedNoticeFleet(size smallFleetSize, variant noticeVariant, logTo zapcore.Core, f func(*noticeFleet)) {
	n := &noticeFleet{logTo: logTo, variant: variant, backoff: 3 * time.Second, brittle: -1, engines: map[string]*noticeEngine{}}
	before := func(c *crashFleet) {
		n.crashFleet = c
		for k := range size.upstreams {
			alive, kill := context.WithCancel(context.Background())
			n.engines[upstreamName(k)] = &noticeEngine{alive: alive, kill: kill, backoffAskedAt: map[int]time.Time{}, leavingStatedAt: map[int]time.Time{}, limitStatedAt: map[int]time.Time{}}
		}
		c.tune, c.tuneNode = n.tuneConfig, n.tuneBox
	}
	withCrashFleet(size, before, func(*crashFleet) {
		f(n)
		n.callers.Wait()
		for _, engine := range n.engines {
			engine.kill()
		}
	})
}

// tuneConfig configures a box for engines that all hold one model.
func (n *noticeFleet) tuneConfig(config *Config) {
	box := 0
	_, _ = fmt.Sscanf(config.Name, "n%d", &box)
	config.Platform.DecodeTable = func(map[string]kv.Record) (*routes.Table, error) {
		route := routes.Route{
			Name: "r", Host: "h", PathPrefix: "/", Kind: routes.Stream, Resumable: true, Timeout: 10 * time.Second,
			Target: time.Second, MaxAttempts: 2, Shares: []routes.Share{{Service: "s", Weight: 1}},
		}
		engines := &routes.Engines{Slots: 64, CacheTokens: 200_000, AdapterSlots: 8, Models: []routes.Model{{Name: "m"}}}
		service := routes.Service{Name: "s", Engines: engines, ColdStart: coldTime, ColdPerSecond: n.variant.coldPerSecond}
		return routes.New(1, []routes.Route{route}, []routes.Service{service}, routes.Limits{}), nil
	}
	config.Platform.DecodeUpstream = func(record kv.Record) (fleet.Upstream, error) {
		id, cold := strings.CutSuffix(string(record.Value), coldSuffix)
		upstream := fleet.Upstream{ID: id, Service: "s", Slots: cmp.Or(n.variant.slots, 64), Models: []fleet.Holding{{Model: "m"}}, Revision: record.Revision}
		if cold {
			upstream.Cold = coldTime
		}
		return upstream, nil
	}
	config.ColdStarts = coldTolerance
	if n.logTo != nil {
		config.Log = zap.New(n.logTo).With(zap.Int("box", box))
	}
	// As many retries per box as the platform allows in fleets of 7 to 60 boxes.
	config.Retries = gateway.RetryLimits{Ratio: 0.2, Slack: 4 * float64(n.boxes)}
	config.Upstreams.Send = func(ctx context.Context, to *fleet.Endpoint, attempt gateway.Attempt) (*gateway.Answer, error) {
		return n.sendToEngine(ctx, box, to, attempt)
	}
	config.Upstreams.RefusesConnection = func(_ context.Context, of fleet.Upstream) bool { return false }
	config.Upstreams.Engines = residency.Engines{
		Report: func(context.Context, *fleet.Endpoint) (residency.Report, error) {
			return residency.Report{Models: []fleet.Holding{{Model: "m"}}}, nil
		},
	}
	if n.variant.tuneConfig != nil {
		n.variant.tuneConfig(n, box, config)
	}
}

// tuneBox applies the variant to a box and records when the box learns that an engine leaves.
func (n *noticeFleet) tuneBox(box *Node) {
	directory := box.Gateway.Directory
	directory.BackoffPolicy = n.variant.backoffRules
	if n.variant.tune != nil {
		n.variant.tune(n, box)
	}
	logged := directory.OnNotice
	directory.OnNotice = func(event fleet.NoticeEvent) {
		logged(event)
		if event.Leaving {
			n.noticeMu.Lock()
			n.lastLearned = time.Now()
			n.noticeMu.Unlock()
		}
	}
	if n.variant.backoffForAll {
		directory.OnNotice = func(event fleet.NoticeEvent) {
			for _, other := range n.nodes {
				if event.Source != fleet.SourceBox && other != nil && other != box {
					other.Gateway.Directory.RecordNotice(event.Upstream, fleet.Notice{Backoff: event.Backoff, Source: fleet.SourceBox})
				}
			}
		}
	}
}

// lastLearnedAt returns the latest time at which a box learned that an engine leaves.
func (n *noticeFleet) lastLearnedAt() time.Time {
	n.noticeMu.Lock()
	defer n.noticeMu.Unlock()
	return n.lastLearned
}

// sendToEngine sends one request of a box to an engine.
func (n *noticeFleet) sendToEngine(ctx context.Context, box int, to *fleet.Endpoint, attempt gateway.Attempt) (*gateway.Answer, error) {
	if err := pause.For(ctx, time.Millisecond); err != nil {
		return nil, err
	}
	engine, rejected, notice := n.arrive(box, to.ID)
	if n.isDown(engine) {
		return nil, gateway.ErrNotSent
	}
	if err := pause.For(ctx, time.Millisecond); err != nil {
		n.finish(engine)
		return nil, err
	}
	if n.variant.ignoreNotices {
		notice = fleet.Notice{}
	}
	notice.Source = fleet.SourceRequest
	to.HandleNotice(notice)
	if rejected {
		return &gateway.Answer{
			Status: http.StatusServiceUnavailable, Header: http.Header{}, NotExecuted: true, Body: io.NopCloser(strings.NewReader("")),
		}, nil
	}
	reader, writer := io.Pipe()
	n.noticeMu.Lock()
	alive := engine.alive
	n.noticeMu.Unlock()
	n.callers.Go(func() {
		stop := context.AfterFunc(ctx, func() { _ = writer.CloseWithError(io.ErrUnexpectedEOF) })
		defer stop()
		err := writeEvents(alive, writer, attempt.LastEventID, "event")
		_ = writer.CloseWithError(err)
		n.finish(engine)
		if alive.Err() != nil {
			n.noticeMu.Lock()
			n.lostRuns++
			n.noticeMu.Unlock()
		}
	})
	return &gateway.Answer{Status: http.StatusOK, Header: http.Header{}, Body: reader}, nil
}

// arrive counts a request that reaches an engine. It returns the engine, whether it rejects the request, and the
// notice in its answer.
func (n *noticeFleet) arrive(box int, id string) (engine *noticeEngine, rejected bool, notice fleet.Notice) {
	n.noticeMu.Lock()
	defer n.noticeMu.Unlock()
	now := time.Now()
	engine = n.engines[id]
	if engine.gone || now.Before(engine.fallenUntil) {
		return engine, false, notice
	}
	if n.brittle >= 0 {
		return engine, n.arriveBrittle(engine, now, &notice), notice
	}
	if at, ok := engine.backoffAskedAt[box]; ok && now.Sub(at) > backoffGrace && now.Sub(at) < n.backoff {
		n.sentInBackoff++
	}
	if at, ok := engine.leavingStatedAt[box]; ok && now.Sub(at) > leavingGrace {
		n.sentAfterLeaving++
	}
	engine.countArrival(now, &n.largestBurst)
	engine.sentBy = append(engine.sentBy, box)
	engine.addLimit(box, now, &notice)
	if engine.leaving {
		notice.Leaving = true
		if _, ok := engine.leavingStatedAt[box]; !ok {
			engine.leavingStatedAt[box] = now
		}
	}
	full := n.engineSlots > 0 && engine.running >= n.engineSlots
	if full || now.Before(engine.rejectUntil) && rand.Float64() < engine.rejectShare {
		n.rejected++
		engine.backoffAskedAt[box] = now
		notice.Backoff = n.backoff
		return engine, true, notice
	}
	engine.running++
	return engine, false, notice
}

// countArrival records an arrival, and raises largestBurst to the number of arrivals in the latest burstSpan.
func (e *noticeEngine) countArrival(now time.Time, largestBurst *int) {
	for len(e.recentArrivals) > 0 && now.Sub(e.recentArrivals[0]) > burstSpan {
		e.recentArrivals = e.recentArrivals[1:]
	}
	e.recentArrivals = append(e.recentArrivals, now)
	e.allArrivals = append(e.allArrivals, now)
	*largestBurst = max(*largestBurst, len(e.recentArrivals))
}

func (n *noticeFleet) finish(engine *noticeEngine) {
	n.noticeMu.Lock()
	defer n.noticeMu.Unlock()
	engine.running--
}

// eachNth calls f with every n-th engine, where n is every, and holds noticeMu meanwhile.
func (n *noticeFleet) eachNth(every int, f func(*noticeEngine)) {
	n.noticeMu.Lock()
	defer n.noticeMu.Unlock()
	for k := 0; k < len(n.engines); k += every {
		f(n.engines[upstreamName(k)])
	}
}

// sendModelRequests has callers send requests for a model to random boxes, for a time and at a rate. A caller that is
// refused tries once more after the Retry-After, or after 4 s if that is earlier.
func (n *noticeFleet) sendModelRequests(perSecond float64, span time.Duration) {
	random := rand.New(rand.NewPCG(1, 2))
	for k := range int(span.Seconds() * perSecond) {
		first, second := n.randomBox(random), n.randomBox(random)
		n.callers.Go(func() {
			outcome, wait := n.sendModelRequest(first, fmt.Sprint(k, " first"))
			if outcome == refused {
				time.Sleep(min(wait, 4*time.Second))
				outcome, _ = n.sendModelRequest(second, fmt.Sprint(k, " second"))
				outcome += " at its return"
			}
			n.countOutcome(outcome)
		})
		time.Sleep(time.Duration(float64(time.Second) / perSecond))
	}
}

// sendModelRequest sends one request for a model to a box. It returns its outcome, and the Retry-After of a refusal.
func (n *noticeFleet) sendModelRequest(box int, id string) (outcome string, retryAfter time.Duration) {
	answer := httptest.NewRecorder()
	now := time.Now()
	request := &gateway.Request{
		ID: id, Arrived: now, Deadline: now.Add(10 * time.Second), Method: http.MethodPost, URI: "/x", Path: "/x", Host: "h",
		Header: http.Header{}, Body: []byte(id), Model: "m", PromptTokens: 300, AnswerTokens: 60,
	}
	if n.nodes[box].Gateway.Serve(context.Background(), answer, request) != nil {
		return broken, 0
	}
	if answer.Code == http.StatusOK {
		return served, 0
	}
	retryAfter, _ = time.ParseDuration(answer.Header().Get("Retry-After") + "s")
	return refused, retryAfter
}
