package claims_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"

	"ospreymoor.example/ospreymoor/pkg/claims"
	"ospreymoor.example/ospreymoor/pkg/kv"
)

// BenchmarkCapacityClaims measures how many reads and writes of the key-value store a claim takes when one box makes
// so many claims concurrently, with a store that answers in 5 ms.
//
//	go test -run '^$' -bench CapacityClaims -benchtime 2000x ./pkg/claims
func BenchmarkCapacityClaims(b *testing.B) {
	for _, concurrency := range []int{1, 8, 64} {
		b.Run(fmt.Sprintf("underway=%d", concurrency), func(b *testing.B) {
			var writes, reads atomic.Int64
			store := kv.NewMemory().Store()
			swap, get := store.Swap, store.Get
			store.Swap = func(ctx context.Context, s kv.Swap) (kv.Record, error) {
				writes.Add(1)
				time.Sleep(5 * time.Millisecond)
				return swap(ctx, s)
			}
			store.Get = func(ctx context.Context, key string) (kv.Record, error) {
				reads.Add(1)
				time.Sleep(5 * time.Millisecond)
				return get(ctx, key)
			}
			c := claims.New(claims.Config{Store: store})
			var done sync.WaitGroup
			for range concurrency {
				done.Go(func() {
					for range max(1, b.N/concurrency) {
						key := uuid.Must(uuid.NewV7()).String()
						if _, err := c.Claim(context.Background(), "acme", key, claimOf(key)); err != nil {
							b.Error(err)
						}
					}
				})
			}
			done.Wait()
			total := float64(max(1, b.N/concurrency) * concurrency)
			b.ReportMetric(float64(writes.Load())/total, "kvwrites/claim")
			b.ReportMetric(float64(reads.Load())/total, "kvreads/claim")
		})
	}
}
