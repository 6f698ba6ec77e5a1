package box

import (
	"context"
	"fmt"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	ospreymoorv1 "ospreymoor.example/ospreymoor/internal/gen/ospreymoor/v1"
)

var _ = Describe("A planned stop", func() {
	// stopEachBox stops every box in turn under load and returns the requests that got no whole answer. The balancer
	// sees a change of a box's readiness half a second late.
	stopEachBox := func(notice time.Duration) (lost []string) {
		spec := fleetSpec{halls: 1, boxes: 3, engines: 2, memory: 64 * gib}
		spec.config = func(c *Config) { c.Drain.Notice = notice }
		withFleet(spec, func(t *testFleet) {
			t.roll(t.boxes["h1-b1"], bundleText(1, "w1", "15GiB", "m1"))
			t.awaitModels("m1")
			balancer := &balancer{fleet: t}
			ctx, cancel := context.WithCancel(context.Background())
			var running sync.WaitGroup
			running.Go(func() { balancer.follow(ctx) })
			var history eventLog[string]
			for caller := range 4 {
				running.Go(func() { callThrough(ctx, t, balancer, caller, &history) })
			}
			time.Sleep(2 * time.Second)
			for n := 1; n <= 3; n++ {
				id := fmt.Sprintf("h1-b%d", n)
				b := balancer.box(id)
				b.stop()
				<-b.stopped
				balancer.replace(spec, id)
				time.Sleep(3 * time.Second)
			}
			cancel()
			running.Wait()
			lost = history.all()
		})
		return lost
	}

	It("cuts off no request, streams and claims included", func() {
		Expect(stopEachBox(time.Second)).To(BeEmpty())
	})

	It("would lose requests without waiting for the balancer (guard off)", func() {
		Expect(stopEachBox(0)).NotTo(BeEmpty())
	})
})

// balancer gives callers a box that was ready half a second ago.
type balancer struct {
	mu    sync.Mutex
	fleet *testFleet
	ready []*testBox
	next  int
}

func (l *balancer) follow(ctx context.Context) {
	const lag = 500 * time.Millisecond
	for ctx.Err() == nil {
		l.mu.Lock()
		var ready []*testBox
		for _, b := range l.fleet.boxes {
			if b.Ready() {
				ready = append(ready, b)
			}
		}
		l.mu.Unlock()
		pause(ctx, lag)
		l.mu.Lock()
		l.ready = ready
		l.mu.Unlock()
	}
}

func (l *balancer) pick() *testBox {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.ready) == 0 {
		return nil
	}
	l.next++
	return l.ready[l.next%len(l.ready)]
}

func (l *balancer) box(id string) *testBox {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fleet.boxes[id]
}

func (l *balancer) replace(spec fleetSpec, id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fleet.stoppedBoxes = append(l.fleet.stoppedBoxes, l.fleet.boxes[id])
	l.fleet.startBox(spec, "h1", id)
}

// callThrough streams answers through the balancer and records each that is not whole.
func callThrough(ctx context.Context, t *testFleet, l *balancer, caller int, lost *eventLog[string]) {
	for n := 0; pause(ctx, 50*time.Millisecond); n++ {
		b := l.pick()
		if b == nil {
			continue
		}
		prompt := fmt.Sprintf("%d-%d", caller, n)
		request := &ospreymoorv1.GenerateRequest{Model: "m1", Prompt: prompt, MaxTokens: 100}
		if caller == 0 {
			request.NotRepeatable, request.RequestKey, request.FirstAttempt = true, newKey(), true
		}
		stream, err := b.inference(t).Generate(context.Background(), authorized(callerToken, request))
		if err != nil {
			lost.add(fmt.Sprintf("%s: %s", prompt, err))
			continue
		}
		pieces, ended := 0, false
		for stream.Receive() {
			if stream.Msg().GetEnd() != nil {
				ended = true
				continue
			}
			pieces++
		}
		if !ended || pieces != 100 || stream.Err() != nil {
			lost.add(fmt.Sprintf("%s: %d pieces, %v", prompt, pieces, stream.Err()))
		}
		_ = stream.Close()
	}
}
