package fleet

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreymoor.example/ospreymoor/pkg/spectest"
)

var _ = Describe("an evacuated hall", func() {
	entry := func(id, hall string, revision int64) Upstream {
		return Upstream{ID: id, Service: "s", Hall: hall, Address: id + ":80", Revision: revision}
	}
	listed := func() *Directory {
		d := New()
		d.SetList(1, []Upstream{entry("a", "h1", 1), entry("b", "h2", 1)}, time.Now())
		return d
	}
	begin := func(d *Directory, id string) error {
		_, err := d.Begin(d.Get(id).Upstream)
		return err
	}

	It("gets nothing, whatever was chosen before, until the evacuation ends", func() {
		d := listed()
		chosen := d.Get("a").Upstream
		Expect(d.SetEvacuated(2, map[string]bool{"h1": true})).To(Equal(Evacuations{Begun: []string{"h1"}}))
		_, err := d.Begin(chosen)
		Expect(err).To(MatchError(ErrEvacuated))
		Expect(begin(d, "b")).To(Succeed())
		Expect(d.OfService("s")[0].TakesWork()).To(BeFalse())
		Expect(d.SetEvacuated(3, nil)).To(Equal(Evacuations{Ended: []string{"h1"}}))
		Expect(begin(d, "a")).To(Succeed())
		Expect(d.OfService("s")[0].TakesWork()).To(BeTrue())
	})

	It("is neither ended nor begun by an older copy of the store", func() {
		d := listed()
		d.SetEvacuated(5, map[string]bool{"h1": true})
		d.SetEvacuated(4, nil)
		Expect(begin(d, "a")).To(MatchError(ErrEvacuated))
		d.SetEvacuated(6, nil)
		d.SetEvacuated(5, map[string]bool{"h1": true})
		Expect(begin(d, "a")).To(Succeed())
	})

	It("applies to upstreams that join, are written again, get a residency or lapse during it", func() {
		spectest.Bubble(func() {
			d := New()
			d.SetEvacuated(1, map[string]bool{"h1": true})
			d.SetList(1, []Upstream{entry("a", "h1", 1), entry("b", "h2", 1)}, time.Now())
			Expect(begin(d, "a")).To(MatchError(ErrEvacuated))
			d.SetList(2, []Upstream{entry("a", "h1", 2)}, time.Now())
			d.MergeResidency(1, map[string]Residency{"a": {Sequence: 1, Loaded: []string{"m"}}})
			Expect(d.Get("a").Evacuated).To(BeTrue())
			d.SetList(3, nil, time.Now())
			Expect(d.Get("a").Evacuated).To(BeTrue())
			Expect(begin(d, "a")).To(MatchError(ErrEvacuated))
		})
	})

	It("is counted, also without upstreams, and when all halls are evacuated", func() {
		d := listed()
		Expect(d.SetEvacuated(2, map[string]bool{"nowhere": true}).Begun).To(Equal([]string{"nowhere"}))
		evacuated, left := d.CountEvacuated()
		Expect([]int{evacuated, left}).To(Equal([]int{0, 2}))
		d.SetEvacuated(3, map[string]bool{"h1": true, "h2": true})
		evacuated, left = d.CountEvacuated()
		Expect([]int{evacuated, left}).To(Equal([]int{2, 0}))
	})
})
