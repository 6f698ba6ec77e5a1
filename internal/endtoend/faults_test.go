package endtoend

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	ospreymoorv1 "ospreymoor.example/ospreymoor/internal/gen/ospreymoor/v1"
)

var _ = Describe("Real processes under kills and freezes", func() {
	for _, unfenced := range []bool{false, true} {
		It(fmt.Sprintf("never overcommit memory when a controller is frozen past its lease and resumed (unfenced engines: %v)", unfenced), func() {
			f := startOneHall(engineSpec{memory: 40 * gib, unfenced: unfenced}, "12GiB", "m1", "m2")
			frozen, other := f.controllerOf("hall-1")
			frozen.signal(syscall.SIGSTOP)
			Eventually(func() bool { return other.holdsLease("leases/hall/hall-1") }, 30*time.Second).Should(BeTrue())
			roll(other, bundleText(2, "w2", "12GiB", "m1", "m2"))
			time.Sleep(2 * time.Second)
			frozen.signal(syscall.SIGCONT)
			roll(other, bundleText(3, "w3", "12GiB", "m1", "m2"))
			// The generation keeps rising, so both boxes must be at the same one at the same time.
			behind := func() float64 {
				return other.metric("ospreymoor_in_force_generation") - frozen.metric("ospreymoor_in_force_generation")
			}
			Eventually(behind, 10*time.Second).Should(BeZero())
			for _, b := range f.boxes {
				awaitModels(b, "m1", "m2")
			}
			Expect(f.overcommitted()).To(BeZero())
		})
	}

	It("return the whole answer to a retry when the box that ran the request is killed", func() {
		f := startOneHall(engineSpec{memory: 64 * gib, token: 40 * time.Millisecond}, "8GiB", "writer")
		request := &ospreymoorv1.GenerateRequest{
			Model: "writer", Prompt: "issue report 17", MaxTokens: 40,
			NotRepeatable: true, RequestKey: newKey(), FirstAttempt: true,
		}
		first := make(chan error, 1)
		go func() {
			_, err := f.boxes["b1"].complete(context.Background(), request)
			first <- err
		}()
		Eventually(func() int { return f.startsOf("issue report 17") }, 10*time.Second, 20*time.Millisecond).Should(Equal(1))
		f.boxes["b1"].signal(syscall.SIGKILL)
		Expect(<-first).To(HaveOccurred())
		retry := &ospreymoorv1.GenerateRequest{
			Model: "writer", Prompt: "issue report 17", MaxTokens: 40, NotRepeatable: true, RequestKey: request.RequestKey,
		}
		text, err := f.boxes["b2"].complete(context.Background(), retry)
		Expect(err).NotTo(HaveOccurred())
		Expect(text).To(Equal(wholeAnswer("writer", "w1", "issue report 17", 40)))
		Expect(f.startsOf("issue report 17")).To(Equal(1))
	})

	It("run keyed requests at most once while a box is frozen and resumed, and report 'not run' only if it is true", func() {
		f := startOneHall(engineSpec{memory: 64 * gib}, "8GiB", "writer")
		var found findings
		var callers sync.WaitGroup
		for caller := range 6 {
			random := rand.New(rand.NewPCG(1, uint64(caller)))
			callers.Go(func() {
				defer GinkgoRecover()
				for n := range 6 {
					sendKeyedUntilAnswered(f, random, fmt.Sprintf("r%d-%d", caller, n), &found)
				}
			})
		}
		for range 4 {
			time.Sleep(600 * time.Millisecond)
			f.boxes["b1"].signal(syscall.SIGSTOP)
			time.Sleep(1200 * time.Millisecond)
			f.boxes["b1"].signal(syscall.SIGCONT)
		}
		callers.Wait()
		time.Sleep(time.Second)
		for caller := range 6 {
			for n := range 6 {
				prompt := fmt.Sprintf("r%d-%d", caller, n)
				Expect(f.startsOf(prompt)).To(BeNumerically("<=", 1), prompt)
			}
		}
		Expect(found.all()).To(BeEmpty())
	})

	It("refuse keyed requests immediately while the platform is down, and serve all others", func() {
		f := startOneHall(engineSpec{memory: 64 * gib}, "8GiB", "writer")
		f.setPlatformMode("down")
		request := &ospreymoorv1.GenerateRequest{Model: "writer", Prompt: "x", NotRepeatable: true, RequestKey: newKey(), FirstAttempt: true}
		_, err := f.boxes["b1"].complete(context.Background(), request)
		Expect(outcomeOf(err)).To(Equal(ospreymoorv1.Outcome_OUTCOME_NOT_RUN))
		Expect(err).To(MatchError(ContainSubstring("come back with the same request key (come back in 1s)")))
		awaitModels(f.boxes["b1"], "writer")

		By("starting a box from its peers")
		f.addBox("b3", "hall-1", "--peer", f.boxes["b1"].peer+","+f.boxes["b2"].peer)
		Eventually(f.boxes["b3"].ready, 20*time.Second).Should(BeTrue())
		awaitModels(f.boxes["b3"], "writer")

		By("running the request once the platform is up again")
		f.setPlatformMode("up")
		Eventually(func() error {
			request.FirstAttempt = false
			_, err := f.boxes["b3"].complete(context.Background(), request)
			return err
		}, 20*time.Second, 200*time.Millisecond).Should(Succeed())
		Expect(f.startsOf("x")).To(Equal(1))
	})
})

// sendKeyedUntilAnswered sends one keyed request to random boxes until it is answered. It adds a finding
// for each 'not run' that arrives when the request has been started.
func sendKeyedUntilAnswered(f *fleet, random *rand.Rand, prompt string, found *findings) {
	request := &ospreymoorv1.GenerateRequest{Model: "writer", Prompt: prompt, MaxTokens: 8, NotRepeatable: true, RequestKey: newKey()}
	for try := range 10 {
		request.FirstAttempt = try == 0
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		text, err := f.boxes[fmt.Sprintf("b%d", 1+random.IntN(2))].complete(ctx, request)
		cancel()
		if err == nil {
			if text != wholeAnswer("writer", "w1", prompt, 8) {
				found.add(prompt + ": the answer is not the whole answer to this prompt: " + text)
			}
			return
		}
		if outcomeOf(err) == ospreymoorv1.Outcome_OUTCOME_NOT_RUN && f.startsOf(prompt) > 0 {
			found.add(prompt + ": reported as not run, but had been started: " + err.Error())
		}
		time.Sleep(time.Duration(100+random.IntN(300)) * time.Millisecond)
	}
	found.add(prompt + ": no answer after ten attempts")
}
