package admission_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreymoor.example/ospreymoor/pkg/admission"
	"ospreymoor.example/ospreymoor/pkg/spectest"
)

var _ = Describe("A limit", func() {
	request := func(limits ...admission.Limit) admission.Request {
		return admission.Request{Customer: "c", Slots: 100, Target: time.Second, Limits: limits}
	}

	It("of requests in flight is divided among the boxes, rounded up", func() {
		controller := admission.New(func() int { return 2 })
		limited := request(admission.Limit{Name: "c", InFlight: 3})
		first, refusal := controller.Admit(limited)
		Expect(refusal).To(BeNil())
		_, refusal = controller.Admit(limited)
		Expect(refusal).To(BeNil())
		_, refusal = controller.Admit(limited)
		Expect(refusal.Reason).To(Equal(admission.ReasonInFlight))
		Expect(refusal.RetryAfter).To(BeNumerically("~", 1100*time.Millisecond, 100*time.Millisecond))
		first()
		first()
		Expect(controller.InFlight()).To(Equal(1))
		_, refusal = controller.Admit(limited)
		Expect(refusal).To(BeNil())
	})

	It("of requests per second is divided among the boxes, and follows their number", func() {
		spectest.Bubble(func() {
			boxes := 2
			controller := admission.New(func() int { return boxes })
			admitted := func() int {
				n := 0
				for range 100 {
					if _, refusal := controller.Admit(request(admission.Limit{Name: "c", RequestsPerSecond: 20})); refusal == nil {
						n++
					} else {
						Expect(refusal.Reason).To(Equal(admission.ReasonRate))
						Expect(refusal.Limit).To(Equal("c"))
					}
				}
				return n
			}
			Expect(admitted()).To(Equal(10))
			time.Sleep(time.Second)
			Expect(admitted()).To(Equal(10))
			boxes = 4
			Expect(admitted()).To(BeZero())
			time.Sleep(time.Second)
			Expect(admitted()).To(Equal(5))
		})
	})

	It("takes no token of the other limits when it refuses", func() {
		controller := admission.New(nil)
		rate := admission.Limit{Name: "r", RequestsPerSecond: 1}
		_, refusal := controller.Admit(request(rate, admission.Limit{Name: "f", InFlight: 1}))
		Expect(refusal).To(BeNil())
		other := admission.Limit{Name: "o", RequestsPerSecond: 1}
		_, refusal = controller.Admit(request(other, admission.Limit{Name: "f", InFlight: 1}))
		Expect(refusal.Limit).To(Equal("f"))
		_, refusal = controller.Admit(request(other))
		Expect(refusal).To(BeNil())
	})
})

var _ = Describe("A refusal", func() {
	It("comes when the wait exceeds the target, with a bounded time to retry", func() {
		controller := admission.New(nil)
		refused := func(wait time.Duration) time.Duration {
			_, refusal := controller.Admit(admission.Request{Customer: "c", Slots: 1, Target: time.Second, Wait: wait})
			Expect(refusal.Reason).To(Equal(admission.ReasonTooLate))
			return refusal.RetryAfter
		}
		Expect(refused(1001 * time.Millisecond)).To(BeNumerically("~", 220*time.Millisecond, 20*time.Millisecond))
		Expect(refused(11 * time.Second)).To(BeNumerically("~", 11*time.Second, time.Second))
		Expect(refused(time.Hour)).To(BeNumerically("~", 66*time.Second, 6*time.Second))
		Expect(controller.InFlight()).To(BeZero())
	})

	It("of a customer beyond its weighted share comes at half of the target", func() {
		controller := admission.New(nil)
		admit := func(customer string, weight float64, wait time.Duration) *admission.Refusal {
			_, refusal := controller.Admit(admission.Request{Customer: customer, Weight: weight, Slots: 4, Target: time.Second, Wait: wait})
			return refusal
		}
		Expect(admit("light", 1, 0)).To(BeNil())
		for range 3 {
			Expect(admit("heavy", 3, 900*time.Millisecond)).To(BeNil())
		}
		Expect(admit("heavy", 3, 501*time.Millisecond).Reason).To(Equal(admission.ReasonFairShare))
		Expect(admit("light", 1, 501*time.Millisecond).Reason).To(Equal(admission.ReasonFairShare))
		Expect(admit("heavy", 3, 500*time.Millisecond)).To(BeNil())
		Expect(admit("new", 1, 900*time.Millisecond)).To(BeNil())
	})
})
