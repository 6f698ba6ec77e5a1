package admission_test

import (
	"fmt"
	"time"

	"ospreymoor.example/ospreymoor/pkg/admission"
)

func ExampleController() {
	controller := admission.New(nil)
	request := admission.Request{
		Customer: "acme",
		Limits:   []admission.Limit{{Name: "acme/writer", InFlight: 1}},
		Wait:     100 * time.Millisecond,
		Target:   880 * time.Millisecond,
		Slots:    8,
	}
	done, refusal := controller.Admit(request)
	fmt.Println("first:", refusal == nil)
	_, refusal = controller.Admit(request)
	fmt.Println("second:", refusal.Reason, "of", refusal.Limit)
	done()
	request.Wait = 3 * time.Second
	_, refusal = controller.Admit(request)
	fmt.Println("third:", refusal.Reason, refusal.RetryAfter > 2*time.Second)
	// Output:
	// first: true
	// second: in-flight limit of acme/writer
	// third: target out of reach true
}
