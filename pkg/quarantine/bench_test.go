package quarantine_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"ospreymoor.example/ospreymoor/pkg/quarantine"
)

// afterCrash returns a register with the records of one crash at which so many requests were in flight.
func afterCrash(requests int) *quarantine.Register {
	r := quarantine.NewRegister(quarantine.DefaultPolicy)
	at := time.Now()
	for n := range requests {
		r.NoteCrash(fingerprintOf(fmt.Sprint(n)), "i-0123456789@1767225600000", at)
	}
	return r
}

// BenchmarkUpdate encodes the update of a crash with 20 requests in flight, decodes it and merges it.
func BenchmarkUpdate(b *testing.B) {
	from := afterCrash(20)
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
		quarantine.NewRegister(quarantine.DefaultPolicy).Merge(update)
	}
	b.ReportMetric(float64(bytes), "bytes")
}

// BenchmarkVerdict asks for a request without a record, while the register is full.
func BenchmarkVerdict(b *testing.B) {
	r := afterCrash(4096)
	other := fingerprintOf("other")
	for b.Loop() {
		r.Verdict(other)
	}
}

// BenchmarkRecords measures the memory of a full register.
func BenchmarkRecords(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		afterCrash(4096)
	}
}

// BenchmarkPartFingerprint measures one part of a prompt.
func BenchmarkPartFingerprint(b *testing.B) {
	for b.Loop() {
		quarantine.PartFingerprint("5c1e07a2")
	}
}

// BenchmarkPartAnswered measures what a sound answer with three shared parts costs, and BenchmarkPartVerdict what a
// request does while 64 crashes with 20 parts each are known.
func BenchmarkPartAnswered(b *testing.B) {
	r := quarantine.NewPartRegister(quarantine.DefaultPartPolicy, "box")
	parts := partsOf("a", "b", "c")
	for b.Loop() {
		r.NoteAnswered(parts, time.Now())
	}
}

func BenchmarkPartVerdict(b *testing.B) {
	r := fullPartRegister(20)
	parts := partsOf("a", "b", "c")
	for b.Loop() {
		r.Verdict(parts)
	}
}

// BenchmarkPartCrash measures a crash beside 63 others, with as many parts in each as a register keeps.
func BenchmarkPartCrash(b *testing.B) {
	r := fullPartRegister(512)
	n := 0
	for b.Loop() {
		n++
		r.NoteCrash(fmt.Sprint("new ", n), time.Now(), partsOf("x"))
	}
}

func fullPartRegister(partsOfCrash int) *quarantine.PartRegister {
	r := quarantine.NewPartRegister(quarantine.DefaultPartPolicy, "box")
	for n := range 64 {
		var ids []string
		for k := range partsOfCrash {
			ids = append(ids, fmt.Sprint(n, " ", k))
		}
		r.NoteCrash(fmt.Sprint("e", n), time.Now().Add(time.Duration(n-64)*time.Second), partsOf(ids...))
	}
	return r
}
