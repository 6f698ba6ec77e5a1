package claims_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreymoor.example/ospreymoor/pkg/claims"
	"ospreymoor.example/ospreymoor/pkg/kv"
	"ospreymoor.example/ospreymoor/pkg/spectest"
)

func TestClaims(t *testing.T) { spectest.Run(t, "Claims") }

// newKey returns a UUIDv7 with the time of the bubble's clock.
func newKey() string {
	id := uuid.New()
	millis := uint64(time.Now().UnixMilli())
	for i := range 6 {
		id[i] = byte(millis >> (40 - 8*i))
	}
	id[6] = id[6]&0x0f | 0x70
	return id.String()
}

// claimOf returns a claim that a box makes, with the box's name as request ID.
func claimOf(box string) claims.Claim {
	return claims.Claim{Digest: "d", Upstream: "e", RequestID: box, Box: box}
}

var _ = Describe("Claims", func() {
	It("give each key to one of many concurrent callers, and share writes", func() {
		spectest.Bubble(func() {
			writes := 0
			var mu sync.Mutex
			store := kv.NewMemory().Store()
			swap := store.Swap
			store.Swap = func(ctx context.Context, s kv.Swap) (kv.Record, error) {
				mu.Lock()
				writes++
				mu.Unlock()
				time.Sleep(10 * time.Millisecond)
				return swap(ctx, s)
			}
			boxes := []*claims.Claims{claims.New(claims.Config{Store: store}), claims.New(claims.Config{Store: store})}
			key := newKey()
			winners := map[string]int{}
			var callers sync.WaitGroup
			for caller := range 100 {
				callers.Go(func() {
					own := claimOf(fmt.Sprint(caller))
					name := key
					if caller >= 20 {
						name = newKey()
					}
					inForce, err := boxes[caller%2].Claim(context.Background(), "acme", name, own)
					Expect(err).NotTo(HaveOccurred())
					mu.Lock()
					defer mu.Unlock()
					if inForce.RequestID == own.RequestID {
						winners[name]++
					}
				})
			}
			callers.Wait()
			Expect(winners).To(HaveLen(81))
			Expect(winners).To(HaveEach(1))
			Expect(writes).To(BeNumerically("<", 40))
		})
	})

	It("keep the same key of two customers apart, and refuse a key that was used for another request", func() {
		spectest.Bubble(func() {
			c := claims.New(claims.Config{Store: kv.NewMemory().Store()})
			key := newKey()
			for _, customer := range []string{"acme", "other"} {
				inForce, err := c.Claim(context.Background(), customer, key, claimOf(customer))
				Expect(err).NotTo(HaveOccurred())
				Expect(inForce.RequestID).To(Equal(customer))
			}
			otherRequest := claimOf("acme")
			otherRequest.Digest = "another body"
			_, err := c.Claim(context.Background(), "acme", key, otherRequest)
			Expect(err).To(MatchError(claims.ErrOtherRequest))
		})
	})

	// claimAgainAfterSweeps claims a key and runs sweeps until the claim is deleted. Then it has a box claim the key
	// again that accepts old keys for long, as one whose clock is far behind would. Without guard, this box reads no
	// floor.
	claimAgainAfterSweeps := func(guard bool) error {
		var err error
		spectest.Bubble(func() {
			store := kv.NewMemory().Store()
			behindStore := store
			behindStore.Get = func(ctx context.Context, key string) (kv.Record, error) {
				if key == "claims-floor" && !guard {
					return kv.Record{}, kv.ErrNotFound
				}
				return store.Get(ctx, key)
			}
			current := claims.New(claims.Config{Store: store, Window: 2 * time.Minute})
			behind := claims.New(claims.Config{Store: behindStore, Window: 24 * time.Hour})
			key := newKey()
			_, first := current.Claim(context.Background(), "acme", key, claimOf("first"))
			Expect(first).NotTo(HaveOccurred())
			for range 12 {
				time.Sleep(time.Minute)
				Expect(current.Sweep(context.Background())).To(Succeed())
			}
			_, err = behind.Claim(context.Background(), "acme", key, claimOf("second"))
		})
		return err
	}

	It("refuse a key whose claim was deleted, also on a box whose clock is behind", func() {
		Expect(claimAgainAfterSweeps(true)).To(MatchError(claims.ErrTooOld))
	})

	It("would claim a key again after its claim was deleted if the floor were not read (guard off)", func() {
		Expect(claimAgainAfterSweeps(false)).To(Succeed())
	})
})
