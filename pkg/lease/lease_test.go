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

// contend has three processes contend for a lease for ten minutes, while calls are lost, lose their answers and are
// delayed, and each process is cut off from the store for a while now and then. It returns each violation found (two
// holders at once, or a term below an earlier one) and how many terms there were.
func contend(seed uint64, margin time.Duration) (violations []string, terms int) {
	spectest.Bubble(func() {
		memory := kv.NewMemory().Store()
		ctx, cancel := context.WithCancel(context.Background())
		var running sync.WaitGroup
		var contenders []*lease.Lease
		for c := range 3 {
			l := lease.New(lease.Config{
				Store: faultyStore(memory, seed, c), Key: "leases/x", Holder: fmt.Sprint(c), TTL: 6 * time.Second, Margin: margin,
			})
			contenders = append(contenders, l)
			running.Go(func() { l.Run(ctx) })
		}
		var highest int64
		for range 20 * 60 * 10 { // Ten minutes in steps of 50 ms.
			time.Sleep(50 * time.Millisecond)
			held := termsHeld(contenders)
			for _, term := range held {
				if term < highest {
					violations = append(violations, fmt.Sprintf("term %d after %d", term, highest))
				}
				if term > highest {
					highest = term
					terms++
				}
			}
			if len(held) > 1 {
				violations = append(violations, fmt.Sprintf("%d holders at once", len(held)))
			}
		}
		cancel()
		running.Wait()
		time.Sleep(time.Minute)
	})
	return violations, terms
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

// faultyStore returns one process's view of the store. It is unreachable for up to 15 s now and then; in between,
// calls are delayed and some answers are lost.
func faultyStore(memory kv.Store, seed uint64, contender int) kv.Store {
	random := rand.New(rand.NewPCG(seed, uint64(contender)))
	var mu sync.Mutex
	var cutUntil time.Time
	choose := func(string) kvtest.Fault {
		mu.Lock()
		defer mu.Unlock()
		if time.Now().After(cutUntil) && random.IntN(25) == 0 {
			cutUntil = time.Now().Add(time.Duration(random.IntN(15000)) * time.Millisecond)
		}
		if time.Now().Before(cutUntil) {
			return kvtest.Fault{Lost: true, Delay: 500 * time.Millisecond}
		}
		return kvtest.Fault{
			Delay:      time.Duration(random.IntN(200)) * time.Millisecond,
			AnswerLost: random.IntN(10) == 0,
		}
	}
	return kvtest.Faulty(memory, choose)
}

var _ = Describe("A lease", func() {
	It("has one holder at a time and increasing terms, although calls of the store fail or lose their answers", func() {
		total := 0
		for seed := range uint64(6) {
			violations, terms := contend(seed, 0)
			Expect(violations).To(BeEmpty(), "seed %d", seed)
			Expect(terms).To(BeNumerically(">", 1), "seed %d: the lease never changed its holder", seed)
			total += terms
		}
		GinkgoWriter.Printf("%d terms\n", total)
		Expect(total).To(BeNumerically(">", 18))
	})

	It("has two holders at once if a holder acts beyond the TTL (negative margin)", func() {
		total := 0
		for seed := range uint64(6) {
			violations, _ := contend(seed, -5*time.Second)
			total += len(violations)
		}
		Expect(total).To(BeNumerically(">", 0))
	})
})
