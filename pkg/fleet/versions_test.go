package fleet

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreymoor.example/ospreymoor/pkg/spectest"
)

var _ = Describe("the software versions of a service", func() {
	upstream := func(id, version string, revision int64) Upstream {
		return Upstream{ID: id, Service: "s", Address: id, SoftwareVersion: version, Revision: revision}
	}

	It("are several until the retention of one without upstreams is over", func() {
		spectest.Bubble(func() {
			d := New()
			d.SetList(1, []Upstream{upstream("a", "v1", 1)}, time.Now())
			Expect(d.MixedVersions("s")).To(BeFalse())
			Expect(d.MixedServices()).To(BeEmpty())
			d.SetList(2, []Upstream{upstream("a", "v1", 1), upstream("b", "v2", 2)}, time.Now())
			Expect(d.MixedVersions("s")).To(BeTrue())
			Expect(d.MixedVersions("t")).To(BeFalse())
			d.SetList(3, []Upstream{upstream("b", "v2", 2)}, time.Now())
			time.Sleep(lapseGrace)
			d.DropLapsed()
			time.Sleep(VersionRetention - time.Second)
			Expect(d.MixedServices()).To(Equal([]string{"s"}))
			time.Sleep(time.Second)
			Expect(d.MixedVersions("s")).To(BeFalse())
		})
	})

	It("follow an entry that changes its version, and one that another box knows of", func() {
		spectest.Bubble(func() {
			d := New()
			d.SetList(1, []Upstream{upstream("a", "v1", 1)}, time.Now())
			time.Sleep(VersionRetention)
			d.SetList(2, []Upstream{upstream("a", "v2", 2)}, time.Now())
			Expect(d.MixedVersions("s")).To(BeTrue())
			time.Sleep(VersionRetention)
			Expect(d.MixedVersions("s")).To(BeFalse())
			d.RecordVersion("s", "v1")
			Expect(d.MixedVersions("s")).To(BeTrue())
			time.Sleep(VersionRetention)
			Expect(d.MixedVersions("s")).To(BeFalse())
		})
	})

	It("have a sole one before if each other one is new", func() {
		spectest.Bubble(func() {
			d := New()
			d.SetList(1, []Upstream{upstream("a", "v1", 1)}, time.Now())
			_, known := d.SoleVersionBefore("s", 3*time.Second)
			Expect(known).To(BeFalse(), "this box knows no version for long enough")
			time.Sleep(10 * time.Second)
			d.SetList(2, []Upstream{upstream("a", "v1", 1), upstream("b", "v2", 2)}, time.Now())
			time.Sleep(2 * time.Second)
			version, known := d.SoleVersionBefore("s", 3*time.Second)
			Expect(known).To(BeTrue())
			Expect(version).To(Equal("v1"))
			time.Sleep(time.Second)
			_, known = d.SoleVersionBefore("s", 3*time.Second)
			Expect(known).To(BeFalse())
		})
	})

	// A box that started again learned of two versions a moment apart, and took the first one for the only one before.
	It("have no sole one before if a box that has just started learned of several", func() {
		spectest.Bubble(func() {
			d := New()
			d.RecordVersion("s", "v1")
			time.Sleep(50 * time.Millisecond)
			d.SetList(1, []Upstream{upstream("b", "v2", 1)}, time.Now())
			for range 400 {
				_, known := d.SoleVersionBefore("s", 3*time.Second)
				Expect(known).To(BeFalse())
				time.Sleep(10 * time.Millisecond)
			}
		})
	})

	It("that others report are bounded", func() {
		d := New()
		for n := range 1000 {
			d.RecordVersion("s", fmt.Sprint(n))
		}
		Expect(len(d.versions["s"])).To(Equal(maxVersions))
	})
})
