package places

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"ospreymoor.example/ospreymoor/pkg/dispatch"
	"ospreymoor.example/ospreymoor/pkg/fleet"
)

const (
	replaySlots   = 6
	replayQueue   = 24
	replayWork    = 60 * time.Millisecond
	replayAim     = 300 * time.Millisecond
	replayTimeout = 800 * time.Millisecond
	// replayWay is one way between halls, and replaySpan how long requests arrive.
	replayWay  = 1400 * time.Microsecond
	replaySpan = 10 * time.Second
	// Each upstream is slowFactor times slower in slowShare of its spans of slowSpan.
	slowFactor = 2.5
	slowShare  = 0.15
	slowSpan   = 600 * time.Millisecond
	// averageSlowness is the mean factor on the work of a request.
	averageSlowness = 1 + slowShare*(slowFactor-1)
)

// fault is what is wrong with the upstreams of a replay.
type fault string

const (
	noFault fault = "none"
	// oneSlow makes one upstream three times slower, and oneLost loses one after a third of the time.
	oneSlow fault = "slow"
	oneLost fault = "lost"
)

// setting is the load of a replay.
type setting struct {
	boxes     int
	upstreams int
	// load is the rate of requests as a share of what the upstreams can run.
	load  float64
	fault fault
	// keeperLost loses the keeper midway.
	keeperLost bool
	// cut cuts hall 1 off from the others.
	cut bool
}

// replay sends requests from boxes of three halls to upstreams, in one of the ways.
type replay struct {
	setting

	started time.Time
	random  *rand.Rand
	ups     []*replayUpstream
	states  []*fleet.State
	loads   []*dispatch.LoadTracker
	keeper  *Keeper
	budget  []float64
	running sync.WaitGroup

	mu     sync.Mutex
	result replayResult
}

// replayResult counts how requests ended.
type replayResult struct {
	all, inAim, late, refused, failed, away, messages int
	// refusedAfter is the time until requests were refused, over all of them.
	refusedAfter time.Duration
}

func (r replayResult) String() string {
	share := func(n int) float64 { return 100 * float64(n) / float64(max(1, r.all)) }
	return fmt.Sprintf("%.1f | %.1f | %.1f | %.1f | %.1f | %.1f | %v", share(r.inAim), share(r.late), share(r.refused), share(r.failed),
		share(r.away), float64(r.messages)/float64(max(1, r.all)), (r.refusedAfter / time.Duration(max(1, r.refused))).Round(time.Millisecond))
}

func upstreamID(n int) string { return fmt.Sprint("u", n) }

func (r *replay) start() {
	r.random = rand.New(rand.NewPCG(5, uint64(r.boxes)))
	r.started = time.Now()
	directory := fleet.New()
	var list []fleet.Upstream
	for n := range r.upstreams {
		u := &replayUpstream{hall: n % 3, slots: make(chan struct{}, replaySlots), random: rand.New(rand.NewPCG(7, uint64(n))), factor: 1}
		if r.fault == oneSlow && n == 0 {
			u.factor = 3
		}
		if r.fault == oneLost && n == r.upstreams-1 {
			u.lostAt = r.started.Add(replaySpan / 3)
		}
		r.ups = append(r.ups, u)
		list = append(list, fleet.Upstream{ID: upstreamID(n), Service: "s", Hall: fmt.Sprint(u.hall), Slots: replaySlots, Revision: 1})
	}
	directory.SetList(1, list, time.Time{})
	r.states = directory.OfService("s")
	for range r.boxes {
		r.loads = append(r.loads, dispatch.NewLoadTracker())
		r.budget = append(r.budget, 1)
	}
	r.keeper = &Keeper{
		Upstreams: func(string) []Upstream {
			var ups []Upstream
			for n := range r.ups {
				ups = append(ups, Upstream{ID: upstreamID(n), Hall: fmt.Sprint(n % 3), Slots: replaySlots})
			}
			return ups
		},
		Share:   r.keeperShare,
		Running: func(string) int { return 0 },
	}
}

// keeperShare returns the share of the boxes that the keeper is in touch with.
func (r *replay) keeperShare() float64 {
	if r.cut {
		return 2.0 / 3
	}
	return 1
}

// reaches reports whether a box reaches an upstream or another box.
func (r *replay) reaches(box, other int) bool { return !r.cut || (box%3 == 1) == (other%3 == 1) }

// exchange gives each box the loads of all others at an interval.
func (r *replay) exchange(stop <-chan struct{}) {
	interval := 400 * time.Millisecond
	if r.boxes < 16 {
		interval = 150 * time.Millisecond
	}
	for {
		select {
		case <-stop:
			return
		case <-time.After(interval):
		}
		all := map[string]dispatch.Load{}
		own := make([]map[string]dispatch.Load, r.boxes)
		for i, tracker := range r.loads {
			own[i] = tracker.Loads()
			for id, load := range own[i] {
				sum := all[id]
				sum.Add(load)
				all[id] = sum
			}
		}
		for i, tracker := range r.loads {
			others := map[string]dispatch.Load{}
			for id, load := range all {
				load.Subtract(own[i][id])
				others[id] = load
			}
			tracker.SetRemoteLoads(others, time.Now())
		}
	}
}

// replayRequest is one request at one box.
type replayRequest struct {
	box     int
	arrived time.Time
	urgency int
	tried   []int
}

// way sends a request and returns how it ended.
type way func(ctx context.Context, r *replay, q *replayRequest) outcome

// send sends a request once; it takes as long as the way there and back, and an unreachable upstream as long.
func (r *replay) send(ctx context.Context, q *replayRequest, n int) outcome {
	q.tried = append(q.tried, n)
	r.pass(q.box, n)
	result := r.ups[n].run(ctx)
	r.pass(q.box, n)
	if result == turnedAway {
		r.mu.Lock()
		r.result.away++
		r.mu.Unlock()
	}
	return result
}

// pass waits for the way between a box and an upstream or keeper.
func (r *replay) pass(box, other int) {
	if box%3 != other%3 {
		time.Sleep(replayWay)
	}
}

// candidates returns the upstreams that a request may go to.
func (r *replay) candidates(q *replayRequest) []*fleet.State {
	var list []*fleet.State
	for n := range r.ups {
		if !slices.Contains(q.tried, n) && !r.ups[n].lost() && r.reaches(q.box, n) {
			list = append(list, r.states[slices.IndexFunc(r.states, func(s *fleet.State) bool { return s.ID == upstreamID(n) })])
		}
	}
	return list
}

func (r *replay) choose(q *replayRequest, candidates []*fleet.State) (dispatch.Choice, int, bool) {
	chooser := dispatch.Chooser{Loads: r.loads[q.box]}
	choice, ok := chooser.Choose(dispatch.Requirements{Service: "s"}, candidates)
	if !ok {
		return choice, 0, false
	}
	for n := range r.ups {
		if upstreamID(n) == choice.Upstream.ID {
			return choice, n, true
		}
	}
	return choice, 0, false
}

// attempt sends to a chosen upstream and keeps the box's load.
func (r *replay) attempt(ctx context.Context, q *replayRequest, choice dispatch.Choice, n int) outcome {
	ticket := r.loads[q.box].Begin(choice, dispatch.Requirements{Service: "s"})
	defer ticket.End()
	result := r.send(ctx, q, n)
	if result == answered {
		ticket.Started()
	}
	return result
}

// byLoads is the present way: each box chooses by the loads that others reported; an upstream that is full turns the
// request away, and the next one is paid from the retry budget.
func byLoads(ctx context.Context, r *replay, q *replayRequest) outcome {
	r.mu.Lock()
	r.budget[q.box] = min(4, r.budget[q.box]+0.16)
	r.mu.Unlock()
	for range 4 {
		choice, n, ok := r.choose(q, r.candidates(q))
		if !ok {
			return turnedAway
		}
		result := r.attempt(ctx, q, choice, n)
		if result == answered || result == timedOut {
			return result
		}
		r.mu.Lock()
		paid := result == unreachable || r.budget[q.box] >= 1
		if paid && result != unreachable {
			r.budget[q.box]--
		}
		r.mu.Unlock()
		if !paid {
			return turnedAway
		}
	}
	return turnedAway
}

// run sends the requests and returns how they ended.
func (r *replay) run(by way) replayResult {
	r.start()
	stop := make(chan struct{})
	go r.exchange(stop)
	rate := r.load * float64(r.upstreams*replaySlots) / (replayWork.Seconds() * averageSlowness)
	for time.Since(r.started) < replaySpan {
		time.Sleep(time.Duration(r.random.ExpFloat64() / rate * float64(time.Second)))
		q := &replayRequest{box: r.random.IntN(r.boxes), arrived: time.Now(), urgency: r.random.IntN(10) / 7}
		r.running.Go(func() { r.serve(by, q) })
	}
	r.running.Wait()
	close(stop)
	return r.result
}

func (r *replay) serve(by way, q *replayRequest) {
	ctx, cancel := context.WithTimeout(context.Background(), replayTimeout)
	defer cancel()
	result := by(ctx, r, q)
	took := time.Since(q.arrived)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.all++
	switch {
	case result == answered && took <= replayAim:
		r.result.inAim++
	case result == answered:
		r.result.late++
	case result == timedOut:
		r.result.failed++
	default:
		r.result.refused++
		r.result.refusedAfter += took
	}
}
