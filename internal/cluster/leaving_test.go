package cluster

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("upstreams that announced in an answer that they are leaving", func() {
	list := func(count int) (ids []string) {
		for n := range count {
			ids = append(ids, fmt.Sprintf("e%03d", n))
		}
		return ids
	}

	It("are all sent in one message if they are few", func() {
		rotation := leavingRotation{}
		Expect(rotation.next("a", nil)).To(BeEmpty())
		for range 3 {
			Expect(rotation.next("a", list(maxLeavingPerMessage))).To(Equal(list(maxLeavingPerMessage)))
		}
	})

	It("are sent in turn to each box if they are many", func() {
		rotation := leavingRotation{}
		all := list(2*maxLeavingPerMessage + 30)
		for _, box := range []string{"a", "b"} {
			sent := map[string]bool{}
			for range 3 {
				next := rotation.next(box, all)
				Expect(next).To(HaveLen(maxLeavingPerMessage))
				for _, id := range next {
					sent[id] = true
				}
			}
			Expect(sent).To(HaveLen(len(all)))
		}
	})
})
