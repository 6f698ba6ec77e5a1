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

// surge has a hostile customer ask for far more than there is, beside a modest one, and
// returns the modest one's refusals. One box has 8 slots; a request takes a second.
func surge(hostile, modest string) (refused, asked int) {
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
		refused, asked := surge("hostile", "modest")
		Expect(asked).To(Equal(120))
		Expect(refused).To(BeZero())
	})

	It("would if customers were not distinguished (guard off)", func() {
		refused, _ := surge("one", "one")
		Expect(refused).To(BeNumerically(">", 60))
	})
})
