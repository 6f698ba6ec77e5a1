package admission_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreymoor.example/ospreymoor/pkg/admission"
	"ospreymoor.example/ospreymoor/pkg/spectest"
)

func TestAdmission(t *testing.T) { spectest.Run(t, "Admission") }

// simulateSurge lets a hostile customer send far more requests than there are slots, beside a modest customer. It
// returns how many of the modest customer's requests were refused and how many it sent. One box has 8 slots, and a
// request takes one second.
func simulateSurge(hostile, modest string) (refused, asked int) {
	spectest.Bubble(func() {
		const slots = 8
		controller := admission.New(nil)
		admit := func(customer string) bool {
			excess := controller.InFlight() + 1 - slots
			request := admission.Request{
				Customer: customer, Slots: slots, Target: time.Second,
				Wait: max(0, time.Duration(excess)*time.Second/slots),
			}
			done, refusal := controller.Admit(request)
			if refusal != nil {
				return false
			}
			time.AfterFunc(time.Second+request.Wait, done)
			return true
		}
		for tick := range 6000 {
			for range 3 {
				admit(hostile)
			}
			if tick%50 == 49 {
				asked++
				if !admit(modest) {
					refused++
				}
			}
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(10 * time.Second)
	})
	return refused, asked
}

var _ = Describe("A customer that asks for far more than its share", func() {
	It("takes nothing from another that asks for less", func() {
		refused, asked := simulateSurge("hostile", "modest")
		Expect(asked).To(Equal(120))
		Expect(refused).To(BeZero())
	})

	It("would take from it if customers were not distinguished (guard off)", func() {
		refused, _ := simulateSurge("one", "one")
		Expect(refused).To(BeNumerically(">", 60))
	})
})
