package box

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	enginev1 "ospreymoor.example/ospreymoor/internal/gen/ospreymoor/engine/v1"
	ospreymoorv1 "ospreymoor.example/ospreymoor/internal/gen/ospreymoor/v1"
	"ospreymoor.example/ospreymoor/internal/standin"
	"ospreymoor.example/ospreymoor/pkg/membership"
)

var _ = Describe("A stream whose connection breaks", func() {
	It("is resumed from every offset to the whole answer, within one run", func() {
		var cutAt atomic.Int64
		var cut func(engine string)
		spec := fleetSpec{halls: 1, boxes: 1, engines: 2, memory: 64 * gib}
		spec.engine = func(id string, c *standin.EngineConfig, _ *membership.Box) {
			c.Mangle = func(m *enginev1.GenerateResponse) []*enginev1.GenerateResponse {
				if cutAt.CompareAndSwap(int64(m.GetIndex()), -1) {
					cut(id)
				}
				return []*enginev1.GenerateResponse{m}
			}
		}
		withFleet(spec, func(t *testFleet) {
			cut = t.net.reset
			cutAt.Store(-1)
			t.roll(t.boxes["h1-b1"], bundleText(1, "a", "10GiB", "writer"))
			t.awaitModels("writer")
			time.Sleep(10 * time.Second)
			for offset := range answerPieces + 1 {
				for _, once := range []bool{false, true} {
					prompt := fmt.Sprintf("cut at %d, once %v", offset, once)
					request := &ospreymoorv1.GenerateRequest{Model: "writer", Prompt: prompt, MaxTokens: answerPieces}
					if once {
						request.NotRepeatable, request.RequestKey = true, newKey()
					}
					cutAt.Store(int64(offset))
					text, err := t.complete(context.Background(), t.boxes["h1-b1"], request)
					Expect(err).NotTo(HaveOccurred(), prompt)
					Expect(text).To(Equal(wholeAnswer(prompt)))
					Expect(t.startsOf(prompt)).To(Equal(1), prompt)
				}
			}
		})
	})
})

// post sends a call with a request key to the plain service through a box.
func (t *testFleet) post(b *testBox, key, body string, first bool) (status int, answer string, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+b.address+"/services/portal/reports", strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	request.Header.Set("Authorization", "Bearer "+callerToken)
	request.Header.Set("Request-Key", key)
	request.Header.Set("Request-First-Attempt", fmt.Sprint(first))
	response, err := t.client.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	return response.StatusCode, string(text), err
}

// runsOf counts how often a body was posted to any of the plain services.
func (t *testFleet) runsOf(body string) int {
	n := 0
	for _, s := range t.services {
		n += s.Runs()[body]
	}
	return n
}

var _ = Describe("Calls of plain services that may not be repeated", func() {
	// issue has callers post reports while faults are injected. It returns the violations and the number of answers.
	issue := func(seed uint64) (found []string, done int) {
		spec := fleetSpec{halls: 2, boxes: 2, engines: 1, memory: 64 * gib}
		withFleet(spec, func(t *testFleet) {
			t.roll(t.boxes["h1-b1"], bundleText(1, "a", "1GiB", "writer"))
			t.awaitModels("writer")
			boxes := newBoxPicker(t, seed)
			var violated eventLog[string]
			var answered atomic.Int64
			ctx, cancel := context.WithCancel(context.Background())
			var callers, faults sync.WaitGroup
			for caller := range 5 {
				random := rand.New(rand.NewPCG(seed, 400+uint64(caller)))
				callers.Go(func() {
					for n := range 8 {
						body, key := fmt.Sprintf("report %d-%d", caller, n), newKey()
						for try := range 5 {
							_, b := boxes.pick()
							status, answer, err := t.post(b, key, body, try == 0)
							if err == nil && status == http.StatusCreated {
								answered.Add(1)
								break
							}
							if strings.Contains(answer, `"outcome":"not run"`) && t.runsOf(body) > 0 {
								violated.add(body + ": reported as not run, but had run: " + answer)
							}
							time.Sleep(time.Duration(random.IntN(1500)) * time.Millisecond)
						}
					}
				})
			}
			faults.Go(func() {
				random := rand.New(rand.NewPCG(seed, 8))
				for pause(ctx, time.Duration(100+random.IntN(600))*time.Millisecond) {
					switch random.IntN(4) {
					case 0, 1:
						t.net.reset(fmt.Sprintf("h%d-portal", 1+random.IntN(2)))
					case 2:
						boxes.replace(spec)
					case 3:
						t.platform.SetMode(standin.FaultLostAnswer)
						pause(ctx, 200*time.Millisecond)
						t.platform.SetMode(standin.FaultNone)
					}
				}
			})
			callers.Wait()
			cancel()
			faults.Wait()
			for caller := range 5 {
				for n := range 8 {
					if body := fmt.Sprintf("report %d-%d", caller, n); t.runsOf(body) > 1 {
						violated.add(fmt.Sprintf("%s: ran %d times", body, t.runsOf(body)))
					}
				}
			}
			found, done = violated.all(), int(answered.Load())
		})
		return found, done
	}

	It("run at most once, and 'not run' is true", func() {
		for seed := range uint64(4) {
			found, done := issue(seed)
			Expect(found).To(BeEmpty(), "seed %d", seed)
			Expect(done).To(BeNumerically(">", 15), "seed %d", seed)
		}
	})
})

var _ = Describe("An engine that is cut off just after it has started a keyed request", func() {
	It("is the only one to run it", func() {
		var cutNow atomic.Bool
		var cut func(engine string)
		spec := fleetSpec{halls: 1, boxes: 2, engines: 2, memory: 64 * gib}
		spec.engine = func(id string, c *standin.EngineConfig, _ *membership.Box) {
			c.Mangle = func(m *enginev1.GenerateResponse) []*enginev1.GenerateResponse {
				if cutNow.CompareAndSwap(true, false) {
					cut(id)
					return nil
				}
				return []*enginev1.GenerateResponse{m}
			}
		}
		withFleet(spec, func(t *testFleet) {
			hosts := []string{t.boxes["h1-b1"].host, t.boxes["h1-b2"].host}
			cut = func(engine string) {
				t.net.setPartition(true, hosts, []string{engine})
				t.net.reset(engine)
				time.AfterFunc(12*time.Second, func() { t.net.setPartition(false, hosts, []string{engine}) })
			}
			t.roll(t.boxes["h1-b1"], bundleText(1, "a", "10GiB", "writer"))
			t.awaitModels("writer")
			time.Sleep(10 * time.Second)
			for n := range 4 {
				prompt := fmt.Sprintf("cut off %d", n)
				request := &ospreymoorv1.GenerateRequest{
					Model: "writer", Prompt: prompt, MaxTokens: answerPieces, NotRepeatable: true, RequestKey: newKey(),
				}
				cutNow.Store(true)
				t.until(time.Minute, func() error {
					text, err := t.complete(context.Background(), t.boxes[fmt.Sprintf("h1-b%d", 1+n%2)], request)
					if err == nil {
						Expect(text).To(Equal(wholeAnswer(prompt)))
					} else {
						Expect(outcomeOf(err)).To(Equal(ospreymoorv1.Outcome_OUTCOME_UNKNOWN))
					}
					return err
				})
				Expect(t.startsOf(prompt)).To(Equal(1), prompt)
			}
		})
	})
})
