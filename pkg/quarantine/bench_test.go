package quarantine_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"ospreymoor.example/ospreymoor/pkg/quarantine"
)

// ofCrash is a register that knows the requests under way at one crash.
func ofCrash(requests int) *quarantine.Register {
	r := quarantine.NewRegister(quarantine.DefaultPolicy)
	at := time.Now()
	for n := range requests {
		r.NoteCrash(named(fmt.Sprint(n)), "i-0123456789@1767225600000", at)
	}
	return r
}

// BenchmarkUpdate tells of a crash with 20 requests under way, and takes it in.
func BenchmarkUpdate(b *testing.B) {
	from := ofCrash(20)
	bytes := 0
	for b.Loop() {
		text, err := json.Marshal(from.Update(from.All()))
		if err != nil {
			b.Fatal(err)
		}
		bytes = len(text)
		var update quarantine.Update
		if err := json.Unmarshal(text, &update); err != nil {
			b.Fatal(err)
		}
		quarantine.NewRegister(quarantine.DefaultPolicy).Take(update)
	}
	b.ReportMetric(float64(bytes), "bytes")
}

// BenchmarkVerdict asks for a request that nothing is known of, beside as many records as are kept.
func BenchmarkVerdict(b *testing.B) {
	r := ofCrash(4096)
	other := named("other")
	for b.Loop() {
		r.Verdict(other)
	}
}

// BenchmarkRecords is the memory of as many records as are kept.
func BenchmarkRecords(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		ofCrash(4096)
	}
}
