package fleet_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreymoor.example/ospreymoor/pkg/fleet"
	"ospreymoor.example/ospreymoor/pkg/spectest"
)

func TestFleet(t *testing.T) { spectest.Run(t, "Fleet") }

func engine(id string, revision int64, models ...string) fleet.Upstream {
	upstream := fleet.Upstream{ID: id, Service: "s", Revision: revision}
	for _, model := range models {
		upstream.Models = append(upstream.Models, fleet.Holding{Model: model})
	}
	return upstream
}

var _ = Describe("a directory", func() {
	var d *fleet.Directory
	BeforeEach(func() {
		d = fleet.New()
		d.SetList(10, []fleet.Upstream{engine("e1", 8, "m1", "m2"), engine("e2", 9)}, time.Time{})
	})

	It("returns which upstreams joined, are leaving and were removed, and ignores older lists", func() {
		leaving := engine("e1", 11, "m1", "m2")
		leaving.Leaving, leaving.EndsAfter = true, 2*time.Second
		changes := d.SetList(12, []fleet.Upstream{leaving, engine("e3", 12)}, time.Time{})
		kinds := map[string]fleet.ChangeKind{}
		for _, change := range changes {
			kinds[change.Upstream.ID] = change.Kind
		}
		Expect(kinds).To(Equal(map[string]fleet.ChangeKind{"e1": fleet.Leaving, "e2": fleet.Removed, "e3": fleet.Joined}))
		Expect(d.SetList(11, nil, time.Time{})).To(BeEmpty())
		Expect(d.OfService("s")).To(HaveLen(2))
	})

	It("merges what the order holder publishes; the newest term and sequence take precedence", func() {
		d.MergeResidency(5, map[string]fleet.Residency{"e1": {
			Sequence: 2, Withdrawn: []string{"m1"}, Loaded: []string{"m3"}, Dropped: []string{"m2"},
			Adapters: map[string][]string{"m3": {"a1"}},
		}})
		state := d.Get("e1")
		Expect([]bool{state.Holds("m1"), state.Holds("m2"), state.Holds("m3")}).To(Equal([]bool{false, false, true}))
		Expect(state.HoldsAdapter("m3", "a1")).To(BeTrue())
		Expect(state.HoldsAdapter("m3", "a2")).To(BeFalse())
		d.MergeResidency(5, map[string]fleet.Residency{"e1": {Sequence: 1}})
		Expect(d.Get("e1").Holds("m1")).To(BeFalse())
		d.MergeResidency(4, map[string]fleet.Residency{"e1": {Sequence: 9}})
		Expect(d.Get("e1").Holds("m1")).To(BeFalse())
		d.MergeResidency(6, map[string]fleet.Residency{"e1": {Sequence: 1}})
		Expect(d.Get("e1").Holds("m1")).To(BeTrue())
		Expect(fleet.Version{Term: 5, Sequence: 9}.Before(d.Version())).To(BeTrue())
	})

	It("passes on only the updates that a peer lacks, and loses none of them", func() {
		peer := fleet.New()
		peer.SetList(10, []fleet.Upstream{engine("e1", 8, "m1", "m2"), engine("e2", 9)}, time.Time{})
		catchUp := func() map[string]fleet.Residency {
			update := d.UpdateSince(peer.Version())
			if update == nil {
				return nil
			}
			peer.Apply(*update)
			return update.Engines
		}
		d.Publish(5, "e1", fleet.Residency{Busy: true})
		d.Publish(5, "e2", fleet.Residency{Busy: true})
		Expect(catchUp()).To(HaveLen(2))
		Expect(catchUp()).To(BeNil())
		d.Publish(5, "e1", fleet.Residency{Loaded: []string{"m3"}})
		sequence := d.Publish(5, "e2", fleet.Residency{Loaded: []string{"m3"}})
		// A residency that arrives ahead of its update must not hide the updates before it.
		peer.MergeResidency(5, map[string]fleet.Residency{"e2": {Loaded: []string{"m3"}, Sequence: sequence}})
		Expect(peer.Get("e2").Holds("m3")).To(BeTrue())
		Expect(peer.Get("e1").Holds("m3")).To(BeFalse())
		Expect(catchUp()).To(HaveLen(2))
		Expect(peer.Get("e1").Holds("m3")).To(BeTrue())
		d.Publish(7, "e1", fleet.Residency{})
		Expect(d.Publish(6, "e1", fleet.Residency{Loaded: []string{"m4"}})).To(BeZero())
		Expect(catchUp()).To(HaveLen(1))
		Expect(peer.Get("e1").Holds("m3")).To(BeFalse())
		// The new order holder has published nothing about this engine yet: the former one's residency stays.
		Expect(peer.Get("e2").Holds("m3")).To(BeTrue())
	})

	It("drops an upstream at whose address a newer one is listed", func() {
		old, restarted := engine("e1", 11, "m1"), engine("e9", 12)
		old.Address, restarted.Address = "10.0.0.1:1", "10.0.0.1:1"
		Expect(d.SetList(11, []fleet.Upstream{old}, time.Time{})).NotTo(BeEmpty())
		d.SetList(12, []fleet.Upstream{restarted, old}, time.Time{})
		Expect(d.Get("e1")).To(BeNil())
		Expect(d.Get("e9")).NotTo(BeNil())
		d.SetList(13, []fleet.Upstream{old, restarted}, time.Time{})
		Expect(d.Get("e1")).To(BeNil())
	})

	It("uses an upstream for a short time after its entry lapsed, unless it was leaving or was replaced", func() {
		spectest.Bubble(func() {
			d := fleet.New()
			at := func(id, address string, leaving bool) fleet.Upstream {
				upstream := engine(id, 8, "m1")
				upstream.Address, upstream.Leaving = address, leaving
				return upstream
			}
			list := []fleet.Upstream{at("lives", "a:1", false), at("crashed", "a:2", false), at("restarted", "a:3", false), at("left", "a:4", true)}
			d.SetList(8, list, time.Time{})
			d.Publish(1, "lives", fleet.Residency{Loaded: []string{"m2"}})
			current := time.Now()
			time.Sleep(400 * time.Millisecond)
			again := at("again", "a:3", false)
			again.Revision = 9
			d.SetList(9, []fleet.Upstream{again}, current)
			present := func() []string {
				var ids []string
				for _, state := range d.OfService("s") {
					ids = append(ids, state.ID)
				}
				return ids
			}
			Expect(present()).To(Equal([]string{"again", "crashed", "lives"}))
			d.Publish(1, "crashed", fleet.Residency{Loaded: []string{"m2"}})
			time.Sleep(900 * time.Millisecond)
			Expect(d.DropLapsed()).To(BeEmpty())
			Expect(d.SetList(9, []fleet.Upstream{again}, time.Now())).To(BeEmpty())
			back := at("lives", "a:1", false)
			back.Revision = 10
			Expect(d.SetList(10, []fleet.Upstream{again, back}, time.Now())).To(BeEmpty())
			Expect(d.Get("lives").Holds("m2")).To(BeTrue())
			time.Sleep(300 * time.Millisecond)
			Expect(d.DropLapsed()).To(HaveLen(1))
			Expect(present()).To(Equal([]string{"again", "lives"}))
			By("but not where the list was out of date already")
			d.SetList(11, []fleet.Upstream{again}, time.Now().Add(-2*time.Second))
			Expect(present()).To(Equal([]string{"again"}))
		})
	})

	// A hall was cut off for 5.5 s. As it came back, each of its boxes learned that the entries of all upstreams
	// beside it had lapsed, and sent them nothing for 0.5 to 1.5 s, until they were written again: 42 of 42 at one
	// site.
	It("goes on using what was cut off with this box, until it is listed again or for a short time", func() {
		spectest.Bubble(func() {
			d := fleet.New()
			var list []fleet.Upstream
			for _, id := range []string{"back", "gone", "left", "replaced"} {
				upstream := engine(id, 8, "m1")
				upstream.Address, upstream.Leaving = id+":1", id == "left"
				list = append(list, upstream)
			}
			d.SetList(8, list, time.Time{})
			current := time.Now()
			time.Sleep(5500 * time.Millisecond)
			present := func() []string {
				var ids []string
				for _, state := range d.OfService("s") {
					if state.Usable(time.Now()) {
						ids = append(ids, state.ID)
					}
				}
				return ids
			}
			successor := engine("successor", 8, "m1")
			successor.Address, successor.Revision = "replaced:1", 9
			d.SetList(9, []fleet.Upstream{successor}, current)
			Expect(present()).To(Equal([]string{"back", "gone", "successor"}), "what was leaving or is replaced is not")
			time.Sleep(time.Second)
			back := list[0]
			back.Revision = 10
			d.SetList(10, []fleet.Upstream{successor, back}, time.Now())
			Expect(present()).To(Equal([]string{"back", "gone", "successor"}))
			time.Sleep(500 * time.Millisecond)
			d.DropLapsed()
			Expect(present()).To(Equal([]string{"back", "successor"}))
		})
	})

	It("sends nothing to an upstream for longer after each failed connection in a row", func() {
		spectest.Bubble(func() {
			span := func() time.Duration {
				d.MarkUnreachable("e1")
				d.MarkUnreachable("e1") // A concurrent attempt does not count.
				begun := time.Now()
				for d.Unavailable("e1", "", "") {
					time.Sleep(10 * time.Millisecond)
				}
				return time.Since(begun)
			}
			Expect([]time.Duration{span(), span(), span(), span()}).To(Equal([]time.Duration{
				500 * time.Millisecond, time.Second, 2 * time.Second, 2 * time.Second}))
			d.MarkReachable("e1")
			Expect(span()).To(Equal(500 * time.Millisecond))
		})
	})

	It("marks for a while what an engine lacks, and an upstream that can't be reached", func() {
		spectest.Bubble(func() {
			d.MarkMissing("e1", "m1", "a1")
			Expect(d.Unavailable("e1", "m1", "a1")).To(BeTrue())
			Expect(d.Unavailable("e1", "m1", "a2")).To(BeFalse())
			d.MarkUnreachable("e2")
			Expect(d.Unavailable("e2", "any", "")).To(BeTrue())
			d.MarkMissing("e2", "", "")
			Expect(d.Unavailable("e2", "any", "")).To(BeTrue())
		})
	})
})
