package cluster

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("upstreams that leave by an answer", func() {
	list := func(count int) (ids []string) {
		for n := range count {
			ids = append(ids, fmt.Sprintf("e%03d", n))
		}
		return ids
	}

	It("are all told in one message where they are few", func() {
		turns := leavingTurns{}
		Expect(turns.next("a", nil)).To(BeEmpty())
		for range 3 {
			Expect(turns.next("a", list(maxToldLeaving))).To(Equal(list(maxToldLeaving)))
		}
	})

	It("are told in turn to each box where they are many", func() {
		turns := leavingTurns{}
		all := list(2*maxToldLeaving + 30)
		for _, box := range []string{"a", "b"} {
			told := map[string]bool{}
			for range 3 {
				next := turns.next(box, all)
				Expect(next).To(HaveLen(maxToldLeaving))
				for _, id := range next {
					told[id] = true
				}
			}
			Expect(told).To(HaveLen(len(all)))
		}
	})
})
