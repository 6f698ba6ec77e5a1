package box

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"connectrpc.com/connect"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	enginev1 "ospreymoor.example/ospreymoor/internal/gen/ospreymoor/engine/v1"
	"ospreymoor.example/ospreymoor/internal/gen/ospreymoor/engine/v1/enginev1connect"
	ospreymoorv1 "ospreymoor.example/ospreymoor/internal/gen/ospreymoor/v1"
	"ospreymoor.example/ospreymoor/internal/standin"
	"ospreymoor.example/ospreymoor/pkg/claims"
	"ospreymoor.example/ospreymoor/pkg/kv"
	"ospreymoor.example/ospreymoor/pkg/membership"
)

// requestSpec describes a fleet whose engines mangle answers.
func requestSpec(seed uint64) fleetSpec {
	return fleetSpec{
		halls: 2, boxes: 2, engines: 2, memory: 64 * gib,
		engine: func(id string, c *standin.EngineConfig, _ *membership.Box) {
			c.Mangle = mangler(seed*100 + uint64(id[1])*10 + uint64(id[4]))
		},
	}
}

// callThroughFaults has callers send requests, and repeat them after failures, while boxes are killed, connections
// break, halls are partitioned and the platform is down. It returns the violations, the answers and all attempts.
func callThroughFaults(seed uint64, prepare func(*testFleet)) (found []string, done, total int) {
	spec := requestSpec(seed)
	withFleet(spec, func(t *testFleet) {
		t.roll(t.boxes["h1-b1"], bundleText(1, "a", "10GiB", "writer"))
		t.awaitModels("writer")
		prepare(t)
		var history eventLog[attempt]
		boxes := newBoxPicker(t, seed)
		ctx, cancel := context.WithCancel(context.Background())
		var callers, faults sync.WaitGroup
		for caller := range 6 {
			random := rand.New(rand.NewPCG(seed, 100+uint64(caller)))
			callers.Go(func() {
				for n := range 8 {
					callUntilAnswered(t, boxes, random, fmt.Sprintf("c%d-%d", caller, n), &history)
				}
			})
		}
		faults.Go(func() { injectRandomFaults(ctx, t, spec, boxes, seed) })
		callers.Wait()
		cancel()
		faults.Wait()
		t.platform.SetMode(standin.FaultNone)
		time.Sleep(20 * time.Second)
		found = violations(t, history.all())
		for _, a := range history.all() {
			total++
			if !a.failed {
				done++
			}
		}
	})
	return found, done, total
}

// readUnchecked reads an answer from an engine like a client that checks nothing.
func (t *testFleet) readUnchecked(engine, prompt string) string {
	client := enginev1connect.NewEngineServiceClient(t.client, "http://"+engine+":1")
	request := &enginev1.GenerateRequest{RequestId: prompt, Model: "acme/writer@a", Prompt: prompt, MaxTokens: answerPieces}
	stream, err := client.Generate(context.Background(), connect.NewRequest(request))
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = stream.Close() }()
	var text strings.Builder
	for stream.Receive() {
		text.WriteString(stream.Msg().GetText())
	}
	return text.String()
}

var _ = Describe("Requests under faults", func() {
	const seeds = 6

	It("run at most once if they may not be repeated, get whole answers of their own, and 'not run' is true", func() {
		for seed := range uint64(seeds) {
			found, done, total := callThroughFaults(seed, func(*testFleet) {})
			Expect(found).To(BeEmpty(), "seed %d", seed)
			Expect(done).To(BeNumerically(">", 20), "seed %d: of %d attempts", seed, total)
			GinkgoWriter.Printf("seed %d: %d attempts, %d answers\n", seed, total, done)
		}
	})

	It("would run twice if each box claimed for itself (guard off)", func() {
		broken := 0
		for seed := range uint64(seeds) {
			found, _, _ := callThroughFaults(seed, func(t *testFleet) {
				for _, b := range t.boxes {
					b.claimed.claims = claims.New(claims.Config{Store: kv.NewMemory().Store()})
				}
			})
			broken += len(found)
		}
		Expect(broken).To(BeNumerically(">", 0))
	})

	It("would get answers that are not whole or not their own without the checks (guard off)", func() {
		withFleet(requestSpec(1), func(t *testFleet) {
			t.roll(t.boxes["h1-b1"], bundleText(1, "a", "10GiB", "writer"))
			t.awaitModels("writer")
			wrong := 0
			for n := range 60 {
				prompt := fmt.Sprintf("unchecked %d", n)
				if t.readUnchecked("h1-e1", prompt) != wholeAnswer(prompt) {
					wrong++
				}
			}
			Expect(wrong).To(BeNumerically(">", 0))
		})
	})

	It("would be reported as not run wrongly if a retry claimed to be a first attempt (guard off)", func() {
		withFleet(fleetSpec{halls: 1, boxes: 2, engines: 2, memory: 64 * gib}, func(t *testFleet) {
			t.roll(t.boxes["h1-b1"], bundleText(1, "a", "10GiB", "writer"))
			t.awaitModels("writer")
			request := &ospreymoorv1.GenerateRequest{Model: "writer", Prompt: "x", NotRepeatable: true, RequestKey: newKey()}
			_, err := t.complete(context.Background(), t.boxes["h1-b1"], request)
			Expect(err).NotTo(HaveOccurred())
			t.platform.SetMode(standin.FaultDown)
			defer t.platform.SetMode(standin.FaultNone)
			_, err = t.complete(context.Background(), t.boxes["h1-b2"], request)
			Expect(outcomeOf(err)).To(Equal(ospreymoorv1.Outcome_OUTCOME_UNKNOWN))
			request.FirstAttempt = true
			_, err = t.complete(context.Background(), t.boxes["h1-b2"], request)
			Expect(outcomeOf(err)).To(Equal(ospreymoorv1.Outcome_OUTCOME_NOT_RUN))
		})
	})
})
