package node

import (
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

// noticeWay is one way to heed what upstreams tell.
type noticeWay struct {
	name string
	// unread drops all that they tell.
	unread bool
	rests  fleet.Rests
	// restsForAll has a rest that one box is asked for kept by all boxes.
	restsForAll bool
	// coldPerSecond is how many requests a second cold engines bear; 0 sets no bound.
	coldPerSecond float64
	// tune changes a box before it runs; nil changes nothing.
	tune func(n *noticeFleet, box *Node)
}

// noticeFleet is boxes before engines that tell in their answers that they leave, or want rest.
type noticeFleet struct {
	*crashFleet
	way noticeWay
	// logTo, if set, gets the lines of all boxes.
	logTo zapcore.Core
	// engineSlots is how many requests an engine runs at once; it turns others away and asks for rest. 0 is any number.
	engineSlots int
	rest        time.Duration

	noticeMu sync.Mutex
	engines  map[string]*noticeEngine
	// late counts the requests that reached an engine in a rest that it had asked the same box for, and turnedAway all that it did not
	// run; longest is the most requests that one got within herdSpan.
	late, turnedAway, longest int
	// afterLeaving counts the requests that reached an engine later than leaveTime after it had told the same box that it leaves.
	afterLeaving int
	// knew is when boxes came to know that each engine leaves, the latest of them.
	knew time.Time
	// lost counts the runs that ended with their engine.
	lost int
}

// noticeEngine is one engine.
type noticeEngine struct {
	running int
	// share of requests is turned away until turningUntil.
	share        float64
	turningUntil time.Time
	// leaving has its answers tell that it leaves; life ends when it is gone.
	leaving bool
	life    context.Context
	end     context.CancelFunc
	gone    bool
	// asked is when each box was last asked for rest, and told when each was first told that it leaves.
	asked, told map[int]time.Time
	// arrivals are the latest ones.
	arrivals []time.Time
	// all are all arrivals, and sentBy has the box of each.
	all    []time.Time
	sentBy []int
	// limits are those that its answers named one after the other, and limitTold is when each box was first told of one.
	limits    []namedLimit
	limitTold map[int]time.Time
}

const (
	// restGrace is how long after it was asked for rest a box may still send, and leaveTime how long after it was told that an engine
	// leaves. Bounds of the platform.
	restGrace = 500 * time.Millisecond
	leaveTime = 2 * time.Second
	// herdSpan is the time in which requests count as one herd.
	herdSpan = 100 * time.Millisecond
)

// withNoticeFleet runs f on a fleet in a bubble.
func withNoticeFleet(size smallFleetSize, way noticeWay, f func(*noticeFleet)) {
	withLoggedNoticeFleet(size, way, nil, f)
}

// withLoggedNoticeFleet runs f on a fleet whose boxes' lines go to a core; nil drops them.
func withLoggedNoticeFleet(size smallFleetSize, way noticeWay, logTo zapcore.Core, f func(*noticeFleet)) {
	n := &noticeFleet{logTo: logTo, way: way, rest: 3 * time.Second, engines: map[string]*noticeEngine{}}
	before := func(c *crashFleet) {
		n.crashFleet = c
		for k := range size.upstreams {
			life, end := context.WithCancel(context.Background())
			n.engines[upstreamName(k)] = &noticeEngine{life: life, end: end, asked: map[int]time.Time{}, told: map[int]time.Time{}, limitTold: map[int]time.Time{}}
		}
		c.tune, c.tuneNode = n.tuneConfig, n.tuneBox
	}
	withCrashFleet(size, before, func(*crashFleet) {
		f(n)
		n.callers.Wait()
		for _, engine := range n.engines {
			engine.end()
		}
	})
}

// tuneConfig has a box serve engines that all hold one model.
func (n *noticeFleet) tuneConfig(config *Config) {
	box := 0
	_, _ = fmt.Sscanf(config.Name, "n%d", &box)
	config.Platform.DecodeTable = func(map[string]kv.Record) (*routes.Table, error) {
		route := routes.Route{
			Name: "r", Host: "h", PathPrefix: "/", Kind: routes.Stream, Resumable: true, Timeout: 10 * time.Second,
			Target: time.Second, MaxAttempts: 2, Shares: []routes.Share{{Service: "s", Weight: 1}},
		}
		engines := &routes.Engines{Slots: 64, CacheTokens: 200_000, AdapterSlots: 8, Models: []routes.Model{{Name: "m"}}}
		service := routes.Service{Name: "s", Engines: engines, ColdStart: coldTime, ColdPerSecond: n.way.coldPerSecond}
		return routes.New(1, []routes.Route{route}, []routes.Service{service}, routes.Limits{}), nil
	}
	config.Platform.DecodeUpstream = func(record kv.Record) (fleet.Upstream, error) {
		id, cold := strings.CutSuffix(string(record.Value), coldSuffix)
		upstream := fleet.Upstream{ID: id, Service: "s", Slots: 64, Models: []fleet.Holding{{Model: "m"}}, Revision: record.Revision}
		if cold {
			upstream.Cold = coldTime
		}
		return upstream, nil
	}
	config.ColdStarts = coldTolerance
	if n.logTo != nil {
		config.Log = zap.New(n.logTo).With(zap.Int("box", box))
	}
	// As many retries a box as the platform allows fleets of 7 to 60 boxes.
	config.Retries = gateway.RetryLimits{Ratio: 0.2, Slack: 4 * float64(n.boxes)}
	config.Upstreams.Send = func(ctx context.Context, to *fleet.Endpoint, attempt gateway.Attempt) (*gateway.Answer, error) {
		return n.send(ctx, box, to, attempt)
	}
	config.Upstreams.Refuses = func(_ context.Context, of fleet.Upstream) bool { return false }
	config.Upstreams.Engines = residency.Engines{
		Report: func(context.Context, *fleet.Endpoint) (residency.Report, error) {
			return residency.Report{Models: []fleet.Holding{{Model: "m"}}}, nil
		},
	}
}

func (n *noticeFleet) tuneBox(box *Node) {
	directory := box.Gateway.Directory
	directory.Rests = n.way.rests
	if n.way.tune != nil {
		n.way.tune(n, box)
	}
	logged := directory.OnNotice
	directory.OnNotice = func(noted fleet.Noted) {
		logged(noted)
		if noted.Leaving {
			n.noticeMu.Lock()
			n.knew = time.Now()
			n.noticeMu.Unlock()
		}
	}
	if n.way.restsForAll {
		directory.OnNotice = func(noted fleet.Noted) {
			for _, other := range n.nodes {
				if noted.Source != fleet.SourceBox && other != nil && other != box {
					other.Gateway.Directory.Note(noted.Upstream, fleet.Notice{Rest: noted.Rest, Source: fleet.SourceBox})
				}
			}
		}
	}
}

// lastKnew is when the last box came to know of an engine that it leaves.
func (n *noticeFleet) lastKnew() time.Time {
	n.noticeMu.Lock()
	defer n.noticeMu.Unlock()
	return n.knew
}

// send is one request of a box at an engine.
func (n *noticeFleet) send(ctx context.Context, box int, to *fleet.Endpoint, attempt gateway.Attempt) (*gateway.Answer, error) {
	if err := pause.For(ctx, time.Millisecond); err != nil {
		return nil, err
	}
	engine, turnedAway, notice := n.arrive(box, to.ID)
	if engine.gone {
		return nil, gateway.ErrNotSent
	}
	if err := pause.For(ctx, time.Millisecond); err != nil {
		n.leave(engine)
		return nil, err
	}
	if n.way.unread {
		notice = fleet.Notice{}
	}
	notice.Source = fleet.SourceRequest
	to.Told(notice)
	if turnedAway {
		return &gateway.Answer{
			Status: http.StatusServiceUnavailable, Header: http.Header{}, NotExecuted: true, Body: io.NopCloser(strings.NewReader("")),
		}, nil
	}
	reader, writer := io.Pipe()
	n.callers.Go(func() {
		stop := context.AfterFunc(ctx, func() { _ = writer.CloseWithError(io.ErrUnexpectedEOF) })
		defer stop()
		err := writeEvents(engine.life, writer, attempt.LastEventID)
		_ = writer.CloseWithError(err)
		n.leave(engine)
		if engine.life.Err() != nil {
			n.noticeMu.Lock()
			n.lost++
			n.noticeMu.Unlock()
		}
	})
	return &gateway.Answer{Status: http.StatusOK, Header: http.Header{}, Body: reader}, nil
}

// arrive counts a request that reaches an engine, and returns what it answers.
func (n *noticeFleet) arrive(box int, id string) (engine *noticeEngine, turnedAway bool, notice fleet.Notice) {
	n.noticeMu.Lock()
	defer n.noticeMu.Unlock()
	now := time.Now()
	engine = n.engines[id]
	if engine.gone {
		return engine, false, notice
	}
	if at, ok := engine.asked[box]; ok && now.Sub(at) > restGrace && now.Sub(at) < n.rest {
		n.late++
	}
	if at, ok := engine.told[box]; ok && now.Sub(at) > leaveTime {
		n.afterLeaving++
	}
	engine.countHerd(now, &n.longest)
	engine.sentBy = append(engine.sentBy, box)
	engine.tellLimit(box, now, &notice)
	if engine.leaving {
		notice.Leaving = true
		if _, ok := engine.told[box]; !ok {
			engine.told[box] = now
		}
	}
	full := n.engineSlots > 0 && engine.running >= n.engineSlots
	if full || now.Before(engine.turningUntil) && rand.Float64() < engine.share {
		n.turnedAway++
		engine.asked[box] = now
		notice.Rest = n.rest
		return engine, true, notice
	}
	engine.running++
	return engine, false, notice
}

// countHerd counts the requests of the latest herdSpan.
func (e *noticeEngine) countHerd(now time.Time, longest *int) {
	for len(e.arrivals) > 0 && now.Sub(e.arrivals[0]) > herdSpan {
		e.arrivals = e.arrivals[1:]
	}
	e.arrivals = append(e.arrivals, now)
	e.all = append(e.all, now)
	*longest = max(*longest, len(e.arrivals))
}

func (n *noticeFleet) leave(engine *noticeEngine) {
	n.noticeMu.Lock()
	defer n.noticeMu.Unlock()
	engine.running--
}

// some calls f with every so manieth engine, locked.
func (n *noticeFleet) some(every int, f func(*noticeEngine)) {
	n.noticeMu.Lock()
	defer n.noticeMu.Unlock()
	for k := 0; k < len(n.engines); k += every {
		f(n.engines[upstreamName(k)])
	}
}

// askForModel has callers ask at any box for a time, that many a second. Each comes again once, when it is told to.
func (n *noticeFleet) askForModel(perSecond float64, span time.Duration) {
	random := rand.New(rand.NewPCG(1, 2))
	for k := range int(span.Seconds() * perSecond) {
		first, second := n.anyBox(random), n.anyBox(random)
		n.callers.Go(func() {
			outcome, wait := n.askOnce(first, fmt.Sprint(k, " first"))
			if outcome == refused {
				time.Sleep(min(wait, 4*time.Second))
				outcome, _ = n.askOnce(second, fmt.Sprint(k, " second"))
				outcome += " at its return"
			}
			n.outcome(outcome)
		})
		time.Sleep(time.Duration(float64(time.Second) / perSecond))
	}
}

func (n *noticeFleet) askOnce(box int, id string) (outcome string, retryAfter time.Duration) {
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
