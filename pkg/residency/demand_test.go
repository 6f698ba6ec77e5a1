package residency_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/types"

	"ospreymoor.example/ospreymoor/pkg/residency"
)

// demandBucket is the duration of one bucket. The rates are the means of ten and of twenty buckets.
const demandBucket = 250 * time.Millisecond

var _ = Describe("demand", func() {
	key := residency.ModelKey{Service: "s", Model: "m"}
	// at returns the start of a bucket, counted from an arbitrary one.
	at := func(bucket int) time.Time {
		return time.Unix(1_700_000_000, 0).Add(time.Duration(bucket) * demandBucket)
	}
	// note adds work, in milliseconds, to each bucket from the first to the last.
	note := func(d *residency.Demand, first, last int, milliseconds float64) {
		for bucket := first; bucket <= last; bucket++ {
			d.Note(map[residency.WorkKey]float64{{ModelKey: key}: milliseconds}, at(bucket))
		}
	}
	equal := func(rate float64) types.GomegaMatcher { return BeNumerically("~", rate, 1e-12) }

	It("is the share of an engine's time that steady work takes", func() {
		d := &residency.Demand{}
		note(d, 0, 19, 125)
		Expect(d.Rates(at(19))[key]).To(equal(0.5))
		note(d, 20, 60, 125)
		Expect(d.Rates(at(60))[key]).To(equal(0.5))
	})

	It("adds to a rise the difference between the rates of the last 2.5 s and of the last 5 s", func() {
		d := &residency.Demand{}
		note(d, 0, 9, 50)
		note(d, 10, 19, 150)
		// The fast rate is 0.6, the slow one 0.4.
		Expect(d.Rates(at(19))[key]).To(equal(0.8))
		alone := &residency.Demand{}
		note(alone, 0, 0, 500)
		// The fast rate is 0.2, the slow one 0.1.
		Expect(alone.Rates(at(0))[key]).To(equal(0.3))
	})

	It("counts a fall only half", func() {
		d := &residency.Demand{}
		note(d, 0, 9, 150)
		note(d, 10, 19, 50)
		// The fast rate is 0.2, the slow one 0.4.
		Expect(d.Rates(at(19))[key]).To(equal(0.3))
	})

	It("counts work in the fast rate for ten buckets, in the slow rate for twenty, and then no longer", func() {
		d := &residency.Demand{}
		d.Note(map[residency.WorkKey]float64{{ModelKey: key}: 250}, at(0))
		d.Note(map[residency.WorkKey]float64{{ModelKey: key}: 250}, at(1).Add(-time.Nanosecond))
		Expect(d.Rates(at(10).Add(-time.Nanosecond))[key]).To(equal(0.3))
		Expect(d.Rates(at(10))[key]).To(equal(0.05))
		Expect(d.Rates(at(20).Add(-time.Nanosecond))[key]).To(equal(0.05))
		Expect(d.Rates(at(20))).To(BeEmpty())
		By("also after a time without requests")
		note(d, 500, 500, 500)
		Expect(d.Rates(at(500))[key]).To(equal(0.3))
	})

	It("is kept separately for each service and model", func() {
		d := &residency.Demand{}
		other := residency.ModelKey{Service: "t", Model: "m"}
		d.Note(map[residency.WorkKey]float64{{ModelKey: key}: 500, {ModelKey: other}: 1000}, at(0))
		rates := d.Rates(at(0))
		Expect(rates).To(HaveLen(2))
		Expect(rates[key]).To(equal(0.3))
		Expect(rates[other]).To(equal(0.6))
	})

	It("reports a model as patient only if it was requested and all of its work could wait", func() {
		d := &residency.Demand{}
		Expect(d.Patient(key)).To(BeFalse())
		d.Note(map[residency.WorkKey]float64{{ModelKey: key, Patient: true}: 1}, at(0))
		Expect(d.Patient(key)).To(BeTrue())
		d.Note(map[residency.WorkKey]float64{{ModelKey: key}: 1}, at(0))
		d.Note(map[residency.WorkKey]float64{{ModelKey: key, Patient: true}: 1}, at(0))
		Expect(d.Patient(key)).To(BeFalse())
	})
})
