package fleet

import (
	"fmt"
	"slices"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// currentIDs returns the ids of a list's current entries: the later one where two have the same address.
func currentIDs(list map[string]Upstream) []string {
	var live []string
	for id, entry := range list {
		replaced := false
		for _, other := range list {
			replaced = replaced || other.Address == entry.Address && other.replaces(&entry)
		}
		if !replaced {
			live = append(live, id)
		}
	}
	slices.Sort(live)
	return live
}

// expectIndexed fails unless the lists by service and by model match the states.
func expectIndexed(t *rapid.T, d *Directory) {
	services, models := map[string][]string{}, map[modelKey][]string{}
	for id, state := range d.states {
		services[state.Service] = append(services[state.Service], id)
		for _, model := range state.servableModels() {
			models[model] = append(models[model], id)
		}
	}
	for service, want := range services {
		slices.Sort(want)
		if got := idsOf(d.OfService(service)); !slices.Equal(got, want) {
			t.Fatalf("service %s has %v, not %v", service, got, want)
		}
	}
	if len(d.holders) != len(models) {
		t.Fatalf("%d models are held, not %d", len(d.holders), len(models))
	}
	for model, want := range models {
		slices.Sort(want)
		list := d.Holders(model.service, model.model)
		if got := idsOf(list); !slices.Equal(got, want) {
			t.Fatalf("model %v is held by %v, not %v", model, got, want)
		}
		for _, state := range list {
			if state != d.states[state.ID] {
				t.Fatalf("model %v has an old state of %s", model, state.ID)
			}
		}
	}
}

func idsOf(list []*State) []string {
	var ids []string
	for _, state := range list {
		ids = append(ids, state.ID)
	}
	return ids
}

var _ = Describe("a list that changes by deltas", func() {
	It("ends in what a whole list gives, and is indexed by service and model", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			d := New()
			list := map[string]Upstream{}
			revision := int64(0)
			for range rapid.IntRange(1, 25).Draw(t, "changes") {
				change := ListChange{PreviousCurrentAt: time.Now()}
				for range rapid.IntRange(1, 4).Draw(t, "entries") {
					revision++
					id := IncarnationID(fmt.Sprint("e", rapid.IntRange(0, 5).Draw(t, "name")), int64(rapid.IntRange(0, 2).Draw(t, "start")))
					if rapid.IntRange(0, 3).Draw(t, "dropped") == 0 {
						delete(list, id)
						change.Dropped = append(change.Dropped, id)
						change.Put = slices.DeleteFunc(change.Put, func(u Upstream) bool { return u.ID == id })
						continue
					}
					entry := Upstream{
						ID: id, Service: fmt.Sprint("s", rapid.IntRange(0, 1).Draw(t, "service")), Hall: fmt.Sprint("h", rapid.IntRange(0, 1).Draw(t, "hall")),
						Address: fmt.Sprint("10.0.0.", rapid.IntRange(1, 4).Draw(t, "address"), ":80"), Revision: revision,
						Models: []Holding{{Model: fmt.Sprint("m", rapid.IntRange(0, 2).Draw(t, "model"))}},
					}
					list[id] = entry
					change.Dropped = slices.DeleteFunc(change.Dropped, func(dropped string) bool { return dropped == id })
					change.Put = append(slices.DeleteFunc(change.Put, func(u Upstream) bool { return u.ID == id }), entry)
				}
				switch rapid.IntRange(0, 3).Draw(t, "other change") {
				case 0:
					d.SetEvacuated(revision, map[string]bool{"h0": rapid.Bool().Draw(t, "evacuated")})
				case 1:
					id := fmt.Sprint("e", rapid.IntRange(0, 5).Draw(t, "published"))
					d.Publish(1, id, Residency{Loaded: []string{"m7"}, Withdrawn: []string{"m0"}})
				}
				d.ChangeList(revision, change)
				expectIndexed(t, d)
			}
			var live []string
			for id, state := range d.states {
				if state.DropAt.IsZero() {
					live = append(live, id)
				}
			}
			slices.Sort(live)
			if want := currentIDs(list); !slices.Equal(live, want) {
				t.Fatalf("%v are listed, not %v", live, want)
			}
		})
	})

	It("leaves slices unchanged that were handed out before", func() {
		d := New()
		entry := func(id string, revision int64) Upstream {
			return Upstream{ID: id, Service: "s", Address: id, Revision: revision, Models: []Holding{{Model: "m"}}}
		}
		d.SetList(1, []Upstream{entry("a", 1), entry("b", 1)}, time.Now())
		before, holders := d.OfService("s"), d.Holders("s", "m")
		d.ChangeList(2, ListChange{Put: []Upstream{entry("aa", 2), entry("b", 2)}, Dropped: []string{"a"}})
		Expect(strings.Join(idsOf(before), " ")).To(Equal("a b"))
		Expect(strings.Join(idsOf(holders), " ")).To(Equal("a b"))
		Expect(before[1].Revision).To(Equal(int64(1)))
		Expect(strings.Join(idsOf(d.Holders("s", "m")), " ")).To(Equal("aa b"))
	})

	It("returns only what was published since a version, and keeps few entries for that", func() {
		d := New()
		for n := range 500 {
			d.Publish(1, fmt.Sprint("e", n%50), Residency{Busy: n%2 == 0})
		}
		Expect(len(d.published)).To(BeNumerically("<=", 2*50+publishedSlack))
		update := d.UpdateSince(Version{Term: 1, Sequence: 497})
		Expect(update.Engines).To(HaveLen(3))
		Expect(d.UpdateSince(Version{}).Engines).To(HaveLen(50))
		Expect(d.UpdateSince(Version{Term: 1, Sequence: 500})).To(BeNil())
		d.Publish(2, "e1", Residency{})
		Expect(d.UpdateSince(Version{Term: 1, Sequence: 499}).Engines).To(HaveLen(1))
	})
})
