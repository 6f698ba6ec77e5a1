package box

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
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

// attempt is one answer to a caller.
type attempt struct {
	prompt     string
	repeatable bool
	text       string
	outcome    ospreymoorv1.Outcome
	failed     bool
	// startsThen is how often the prompt had been started when the answer came.
	startsThen int
	// alone is set if no other attempt of the request was under way.
	alone bool
	// begun and ended are when the attempt was sent and answered, and why it failed.
	begun, ended time.Time
	why          string
	box          string
}

// String describes an attempt in one line.
func (a attempt) String() string {
	return fmt.Sprintf("%s..%s at %s, alone %v, started %d times then: %s", a.begun.Format("05.000"), a.ended.Format("05.000"), a.box, a.alone, a.startsThen, a.why)
}

// violations checks a history against what the engines noted in the end.
func violations(t *testFleet, history []attempt) []string {
	var found []string
	allNotRun := map[string]bool{}
	for _, a := range history {
		notRun := a.outcome == ospreymoorv1.Outcome_OUTCOME_NOT_RUN
		if old, seen := allNotRun[a.prompt]; !seen || old {
			allNotRun[a.prompt] = notRun
		}
		starts := t.startsOf(a.prompt)
		switch {
		case !a.failed && a.text != wholeAnswer(a.prompt):
			found = append(found, fmt.Sprintf("%s: answer %q is not whole or not its own", a.prompt, a.text))
		case !a.repeatable && starts > 1:
			found = append(found, fmt.Sprintf("%s: may not be repeated, started %d times", a.prompt, starts))
		case notRun && a.alone && a.startsThen > 0:
			found = append(found, fmt.Sprintf("%s: told not run, had been started", a.prompt))
		}
	}
	for _, a := range history {
		if slices.ContainsFunc(found, func(f string) bool { return strings.HasPrefix(f, a.prompt+":") }) {
			found = append(found, a.prompt+" story: "+a.String())
		}
	}
	for prompt, notRun := range allNotRun {
		if notRun && t.startsOf(prompt) > 0 {
			found = append(found, fmt.Sprintf("%s: told not run only, was started", prompt))
		}
	}
	return found
}

const answerPieces = 12

func wholeAnswer(prompt string) string {
	return strings.Join(standin.Answer("acme/writer@a", "", prompt, answerPieces), "")
}

// mangler crosses, drops, doubles and swaps messages of answers.
func mangler(seed uint64) func(*enginev1.GenerateResponse) []*enginev1.GenerateResponse {
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(seed, 4))
	var held *enginev1.GenerateResponse
	return func(m *enginev1.GenerateResponse) []*enginev1.GenerateResponse {
		mu.Lock()
		defer mu.Unlock()
		switch random.IntN(60) {
		case 0: // Dropped.
			return nil
		case 1: // Doubled.
			return []*enginev1.GenerateResponse{m, m}
		case 2: // Held back; whoever comes next gets it too.
			held = m
			return nil
		case 3: // The end comes early.
			return []*enginev1.GenerateResponse{{RequestId: m.GetRequestId(), Index: m.GetIndex() + 1, Last: true}}
		}
		if held != nil {
			late := held
			held = nil
			return []*enginev1.GenerateResponse{late, m}
		}
		return []*enginev1.GenerateResponse{m}
	}
}

// requestSpec is a fleet whose engines mangle answers.
func requestSpec(seed uint64) fleetSpec {
	return fleetSpec{
		halls: 2, boxes: 2, engines: 2, memory: 64 * gib,
		engine: func(id string, c *standin.EngineConfig, _ *membership.Box) {
			c.Mangle = mangler(seed*100 + uint64(id[1])*10 + uint64(id[4]))
		},
	}
}

// callThroughFaults has callers send requests, and again after failures, while boxes are killed,
// connections break, halls are cut off and the platform goes away. It returns what was violated.
func callThroughFaults(seed uint64, prepare func(*testFleet)) (found []string, done, total int) {
	spec := requestSpec(seed)
	withFleet(spec, func(t *testFleet) {
		t.roll(t.boxes["h1-b1"], bundleText(1, "a", "10GiB", "writer"))
		t.awaitModels("writer")
		prepare(t)
		var history histories[attempt]
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
		faults.Go(func() { breakThings(ctx, t, spec, boxes, seed) })
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

// boxPicker hands out a random box while boxes come and go.
type boxPicker struct {
	mu     sync.Mutex
	fleet  *testFleet
	random *rand.Rand
}

func newBoxPicker(t *testFleet, seed uint64) *boxPicker {
	return &boxPicker{fleet: t, random: rand.New(rand.NewPCG(seed, 5))}
}

func (p *boxPicker) pick() (string, *testBox) {
	p.mu.Lock()
	defer p.mu.Unlock()
	id := fmt.Sprintf("h%d-b%d", 1+p.random.IntN(2), 1+p.random.IntN(2))
	return id, p.fleet.boxes[id]
}

// replace kills a box and starts another in its place.
func (p *boxPicker) replace(spec fleetSpec) {
	id, b := p.pick()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fleet.kill(id)
	p.fleet.startBox(spec, b.config.Hall, id)
}

// callUntilAnswered sends one request until it has an answer, as a careful caller does.
func callUntilAnswered(t *testFleet, boxes *boxPicker, random *rand.Rand, prompt string, history *histories[attempt]) {
	request := &ospreymoorv1.GenerateRequest{Model: "writer", Prompt: prompt, MaxTokens: answerPieces}
	once := random.IntN(3) > 0
	if once {
		request.NotRepeatable, request.RequestKey = true, newKey()
	}
	for try := range 8 {
		request.FirstAttempt = try == 0
		if once && random.IntN(4) == 0 {
			callTwice(t, boxes, request, history)
			request.FirstAttempt = false
		}
		if tryCall(t, boxes, request, true, history) {
			return
		}
		if !once {
			request.Prompt = fmt.Sprintf("%s.%d", prompt, try+1) // Each attempt stands for itself.
		}
		time.Sleep(time.Duration(random.IntN(2000)) * time.Millisecond)
	}
}

// callTwice sends the same request to two boxes at once.
func callTwice(t *testFleet, boxes *boxPicker, request *ospreymoorv1.GenerateRequest, history *histories[attempt]) {
	request.FirstAttempt = false
	var both sync.WaitGroup
	for range 2 {
		both.Go(func() { tryCall(t, boxes, request, false, history) })
	}
	both.Wait()
}

func tryCall(t *testFleet, boxes *boxPicker, request *ospreymoorv1.GenerateRequest, alone bool, history *histories[attempt]) bool {
	ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
	defer cancel()
	id, b := boxes.pick()
	begun := time.Now()
	text, err := t.complete(ctx, b, request)
	history.add(attempt{
		begun: begun, ended: time.Now(), why: fmt.Sprint(err), box: id,
		prompt: request.GetPrompt(), repeatable: !request.GetNotRepeatable(), text: text,
		failed: err != nil, outcome: outcomeOf(err), startsThen: t.startsOf(request.GetPrompt()), alone: alone,
	})
	return err == nil
}

// breakThings does one thing after another to the fleet until ctx ends.
func breakThings(ctx context.Context, t *testFleet, spec fleetSpec, boxes *boxPicker, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 6))
	for pause(ctx, time.Duration(200+random.IntN(1500))*time.Millisecond) {
		engine := fmt.Sprintf("h%d-e%d", 1+random.IntN(2), 1+random.IntN(2))
		switch random.IntN(7) {
		case 0:
			boxes.replace(spec)
		case 1:
			t.net.reset(engine)
		case 2:
			t.engines[engine].Restart()
			t.net.reset(engine)
		case 3:
			t.platform.SetMode(standin.FaultDown)
			pause(ctx, time.Duration(random.IntN(4000))*time.Millisecond)
			t.platform.SetMode(standin.FaultNone)
		case 4:
			t.platform.SetMode(standin.FaultLostAnswer)
			pause(ctx, time.Duration(random.IntN(500))*time.Millisecond)
			t.platform.SetMode(standin.FaultNone)
		case 5:
			inside, outside := t.hosts("h2")
			t.net.setCut(true, inside, outside)
			pause(ctx, time.Duration(random.IntN(4000))*time.Millisecond)
			t.net.setCut(false, inside, outside)
		case 6:
			_, b := boxes.pick()
			t.net.reset(b.host)
		}
	}
}

// unchecked reads an answer from an engine as a client does that checks nothing.
func (t *testFleet) unchecked(engine, prompt string) string {
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
				if t.unchecked("h1-e1", prompt) != wholeAnswer(prompt) {
					wrong++
				}
			}
			Expect(wrong).To(BeNumerically(">", 0))
		})
	})

	It("would be told not run falsely if a retry passed for a first attempt (guard off)", func() {
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
