package customers_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"ospreymoor.example/ospreymoor/pkg/customers"
)

// BenchmarkSpend charges the cost of one request to the account of one of many customers.
func BenchmarkSpend(b *testing.B) {
	keeper := customers.NewKeeper(wide)
	asks := make([]customers.SpendRequest, 300)
	for n := range asks {
		asks[n] = customers.SpendRequest{Customer: fmt.Sprint("c", n), Scope: customers.FleetScope, Limit: profiles[1].limit, Costs: []float64{9244}}
	}
	now := time.Now()
	b.ReportAllocs()
	n := 0
	for b.Loop() {
		keeper.Spend(asks[n%len(asks)], 1, now)
		n++
	}
}

// BenchmarkSpendInFlood charges the costs of four classes to the account of a customer that asks for more than its
// limit.
func BenchmarkSpendInFlood(b *testing.B) {
	keeper := customers.NewKeeper(wide)
	limit := customers.Limit{PerSecond: 2_100_000, Burst: 2_100_000}
	ask := askForAll(limit, charge{plain, 200}, charge{urgent, 1120}, charge{ordinary, 9244}, charge{idle, 9244})
	message, err := json.Marshal(ask)
	if err != nil {
		b.Fatal(err)
	}
	now := time.Now()
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(2 * time.Millisecond)
		keeper.Spend(ask, 1, now)
	}
	b.ReportMetric(float64(len(message)), "message-bytes")
}

// BenchmarkFind finds the customer of a header field among 300 customers with two keys each.
func BenchmarkFind(b *testing.B) {
	list := make([]customers.Customer, 300)
	for n := range list {
		list[n] = customers.Customer{Name: fmt.Sprint("c", n), Keys: []customers.Digest{customers.DigestOf(fmt.Sprint("a", n)), customers.DigestOf(fmt.Sprint("b", n))}}
	}
	directory := customers.NewDirectory(list)
	field := []string{"Bearer b77"}
	b.ReportAllocs()
	for b.Loop() {
		if customer, _ := directory.Find(customers.ReadCredential(field)); customer == nil {
			b.Fatal("not found")
		}
	}
}
