package quarantine_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreymoor.example/ospreymoor/pkg/quarantine"
	"ospreymoor.example/ospreymoor/pkg/spectest"
)

// partsOf returns the fingerprints of parts.
func partsOf(ids ...string) []quarantine.Fingerprint {
	var list []quarantine.Fingerprint
	for _, id := range ids {
		list = append(list, quarantine.PartFingerprint(id))
	}
	return list
}

var _ = Describe("a register of parts of prompts", func() {
	policy := quarantine.DefaultPartPolicy
	newRegister := func() *quarantine.PartRegister { return quarantine.NewPartRegister(policy, "box") }
	held := func(r *quarantine.PartRegister, ids ...string) bool { return r.Verdict(partsOf(ids...)).Held }
	// crashes has an upstream crash each 200 ms, with one request in flight for each list of parts.
	crashed := 0
	crashes := func(r *quarantine.PartRegister, times int, prompts ...[]string) {
		for range times {
			crashed++
			for _, parts := range prompts {
				r.NoteCrash(fmt.Sprint("e", crashed), time.Now(), partsOf(parts...))
			}
			time.Sleep(200 * time.Millisecond)
		}
	}
	prompt := func(ids ...string) []string { return ids }

	It("holds a part after three crashes in a row, though no two requests with it are alike", func() {
		spectest.Bubble(func() {
			r := newRegister()
			crashes(r, 2, prompt("x"))
			Expect(held(r, "a", "x")).To(BeFalse())
			crashes(r, 1, prompt("x"))
			Expect(held(r, "a", "x")).To(BeTrue())
			verdict := r.Verdict(partsOf("x"))
			Expect(verdict.Crashes).To(Equal(3))
			Expect(verdict.Upstreams).To(HaveLen(3))
			Expect(verdict.RetryAfter).To(BeNumerically("~", policy.Hold, policy.ProbeSpacing))
		})
	})

	It("holds none of the parts that were answered after the crashes", func() {
		spectest.Bubble(func() {
			r := newRegister()
			for range 6 {
				crashes(r, 1, prompt("a", "b"), prompt("a", "c"))
				r.NoteAnswered(partsOf("a", "b", "c"), time.Now())
				time.Sleep(2 * policy.RecentAnswer)
			}
			Expect(held(r, "a", "b", "c")).To(BeFalse())
		})
	})

	It("does not take an answer that began before a crash for one after it", func() {
		spectest.Bubble(func() {
			r := newRegister()
			crashes(r, 3, prompt("x"))
			r.NoteAnswered(partsOf("x"), time.Now().Add(-time.Second))
			Expect(held(r, "x")).To(BeTrue())
		})
	})

	It("holds, of two parts that always come together, the one that was not answered before", func() {
		spectest.Bubble(func() {
			r := newRegister()
			r.NoteAnswered(partsOf("a"), time.Now())
			time.Sleep(2 * policy.RecentAnswer)
			crashes(r, 3, prompt("a", "x"))
			Expect(held(r, "a")).To(BeFalse())
			Expect(held(r, "x")).To(BeTrue())
		})
	})

	It("moves the hold to the part under which upstreams crash without the other one", func() {
		spectest.Bubble(func() {
			r := newRegister()
			r.NoteAnswered(partsOf("x"), time.Now())
			time.Sleep(2 * policy.RecentAnswer)
			crashes(r, 3, prompt("x", "b"))
			Expect(held(r, "b")).To(BeTrue())
			crashes(r, 1, prompt("x", "c"))
			Expect(held(r, "x")).To(BeTrue())
			Expect(held(r, "b")).To(BeFalse())
		})
	})

	It("holds two parts that crash upstreams at the same time, and not the one that both stand beside", func() {
		spectest.Bubble(func() {
			r := newRegister()
			for range 3 {
				crashes(r, 1, prompt("a", "x"))
				crashes(r, 1, prompt("a", "y"))
				r.NoteAnswered(partsOf("a"), time.Now())
				time.Sleep(100 * time.Millisecond)
			}
			Expect(held(r, "x")).To(BeTrue())
			Expect(held(r, "y")).To(BeTrue())
			Expect(held(r, "a")).To(BeFalse())
		})
	})

	It("holds a part that was answered a moment before only after five crashes, or after one that comes later", func() {
		spectest.Bubble(func() {
			r := newRegister()
			r.NoteAnswered(partsOf("x", "y"), time.Now())
			crashes(r, 4, prompt("x"))
			Expect(held(r, "x")).To(BeFalse())
			crashes(r, 1, prompt("x"))
			Expect(held(r, "x")).To(BeTrue())
			crashes(r, 3, prompt("y"))
			Expect(held(r, "y")).To(BeFalse())
			time.Sleep(policy.RecentAnswer)
			Expect(r.Verdict(partsOf("y"))).To(BeZero())
			crashes(r, 1, prompt("y"))
			Expect(held(r, "y")).To(BeTrue())
		})
	})

	It("counts upstreams that crash together once", func() {
		spectest.Bubble(func() {
			r := newRegister()
			for n := range 6 {
				r.NoteCrash(fmt.Sprint("e", n), time.Now(), partsOf("x"))
			}
			Expect(held(r, "x")).To(BeFalse())
		})
	})

	It("lets one request at a time try the part after a hold, and holds it for longer if an upstream crashes again", func() {
		spectest.Bubble(func() {
			r := newRegister()
			crashes(r, 3, prompt("x"))
			time.Sleep(policy.Hold + policy.ProbeSpacing)
			verdict := r.Verdict(partsOf("x"))
			Expect(verdict.Held).To(BeFalse())
			Expect(verdict.Probation).To(BeTrue())
			Expect(r.TakeProbe(verdict.Part)).To(BeTrue())
			Expect(r.TakeProbe(verdict.Part)).To(BeFalse())
			crashes(r, 1, prompt("x"))
			Expect(r.Verdict(partsOf("x")).Level).To(Equal(1))
			time.Sleep(time.Duration(policy.HoldGrowth)*policy.Hold - time.Second)
			Expect(held(r, "x")).To(BeTrue())
			time.Sleep(time.Second + policy.ProbeSpacing)
			Expect(r.Verdict(partsOf("x")).Probation).To(BeTrue())
			r.NoteAnswered(partsOf("x"), time.Now())
			Expect(r.Verdict(partsOf("x"))).To(BeZero())
		})
	})

	It("ends the hold of a part that another box had answered after the crashes", func() {
		spectest.Bubble(func() {
			r, other := newRegister(), newRegister()
			crashes(r, 3, prompt("a", "x"))
			Expect(held(r, "a", "x")).To(BeTrue())
			other.Merge(r.Update(r.TakeChanged()))
			other.NoteAnswered(partsOf("a", "x"), time.Now())
			Expect(r.Merge(other.Update(other.TakeChanged()))).To(ConsistOf(partsOf("a", "x")))
			Expect(held(r, "a", "x")).To(BeFalse())
		})
	})

	It("reports an answer that is later than a crash which another box reports", func() {
		spectest.Bubble(func() {
			r, other := newRegister(), newRegister()
			crashes(r, 3, prompt("a"))
			other.NoteAnswered(partsOf("a"), time.Now())
			Expect(other.TakeChanged()).To(BeEmpty())
			other.Merge(r.Update(r.TakeChanged()))
			Expect(held(other, "a")).To(BeFalse())
			r.Merge(other.Update(other.TakeChanged()))
			Expect(held(r, "a")).To(BeFalse())
		})
	})

	It("comes to the same holds in whichever order and how often reports arrive", func() {
		spectest.Bubble(func() {
			for seed := range uint64(200) {
				random := rand.New(rand.NewPCG(seed, 1))
				var updates []quarantine.Update
				for n := range 8 {
					source := newRegister()
					crashes(source, 1, prompt("a", oneOf(random, "x", "y")), prompt("a", oneOf(random, "b", "c")))
					if n%3 == 0 {
						source.NoteAnswered(partsOf(oneOf(random, "a", "b"), "c"), time.Now())
					}
					updates = append(updates, source.Update(source.All()))
				}
				results := map[string]bool{}
				for range 4 {
					r := newRegister()
					for range 2 {
						random.Shuffle(len(updates), func(i, j int) { updates[i], updates[j] = updates[j], updates[i] })
						for _, update := range updates {
							r.Merge(update)
						}
					}
					var list []string
					for _, id := range []string{"a", "b", "c", "x", "y"} {
						list = append(list, fmt.Sprint(id, held(r, id)))
					}
					results[fmt.Sprint(list)] = true
				}
				Expect(results).To(HaveLen(1), "seed %d", seed)
			}
		})
	})

	It("keeps a bounded number of crashes and parts, whatever callers make up", func() {
		spectest.Bubble(func() {
			r := newRegister()
			for n := range 20_000 {
				r.NoteAnswered(partsOf(fmt.Sprint("made up ", n)), time.Now())
			}
			for n := range 200 {
				var ids []string
				for k := range 2000 {
					ids = append(ids, fmt.Sprint(n, " ", k))
				}
				r.NoteCrash(fmt.Sprint("e", n), time.Now(), partsOf(ids...))
				time.Sleep(100 * time.Millisecond)
			}
			Expect(len(r.All())).To(BeNumerically("<=", 64*512))
		})
	})

	It("takes a hold from the store, and lists it as cleared once the part is answered", func() {
		spectest.Bubble(func() {
			r := newRegister()
			r.Restore(partsOf("x")[0], quarantine.Stored{Crashes: 4, Level: 1})
			Expect(held(r, "x")).To(BeTrue())
			Expect(r.Held()).To(BeEmpty())
			time.Sleep(time.Duration(policy.HoldGrowth)*policy.Hold + policy.ProbeSpacing)
			Expect(r.Verdict(partsOf("x")).Probation).To(BeTrue())
			crashes(r, 1, prompt("x"))
			Expect(r.Verdict(partsOf("x")).Level).To(Equal(2))
			Expect(r.Held()).To(HaveLen(1))
			Expect(r.Cleared()).To(BeEmpty())
			r.NoteAnswered(partsOf("x"), time.Now())
			Expect(held(r, "x")).To(BeFalse())
			Expect(r.Cleared()).To(Equal(partsOf("x")))
		})
	})

	It("ends a hold that an operator lifts, at other boxes as well", func() {
		spectest.Bubble(func() {
			r, other := newRegister(), newRegister()
			crashes(r, 3, prompt("x"))
			other.Merge(r.Update(r.TakeChanged()))
			r.Lift(partsOf("x")[0])
			Expect(held(r, "x")).To(BeFalse())
			other.Merge(r.Update(r.TakeChanged()))
			Expect(held(other, "x")).To(BeFalse())
		})
	})

	It("ends a hold at different times at different boxes", func() {
		spectest.Bubble(func() {
			var ends []time.Duration
			for n := range 20 {
				r := quarantine.NewPartRegister(policy, fmt.Sprint("box ", n))
				r.Boxes = func() int { return 20 }
				crashes(r, 3, prompt("x"))
				ends = append(ends, r.Verdict(partsOf("x")).RetryAfter)
			}
			Expect(slices.Min(ends)).To(BeNumerically(">=", policy.Hold-time.Second))
			Expect(slices.Max(ends) - slices.Min(ends)).To(BeNumerically(">=", 10*policy.ProbeSpacing))
		})
	})
})

func oneOf(random *rand.Rand, ids ...string) string { return ids[random.IntN(len(ids))] }
