package cluster

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreymoor.example/ospreymoor/pkg/origins"
)

var _ = Describe("notes of the software versions that serve", func() {
	v1, v2 := origins.Origin{Service: "s", Version: "v1"}, origins.Origin{Service: "s", Version: "v2"}
	note := func(f *originFleet, serving ...origins.Origin) {
		for _, box := range f.boxes {
			box.NoteVersions(serving)
		}
	}

	It("are made by two boxes of two halls, at once and then every minute", func() {
		for _, count := range []int{2, 7, 86} {
			withOriginFleet(count, count, func(f *originFleet) {
				for range 601 {
					note(f, v1)
					time.Sleep(100 * time.Millisecond)
				}
				Expect(f.saved).To(HaveLen(2))
				for box, records := range f.saved {
					Expect(records).To(Equal([]origins.Record{origins.NoteOf(v1), origins.NoteOf(v1)}), box)
				}
				note(f, v1, v2)
				Expect(f.savedCount()).To(Equal(6))
				note(f, v2)
				note(f, v1, v2)
				Expect(f.savedCount()).To(Equal(8), "a version that came back")
			})
		}
	})

	It("are made by a box that is alone", func() {
		withOriginFleet(1, 1, func(f *originFleet) {
			note(f, v1)
			Expect(f.savedCount()).To(Equal(1))
		})
	})
})
