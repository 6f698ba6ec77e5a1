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

func named(text string) quarantine.Fingerprint {
	content := quarantine.Content{URI: text}
	return content.Fingerprint()
}

var _ = Describe("a register", func() {
	request := named("r")
	var r *quarantine.Register
	// in runs f on a new register in a bubble.
	in := func(f func()) func() {
		return func() {
			spectest.Bubble(func() {
				r = quarantine.NewRegister(quarantine.DefaultPolicy)
				time.Sleep(time.Hour) // Times of crashes may lie before the bubble's begin else.
				f()
			})
		}
	}
	crash := func(upstream string) { r.NoteCrash(request, upstream, time.Now()) }
	// inTurn is crashes one after the other.
	inTurn := func(upstreams ...string) {
		for _, upstream := range upstreams {
			crash(upstream)
			time.Sleep(100 * time.Millisecond)
		}
	}
	held := func() time.Duration { return r.Verdict(request).RetryAfter }

	It("holds a request for longer with each upstream that crashes under it", in(func() {
		var spans []time.Duration
		for n := range 5 {
			crash(fmt.Sprint("e", n))
			spans = append(spans, held())
			time.Sleep(max(held(), 100*time.Millisecond))
			Expect(r.Verdict(request).Held).To(BeFalse())
		}
		Expect(spans).To(Equal([]time.Duration{0, 30 * time.Second, 10 * time.Minute, 20 * time.Minute, 40 * time.Minute}))
	}))

	It("counts a crash once that several requests or boxes saw, and one of the same upstream later again", in(func() {
		crash("e1")
		time.Sleep(3 * time.Millisecond)
		crash("e1")
		r.Take(quarantine.Update{Crashes: []quarantine.CrashReport{{
			Upstream: "e1", Age: 400 * time.Millisecond, Requests: []quarantine.Fingerprint{request},
		}}})
		Expect(r.Verdict(request).Crashes).To(Equal(1))
		time.Sleep(2 * time.Second)
		crash("e1")
		Expect(r.Verdict(request).Crashes).To(Equal(2))
	}))

	It("counts upstreams that fall together once", in(func() {
		for n := range 5 {
			crash(fmt.Sprint("e", n))
			time.Sleep(5 * time.Millisecond)
		}
		Expect(r.Verdict(request).Crashes).To(Equal(1))
		time.Sleep(60 * time.Millisecond)
		crash("e9")
		Expect(r.Verdict(request).Crashes).To(Equal(2))
	}))

	It("holds nothing against a request that is answered, and takes no earlier crash for a new one", in(func() {
		crash("e1")
		time.Sleep(time.Second)
		crash("e2")
		time.Sleep(time.Second)
		r.NoteAnswered(request)
		Expect(r.Verdict(request)).To(Equal(quarantine.Verdict{}))
		late := quarantine.Update{Crashes: []quarantine.CrashReport{{
			Upstream: "e3", Age: 5 * time.Second, Requests: []quarantine.Fingerprint{request},
		}}}
		Expect(r.Take(late)).To(BeEmpty())
		Expect(r.Verdict(request).Crashes).To(BeZero())
	}))

	It("forgets what has not crashed an upstream for long, and all in the end", in(func() {
		crash("e1")
		time.Sleep(20 * time.Minute)
		crash("e2")
		Expect(r.Verdict(request).Crashes).To(Equal(2))
		time.Sleep(40 * time.Minute)
		Expect(r.Empty()).To(BeTrue())
		By("so that a crash much later is the first one, whoever asked meanwhile")
		crash("e3")
		time.Sleep(40 * time.Minute)
		crash("e4")
		Expect(r.Verdict(request).Crashes).To(Equal(1))
		time.Sleep(40 * time.Minute)
		Expect(r.Counts()).To(Equal(quarantine.Counts{}))
	}))

	It("says what is known, for how long and from where", in(func() {
		crash("e1")
		r.Take(quarantine.Update{Crashes: []quarantine.CrashReport{{
			Upstream: "e2", Age: -time.Second, Requests: []quarantine.Fingerprint{request},
		}}})
		time.Sleep(time.Second)
		r.Take(quarantine.Update{Crashes: []quarantine.CrashReport{{
			Upstream: "e2", Age: 200 * time.Millisecond, Requests: []quarantine.Fingerprint{request},
		}}})
		time.Sleep(time.Second)
		Expect(r.Verdict(request)).To(Equal(quarantine.Verdict{
			Held: true, RetryAfter: 28800 * time.Millisecond, Crashes: 2, Upstreams: []string{"e1", "e2"},
			Age: 1200 * time.Millisecond, KnownFor: time.Second, Source: quarantine.FromPeer,
		}))
	}))

	It("holds after a restart what the store has, and records nothing of it anew", in(func() {
		r.Restore(request, quarantine.Stored{Crashes: 3})
		Expect(held()).To(Equal(10 * time.Minute))
		Expect(r.Held()).To(BeEmpty())
		Expect(r.Update(r.All())).To(Equal(quarantine.Update{}))
		time.Sleep(time.Minute)
		r.Restore(request, quarantine.Stored{Crashes: 3})
		Expect(held()).To(Equal(9 * time.Minute))
		time.Sleep(9 * time.Minute)
		crash("e1")
		Expect(held()).To(Equal(10 * time.Minute))
	}))

	It("lists for the store what is held", in(func() {
		inTurn("e1")
		Expect(r.Held()).To(BeEmpty())
		crash("e2")
		Expect(r.Held()).To(HaveLen(1))
		time.Sleep(time.Minute)
		Expect(r.Held()).To(BeEmpty())
		crash("e3")
		Expect(r.Held()).To(Equal([]quarantine.HeldRequest{{
			Request: request, Stored: quarantine.Stored{Crashes: 3}, For: 10 * time.Minute, Seen: true,
		}}))
	}))

	It("tells of each request when it is held, and for how long", in(func() {
		told := map[quarantine.Fingerprint][]time.Duration{}
		r.OnHeld = func(f quarantine.Fingerprint, v quarantine.Verdict) { told[f] = append(told[f], v.RetryAfter) }
		for n := range 4 {
			crash(fmt.Sprint("e", n))
			inTurn(fmt.Sprint("e", n))
		}
		r.Restore(named("another"), quarantine.Stored{Crashes: 3})
		Expect(told).To(Equal(map[quarantine.Fingerprint][]time.Duration{
			request: {30 * time.Second, 10 * time.Minute, 20 * time.Minute}, named("another"): {10 * time.Minute},
		}))
	}))

	It("keeps what most crash under when there is too much", in(func() {
		inTurn("e0", "e1", "e2")
		for n := range 10_000 {
			time.Sleep(time.Millisecond)
			r.NoteCrash(named(fmt.Sprint(n)), "e9", time.Now())
		}
		Expect(len(r.All())).To(BeNumerically("<=", 4096))
		Expect(r.Verdict(request).Held).To(BeTrue())
		Expect(r.Verdict(named("9999")).Crashes).To(Equal(1))
	}))

	It("comes to the same on all boxes, in whatever order and how often updates come", in(func() {
		for seed := range uint64(200) {
			random := rand.New(rand.NewPCG(seed, 1))
			boxes := []*quarantine.Register{}
			for range 4 {
				boxes = append(boxes, quarantine.NewRegister(quarantine.DefaultPolicy))
			}
			var updates []quarantine.Update
			for range 12 {
				box := boxes[random.IntN(len(boxes))]
				f := named(fmt.Sprint(seed, random.IntN(3)))
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
						box.Take(updates[n])
					}
				}
			}
			for n := range 3 {
				f := named(fmt.Sprint(seed, n))
				want := boxes[0].Verdict(f)
				for _, box := range boxes[1:] {
					got := box.Verdict(f)
					Expect([]any{got.Crashes, got.Upstreams, got.Age}).To(Equal([]any{want.Crashes, want.Upstreams, want.Age}), "seed %d", seed)
				}
			}
		}
	}))
})

// older is an update that is under way for longer.
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
