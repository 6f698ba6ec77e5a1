package lease_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreymoor.example/ospreymoor/pkg/kv"
	"ospreymoor.example/ospreymoor/pkg/kv/kvtest"
	"ospreymoor.example/ospreymoor/pkg/lease"
	"ospreymoor.example/ospreymoor/pkg/spectest"
)

func TestLease(t *testing.T) { spectest.Run(t, "Lease") }

// contest has three processes contend for a lease while calls fail, get lost and are late, and one
// process after the other is cut off from the store for a while. It returns where two held
// the lease at once or a term went back, and how many terms there were.
func contest(seed uint64, margin time.Duration) (found []string, terms int) {
	spectest.Bubble(func() {
		memory := kv.NewMemory().Store()
		ctx, cancel := context.WithCancel(context.Background())
		var running sync.WaitGroup
		var contenders []*lease.Lease
		for c := range 3 {
			l := lease.New(lease.Config{
				Store: faulty(memory, seed, c), Key: "leases/x", Holder: fmt.Sprint(c), TTL: 6 * time.Second, Margin: margin,
			})
			contenders = append(contenders, l)
			running.Go(func() { l.Run(ctx) })
		}
		var highest int64
		for range 20 * 60 * 10 { // Ten minutes.
			time.Sleep(50 * time.Millisecond)
			held := termsHeld(contenders)
			for _, term := range held {
				if term < highest {
					found = append(found, fmt.Sprintf("term %d after %d", term, highest))
				}
				if term > highest {
					highest = term
					terms++
				}
			}
			if len(held) > 1 {
				found = append(found, fmt.Sprintf("%d holders at once", len(held)))
			}
		}
		cancel()
		running.Wait()
		time.Sleep(time.Minute)
	})
	return found, terms
}

// termsHeld returns the terms under which contenders may act now.
func termsHeld(contenders []*lease.Lease) []int64 {
	var held []int64
	for _, l := range contenders {
		if term, err := l.Term(); err == nil {
			held = append(held, term)
		}
	}
	return held
}

// faulty is one process's store: cut off for a while now and then, and unreliable in between.
func faulty(memory kv.Store, seed uint64, contender int) kv.Store {
	random := rand.New(rand.NewPCG(seed, uint64(contender)))
	var mu sync.Mutex
	var cutUntil time.Time
	choose := func(string) kvtest.Fate {
		mu.Lock()
		defer mu.Unlock()
		if time.Now().After(cutUntil) && random.IntN(25) == 0 {
			cutUntil = time.Now().Add(time.Duration(random.IntN(15000)) * time.Millisecond)
		}
		if time.Now().Before(cutUntil) {
			return kvtest.Fate{Lost: true, Delay: 500 * time.Millisecond}
		}
		return kvtest.Fate{
			Delay:      time.Duration(random.IntN(200)) * time.Millisecond,
			AnswerLost: random.IntN(10) == 0,
		}
	}
	return kvtest.Faulty(memory, choose)
}

var _ = Describe("A lease", func() {
	It("has one holder at a time, and terms that only grow, whatever happens to the store's answers", func() {
		total := 0
		for seed := range uint64(6) {
			found, terms := contest(seed, 0)
			Expect(found).To(BeEmpty(), "seed %d", seed)
			Expect(terms).To(BeNumerically(">", 1), "seed %d: the lease did change hands", seed)
			total += terms
		}
		GinkgoWriter.Printf("%d terms\n", total)
		Expect(total).To(BeNumerically(">", 18))
	})

	It("would have two if its holder trusted it beyond its time (guard off)", func() {
		broken := 0
		for seed := range uint64(6) {
			found, _ := contest(seed, -5*time.Second)
			broken += len(found)
		}
		Expect(broken).To(BeNumerically(">", 0))
	})
})
