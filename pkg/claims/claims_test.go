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

// keyNow makes a UUIDv7 of the bubble's time.
func keyNow() string {
	id := uuid.New()
	millis := uint64(time.Now().UnixMilli())
	for i := range 6 {
		id[i] = byte(millis >> (40 - 8*i))
	}
	id[6] = id[6]&0x0f | 0x70
	return id.String()
}

func claimOf(box string) claims.Claim {
	return claims.Claim{Digest: "d", Upstream: "e", RequestID: box, Box: box}
}

var _ = Describe("Claims", func() {
	It("of many callers at once give each key to one, and share writes", func() {
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
			key := keyNow()
			got := map[string]int{}
			var callers sync.WaitGroup
			for caller := range 100 {
				callers.Go(func() {
					own := claimOf(fmt.Sprint(caller))
					name := key
					if caller >= 20 {
						name = keyNow()
					}
					stands, err := boxes[caller%2].Claim(context.Background(), "acme", name, own)
					Expect(err).NotTo(HaveOccurred())
					mu.Lock()
					defer mu.Unlock()
					if stands.RequestID == own.RequestID {
						got[name]++
					}
				})
			}
			callers.Wait()
			Expect(got).To(HaveLen(81))
			Expect(got).To(HaveEach(1))
			Expect(writes).To(BeNumerically("<", 40))
		})
	})

	It("keep one customer's key from another's, and from another request", func() {
		spectest.Bubble(func() {
			c := claims.New(claims.Config{Store: kv.NewMemory().Store()})
			key := keyNow()
			for _, customer := range []string{"acme", "other"} {
				stands, err := c.Claim(context.Background(), customer, key, claimOf(customer))
				Expect(err).NotTo(HaveOccurred())
				Expect(stands.RequestID).To(Equal(customer))
			}
			changed := claimOf("acme")
			changed.Digest = "another body"
			_, err := c.Claim(context.Background(), "acme", key, changed)
			Expect(err).To(MatchError(claims.ErrOtherRequest))
		})
	})

	// forgottenThen claims a key, lets it be forgotten, and has a box whose clock is far behind
	// (its window seems long) claim it again.
	forgottenThen := func(guard bool) error {
		var err error
		spectest.Bubble(func() {
			store := kv.NewMemory().Store()
			floorless := store
			floorless.Get = func(ctx context.Context, key string) (kv.Record, error) {
				if key == "claims-floor" && !guard {
					return kv.Record{}, kv.ErrNotFound
				}
				return store.Get(ctx, key)
			}
			right := claims.New(claims.Config{Store: store, Window: 2 * time.Minute})
			behind := claims.New(claims.Config{Store: floorless, Window: 24 * time.Hour})
			key := keyNow()
			_, first := right.Claim(context.Background(), "acme", key, claimOf("first"))
			Expect(first).NotTo(HaveOccurred())
			for range 12 {
				time.Sleep(time.Minute)
				Expect(right.Sweep(context.Background())).To(Succeed())
			}
			_, err = behind.Claim(context.Background(), "acme", key, claimOf("second"))
		})
		return err
	}

	It("that were forgotten are refused, also by a box whose clock is behind", func() {
		Expect(forgottenThen(true)).To(MatchError(claims.ErrTooOld))
	})

	It("that were forgotten would be given again without the floor (guard off)", func() {
		Expect(forgottenThen(false)).To(Succeed())
	})
})
