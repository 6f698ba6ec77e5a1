package fleet_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreymoor.example/ospreymoor/pkg/fleet"
)

var _ = Describe("an upstream that restarts under its name", func() {
	DescribeTable("has an id of its name and its start time", func(name string, startMillis int64, id string) {
		Expect(fleet.IncarnationID(name, startMillis)).To(Equal(id))
		Expect(fleet.NameOf(id)).To(Equal(name))
	},
		Entry("", "e1", int64(1767225600000), "e1@1767225600000"),
		Entry("start not known", "e1", int64(0), "e1"),
		Entry("before 1970", "e1", int64(-5), "e1"),
		Entry("a name with the separator in it", "e@x", int64(0), "e@x"),
		Entry("a name with the separator in it, and a start", "e@x", int64(7), "e@x@7"),
	)

	It("is not replaced by a late write of one that had its address before", func() {
		d := fleet.New()
		at := func(id string, revision int64) fleet.Upstream {
			upstream := engine(id, revision)
			upstream.Address = "a:1"
			return upstream
		}
		d.SetList(2, []fleet.Upstream{at("e1@10", 1), at("e2@20", 2)}, time.Now())
		Expect(d.Get("e1@10")).To(BeNil())
		d.SetList(3, []fleet.Upstream{at("e1@10", 3), at("e2@20", 2)}, time.Now())
		Expect(d.Get("e1@10")).To(BeNil())
		Expect(d.Get("e2@20")).NotTo(BeNil())
		By("but the later write counts where a start is not known")
		d.SetList(4, []fleet.Upstream{at("e1@10", 3), at("e3", 4)}, time.Now())
		Expect(d.Get("e1@10")).To(BeNil())
		Expect(d.Get("e3")).NotTo(BeNil())
	})

	It("has nothing of its former incarnation, which is removed at once, whatever the new address", func() {
		d := fleet.New()
		incarnation := func(startMillis, revision int64, address string) fleet.Upstream {
			upstream := engine(fleet.IncarnationID("e1", startMillis), revision)
			upstream.Address = address
			return upstream
		}
		d.SetList(1, []fleet.Upstream{incarnation(10, 1, "a:1")}, time.Now())
		d.Publish(3, "e1@10", fleet.Residency{Loaded: []string{"m1"}, Busy: true})
		Expect(d.Get("e1@10").Holds("m1")).To(BeTrue())
		d.MarkUnreachable("e1@10")
		changes := d.SetList(2, []fleet.Upstream{incarnation(20, 2, "a:2")}, time.Now())
		Expect(changes).To(HaveLen(2))
		Expect(d.Get("e1@10")).To(BeNil())
		Expect(d.Get("e1@20").Holds("m1")).To(BeFalse())
		Expect(d.Get("e1@20").Busy()).To(BeFalse())
		Expect(d.Unavailable("e1@20", "", "")).To(BeFalse())
		By("also when updates of the former incarnation come late")
		d.MergeResidency(3, map[string]fleet.Residency{"e1@10": {Sequence: 9, Loaded: []string{"m2"}}})
		Expect(d.Get("e1@20").Holds("m2")).To(BeFalse())
		Expect(d.Get("e1@10")).To(BeNil())
		By("and an older list does not bring it back")
		Expect(d.SetList(1, []fleet.Upstream{incarnation(10, 1, "a:1")}, time.Now())).To(BeEmpty())
		Expect(d.Get("e1@20")).NotTo(BeNil())
	})
})
