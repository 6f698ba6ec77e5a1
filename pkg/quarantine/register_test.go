package quarantine_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreymoor.example/ospreymoor/pkg/quarantine"
	"ospreymoor.example/ospreymoor/pkg/spectest"
)

// fingerprintOf returns the fingerprint of a request to a URI.
func fingerprintOf(uri string) quarantine.Fingerprint {
	content := quarantine.Content{URI: uri}
	return content.Fingerprint()
}

var _ = Describe("a register", func() {
	request := fingerprintOf("r")
	var r *quarantine.Register
	// inBubble returns a function that runs f in a bubble, after it has set r to a new register.
	inBubble := func(f func()) func() {
		return func() {
			spectest.Bubble(func() {
				r = quarantine.NewRegister(quarantine.DefaultPolicy)
				time.Sleep(time.Hour) // Otherwise crashes of some age would lie before the bubble's start.
				f()
			})
		}
	}
	crash := func(upstream string) { r.NoteCrash(request, upstream, time.Now()) }
	// crashInTurn has upstreams crash one after the other, too far apart to have a common cause.
	crashInTurn := func(upstreams ...string) {
		for _, upstream := range upstreams {
			crash(upstream)
			time.Sleep(100 * time.Millisecond)
		}
	}
	heldFor := func() time.Duration { return r.Verdict(request).RetryAfter }

	It("holds a request for longer with each upstream that crashes under it", inBubble(func() {
		var spans []time.Duration
		for n := range 5 {
			crash(fmt.Sprint("e", n))
			spans = append(spans, heldFor())
			time.Sleep(max(heldFor(), 100*time.Millisecond))
			Expect(r.Verdict(request).Held).To(BeFalse())
		}
		Expect(spans).To(Equal([]time.Duration{0, 30 * time.Second, 10 * time.Minute, 20 * time.Minute, 40 * time.Minute}))
	}))

	It("counts a crash only once when several requests or boxes report it, and a later crash of the same upstream again", inBubble(func() {
		crash("e1")
		time.Sleep(3 * time.Millisecond)
		crash("e1")
		r.Merge(quarantine.Update{Crashes: []quarantine.CrashReport{{
			Upstream: "e1", Age: 400 * time.Millisecond, Requests: []quarantine.Fingerprint{request},
		}}})
		Expect(r.Verdict(request).Crashes).To(Equal(1))
		time.Sleep(2 * time.Second)
		crash("e1")
		Expect(r.Verdict(request).Crashes).To(Equal(2))
	}))

	It("counts several upstreams that crash together as one crash", inBubble(func() {
		for n := range 5 {
			crash(fmt.Sprint("e", n))
			time.Sleep(5 * time.Millisecond)
		}
		Expect(r.Verdict(request).Crashes).To(Equal(1))
		time.Sleep(60 * time.Millisecond)
		crash("e9")
		Expect(r.Verdict(request).Crashes).To(Equal(2))
	}))

	It("clears the crashes of a request that is answered, and ignores late reports of earlier ones", inBubble(func() {
		crash("e1")
		time.Sleep(time.Second)
		crash("e2")
		time.Sleep(time.Second)
		r.NoteAnswered(request)
		Expect(r.Verdict(request)).To(Equal(quarantine.Verdict{}))
		late := quarantine.Update{Crashes: []quarantine.CrashReport{{
			Upstream: "e3", Age: 5 * time.Second, Requests: []quarantine.Fingerprint{request},
		}}}
		Expect(r.Merge(late)).To(BeEmpty())
		Expect(r.Verdict(request).Crashes).To(BeZero())
	}))

	It("drops the record of a request some time after its last crash", inBubble(func() {
		crash("e1")
		time.Sleep(20 * time.Minute)
		crash("e2")
		Expect(r.Verdict(request).Crashes).To(Equal(2))
		time.Sleep(40 * time.Minute)
		Expect(r.Empty()).To(BeTrue())
		By("so that a much later crash counts as the first one")
		crash("e3")
		time.Sleep(40 * time.Minute)
		crash("e4")
		Expect(r.Verdict(request).Crashes).To(Equal(1))
		time.Sleep(40 * time.Minute)
		Expect(r.Counts()).To(Equal(quarantine.Counts{}))
	}))

	It("reports what is known of a request, since when and from which source", inBubble(func() {
		crash("e1")
		r.Merge(quarantine.Update{Crashes: []quarantine.CrashReport{{
			Upstream: "e2", Age: -time.Second, Requests: []quarantine.Fingerprint{request},
		}}})
		time.Sleep(time.Second)
		r.Merge(quarantine.Update{Crashes: []quarantine.CrashReport{{
			Upstream: "e2", Age: 200 * time.Millisecond, Requests: []quarantine.Fingerprint{request},
		}}})
		time.Sleep(time.Second)
		Expect(r.Verdict(request)).To(Equal(quarantine.Verdict{
			Held: true, RetryAfter: 28800 * time.Millisecond, Crashes: 2, Upstreams: []string{"e1", "e2"},
			Age: 1200 * time.Millisecond, KnownFor: time.Second, Source: quarantine.FromPeer,
		}))
	}))

	It("holds after a restart the requests that the store has, and neither writes nor reports them again", inBubble(func() {
		r.Restore(request, quarantine.Stored{Crashes: 3})
		Expect(heldFor()).To(Equal(10 * time.Minute))
		Expect(r.Held()).To(BeEmpty())
		Expect(r.Update(r.All())).To(Equal(quarantine.Update{}))
		time.Sleep(time.Minute)
		r.Restore(request, quarantine.Stored{Crashes: 3})
		Expect(heldFor()).To(Equal(9 * time.Minute))
		time.Sleep(9 * time.Minute)
		crash("e1")
		Expect(heldFor()).To(Equal(10 * time.Minute))
	}))

	It("lists the requests that are held, for the store", inBubble(func() {
		crashInTurn("e1")
		Expect(r.Held()).To(BeEmpty())
		crash("e2")
		Expect(r.Held()).To(HaveLen(1))
		time.Sleep(time.Minute)
		Expect(r.Held()).To(BeEmpty())
		crash("e3")
		Expect(r.Held()).To(Equal([]quarantine.HeldRequest{{
			Request: request, Stored: quarantine.Stored{Crashes: 3}, Remaining: 10 * time.Minute, SeenHere: true,
		}}))
	}))

	It("calls OnHeld with each request that is held, and for how long", inBubble(func() {
		calls := map[quarantine.Fingerprint][]time.Duration{}
		r.OnHeld = func(f quarantine.Fingerprint, v quarantine.Verdict) { calls[f] = append(calls[f], v.RetryAfter) }
		for n := range 4 {
			crash(fmt.Sprint("e", n))
			crashInTurn(fmt.Sprint("e", n))
		}
		r.Restore(fingerprintOf("another"), quarantine.Stored{Crashes: 3})
		Expect(calls).To(Equal(map[quarantine.Fingerprint][]time.Duration{
			request: {30 * time.Second, 10 * time.Minute, 20 * time.Minute}, fingerprintOf("another"): {10 * time.Minute},
		}))
	}))

	It("keeps the requests with the most crashes when there are too many records", inBubble(func() {
		crashInTurn("e0", "e1", "e2")
		for n := range 10_000 {
			time.Sleep(time.Millisecond)
			r.NoteCrash(fingerprintOf(fmt.Sprint(n)), "e9", time.Now())
		}
		Expect(len(r.All())).To(BeNumerically("<=", 4096))
		Expect(r.Verdict(request).Held).To(BeTrue())
		Expect(r.Verdict(fingerprintOf("9999")).Crashes).To(Equal(1))
	}))

	It("reaches the same verdicts on all boxes, in whatever order and however often updates arrive", inBubble(func() {
		for seed := range uint64(200) {
			random := rand.New(rand.NewPCG(seed, 1))
			boxes := []*quarantine.Register{}
			for range 4 {
				boxes = append(boxes, quarantine.NewRegister(quarantine.DefaultPolicy))
			}
			var updates []quarantine.Update
			for range 12 {
				box := boxes[random.IntN(len(boxes))]
				f := fingerprintOf(fmt.Sprint(seed, random.IntN(3)))
				if random.IntN(5) == 0 {
					box.NoteAnswered(f)
				} else {
					box.NoteCrash(f, fmt.Sprint("e", random.IntN(4)), time.Now())
				}
				updates = append(updates, box.Update(box.All()))
				time.Sleep(2 * time.Second)
				for n := range updates {
					updates[n] = older(updates[n], 2*time.Second)
				}
			}
			for _, box := range boxes {
				for range 2 {
					for _, n := range random.Perm(len(updates)) {
						box.Merge(updates[n])
					}
				}
			}
			for n := range 3 {
				f := fingerprintOf(fmt.Sprint(seed, n))
				want := boxes[0].Verdict(f)
				for _, box := range boxes[1:] {
					got := box.Verdict(f)
					Expect([]any{got.Crashes, got.Upstreams, got.Age}).To(Equal([]any{want.Crashes, want.Upstreams, want.Age}), "seed %d", seed)
				}
			}
		}
	}))
})

// older returns an update as it reads after it has been in transit for longer.
func older(update quarantine.Update, by time.Duration) quarantine.Update {
	var aged quarantine.Update
	for _, report := range update.Crashes {
		report.Age += by
		aged.Crashes = append(aged.Crashes, report)
	}
	for _, report := range update.Answered {
		report.Age += by
		aged.Answered = append(aged.Answered, report)
	}
	return aged
}
