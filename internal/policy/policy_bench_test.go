package policy

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// BenchmarkPolicy runs each user's demand through our decisions and two baselines.
//
//	go test -run '^$' -bench Policy -benchtime 1x ./internal/policy
func BenchmarkPolicy(b *testing.B) {
	for _, u := range users {
		for seed := range uint64(3) {
			for _, policy := range []string{"ours", "ours-other-move-cost", "on-demand", "static"} {
				name := fmt.Sprintf("%s/seed=%d/%s", u.name, seed, policy)
				b.Run(name, func(b *testing.B) { report(b, u, runPolicy(u, seed, policy)) })
			}
		}
	}
}

// outcome is a result with the bound that no policy passes.
type outcome struct {
	result
	bound float64
}

func report(b *testing.B, u user, o outcome) {
	hours := (runTime - warmTime - time.Minute).Hours() * float64(u.engines)
	b.ReportMetric(float64(o.served)/hours, "attained/engine-h")
	b.ReportMetric(100*float64(o.served)/float64(o.arrived), "attained%")
	b.ReportMetric(100*float64(o.served)/min(o.bound, float64(o.arrived)), "of-bound%")
	b.ReportMetric(float64(o.moves), "moves")
	b.ReportMetric(float64(o.firstToken.ValueAtQuantile(95)), "first-token-p95-ms")
	b.ReportMetric(100*float64(o.refused)/float64(o.arrived), "refused%")
	if o.cameBack > 0 {
		b.ReportMetric(100*float64(o.cameBackServed)/float64(o.cameBack), "come-back-true%")
	}
}

// runPolicy simulates one run in a bubble. A benchmark has no testing.T, which a bubble
// needs, so the run is a test of its own.
func runPolicy(u user, seed uint64, policy string) outcome {
	var o outcome
	run := func(t *testing.T) {
		synctest.Test(t, func(*testing.T) { o = simulate(u, seed, policy) })
	}
	testing.RunTests(func(string, string) (bool, error) { return true, nil }, []testing.InternalTest{{Name: "policy", F: run}})
	return o
}

func simulate(u user, seed uint64, policy string) outcome {
	w := newWorld(u, seed)
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	var take func(*request)
	switch policy {
	case "ours":
		take = startOurs(ctx, w, u.moveCost, &running).take
	case "ours-other-move-cost":
		take = startOurs(ctx, w, otherMoveCost(u), &running).take
	case "on-demand":
		take = (&onDemand{world: w}).take
	case "static":
		take = startStatic(w).take
	}
	// One engine is lost on the way.
	time.AfterFunc(runTime/2, w.engines[seed%3].kill)
	w.arrive(seed, take)
	cancel()
	running.Wait()
	time.Sleep(time.Minute)
	return outcome{result: w.result, bound: w.bound()}
}

// otherMoveCost is what the other user has chosen.
func otherMoveCost(u user) float64 {
	for _, other := range users {
		if other.name != u.name {
			return other.moveCost
		}
	}
	return u.moveCost
}
