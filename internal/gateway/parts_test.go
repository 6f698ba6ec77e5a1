package gateway

import (
	"context"
	"net/http"
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"ospreymoor.example/ospreymoor/pkg/dispatch"
	"ospreymoor.example/ospreymoor/pkg/quarantine"
	"ospreymoor.example/ospreymoor/pkg/spectest"
)

// promptRequest returns a request for a stream whose prompt has the given parts.
func promptRequest(id string, parts ...string) *Request {
	request := streamRequest(id)
	request.Body = []byte(id)
	for _, part := range parts {
		request.Prompt = append(request.Prompt, dispatch.PromptPart{ID: part, Tokens: 50})
	}
	return request
}

var _ = Describe("a request under which upstreams crash, or crashed under a part of its prompt,", func() {
	It("is logged with the shared parts of its prompt, and with how long events had been written", func() {
		spectest.Bubble(func() {
			behaves := crashes
			f := newFixture(func(string, int) behavior { return behaves }, 1)
			core, lines := observer.New(zap.InfoLevel)
			f.Log = zap.New(core)
			f.serve(context.Background(), promptRequest("r1", "p1", "p2", "own"))
			behaves = brokenBody
			f.upstreams.crashed = map[string]bool{"e0": true, "e1": true, "e2": true, "e3": true}
			f.serve(context.Background(), promptRequest("r2", "p1", "p3", "own"))
			attempts := lines.FilterMessage("attempt failed").All()
			Expect(len(attempts)).To(BeNumerically(">=", 3))
			unwritten, written := attempts[0].ContextMap(), attempts[2].ContextMap()
			Expect(unwritten["parts"]).To(Equal([]any{"p1", "p2"}))
			Expect(unwritten).NotTo(HaveKey("writing"))
			Expect(written["parts"]).To(Equal([]any{"p1", "p3"}))
			Expect(written).To(HaveKey("writing"))
		})
	})

	It("with a part of the prompt that is held is refused at once with a Retry-After, and reaches no upstream", func() {
		spectest.Bubble(func() {
			f := newFixture(func(string, int) behavior { return crashes }, 1)
			core, lines := observer.New(zap.InfoLevel)
			f.Log = zap.New(core)
			f.holdPart("p2")
			begun := time.Now()
			got := f.serve(context.Background(), promptRequest("r1", "p1", "p2", "own"))
			Expect(time.Since(begun)).To(BeZero())
			Expect(got.Code).To(Equal(http.StatusServiceUnavailable))
			retryAfter, err := strconv.ParseFloat(got.Header().Get("Retry-After"), 64)
			Expect(err).NotTo(HaveOccurred())
			Expect(retryAfter).To(BeNumerically(">=", 2.7))
			Expect(f.upstreams.sends["r1"]).To(BeZero())
			ended := lines.FilterMessage("request ended").All()[0].ContextMap()
			Expect(ended["reason"]).To(Equal(string(reasonCrashPart)))
			Expect(ended["crashPart"]).To(And(HaveKeyWithValue("id", "p2"), HaveKeyWithValue("crashes", 3), HaveKeyWithValue("held", true)))
			By("while requests are served that have it as their own last part, or do not have it")
			f.upstreams.choose = func(string, int) behavior { return succeeds }
			Expect(f.serve(context.Background(), promptRequest("r2", "p1", "p2")).Code).To(Equal(http.StatusOK))
			Expect(f.serve(context.Background(), promptRequest("r3", "p1", "p3", "own")).Code).To(Equal(http.StatusOK))
		})
	})

	It("is served again a few seconds later if the part is sound, one at a time until an answer shows it", func() {
		spectest.Bubble(func() {
			f := newFixture(func(string, int) behavior { return hangs }, 1)
			f.holdPart("p2")
			time.Sleep(4 * time.Second)
			trying := make(chan struct{})
			go func() {
				defer close(trying)
				f.serve(context.Background(), promptRequest("r1", "p1", "p2", "own"))
			}()
			time.Sleep(100 * time.Millisecond)
			f.upstreams.mu.Lock()
			Expect(f.upstreams.sends["r1"]).To(Equal(1))
			f.upstreams.mu.Unlock()
			Expect(f.serve(context.Background(), promptRequest("r2", "p1", "p2", "own")).Code).To(Equal(http.StatusServiceUnavailable))
			<-trying
			f.upstreams.choose = func(string, int) behavior { return succeeds }
			Expect(f.serve(context.Background(), promptRequest("r3", "p1", "p2", "own")).Code).To(Equal(http.StatusOK))
			Expect(f.serve(context.Background(), promptRequest("r4", "p1", "p2", "own")).Code).To(Equal(http.StatusOK))
		})
	})

	It("does not count against the parts of a prompt whose answer had been written for longer than upstreams take to crash", func() {
		spectest.Bubble(func() {
			f := newFixture(func(string, int) behavior { return succeeds }, 1)
			r := &inflight{gateway: f.Gateway, request: promptRequest("r", "p1", "own"), writingSince: time.Now()}
			r.recordPartCrash("e0", time.Now().Add(soundAfter))
			Expect(f.CrashParts.Empty()).To(BeTrue())
			r.recordPartCrash("e0", time.Now().Add(soundAfter/2))
			Expect(f.CrashParts.Empty()).To(BeFalse())
		})
	})
})

// holdPart has three upstreams crash under a part of prompts.
func (f *fixture) holdPart(id string) {
	for _, upstream := range []string{"e7", "e8", "e9"} {
		f.CrashParts.NoteCrash(upstream, time.Now(), []quarantine.Fingerprint{quarantine.PartFingerprint(id)})
		time.Sleep(100 * time.Millisecond)
	}
}
