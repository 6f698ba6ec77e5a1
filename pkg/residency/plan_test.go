package residency_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"ospreymoor.example/ospreymoor/pkg/residency"
	"ospreymoor.example/ospreymoor/pkg/spectest"
)

func TestResidency(t *testing.T) { spectest.Run(t, "Residency") }

func planInput() residency.PlanInput {
	return residency.PlanInput{Megabytes: 220, MoveCost: 0.03, Moves: 4, StoreLoads: 4}
}

func planModel(name string, demand float64) residency.PlanModel {
	return residency.PlanModel{Name: name, Megabytes: 72, Demand: demand}
}

var _ = Describe("a plan", func() {
	It("first loads a model that was requested while no engine held it", func() {
		in := planInput()
		in.Moves = 1
		in.Engines = []residency.PlanEngine{{ID: "e1", Usable: true}}
		missed := planModel("z", 0)
		missed.Missed = true
		in.Models = []residency.PlanModel{planModel("a", 0.5), missed}
		moves := residency.Plan(in)
		Expect(moves).To(HaveLen(1))
		Expect(moves[0].Model).To(Equal("z"))
	})

	It("loads a model in the halls that its requests are restricted to, though an engine elsewhere holds it", func() {
		in := planInput()
		in.Moves = 1
		in.Engines = []residency.PlanEngine{
			{ID: "e1", Hall: "h1", Usable: true, Models: []string{"m"}},
			{ID: "e2", Hall: "h2", Usable: true},
			{ID: "e3", Hall: "h3", Usable: true},
		}
		bound := planModel("m", 0)
		bound.Missed, bound.Halls = true, []string{"h3"}
		in.Models = []residency.PlanModel{bound}
		moves := residency.Plan(in)
		Expect(moves).To(HaveLen(1))
		Expect(moves[0].Engine).To(Equal("e3"))
		in.Engines[2].Models = []string{"m"}
		Expect(residency.Plan(in)).To(BeEmpty())
	})

	It("loads a model at the software version of streams that go on there, though an engine of another one holds it", func() {
		in := planInput()
		in.Moves = 1
		in.Engines = []residency.PlanEngine{
			{ID: "e1", Usable: true, SoftwareVersion: "v2", Models: []string{"m"}},
			{ID: "e2", Usable: true, SoftwareVersion: "v2"},
			{ID: "e3", Usable: true, SoftwareVersion: "v1"},
		}
		bound := planModel("m", 0)
		bound.Missed, bound.SoftwareVersion = true, "v1"
		in.Models = []residency.PlanModel{bound}
		moves := residency.Plan(in)
		Expect(moves).To(HaveLen(1))
		Expect(moves[0].Engine).To(Equal("e3"))
		in.Engines[2].Models = []string{"m"}
		Expect(residency.Plan(in)).To(BeEmpty())
	})

	It("never evicts the last loaded replica, though another one is being loaded", func() {
		in := planInput()
		in.Engines = []residency.PlanEngine{
			{ID: "e1", Usable: true, Models: []string{"a", "b", "c"}},
			{ID: "e2", Usable: false, Models: []string{"d"}, Loading: "a"},
		}
		in.Models = []residency.PlanModel{planModel("a", 0), planModel("b", 0), planModel("c", 0), planModel("d", 3)}
		for _, move := range residency.Plan(in) {
			Expect(move.Evictions).NotTo(ContainElement("a"))
		}
	})

	It("adds replicas of busy models and evicts spare ones of idle models", func() {
		in := planInput()
		in.Engines = []residency.PlanEngine{
			{ID: "e1", Hall: "z1", Usable: true, Models: []string{"busy", "quiet", "x"}},
			{ID: "e2", Hall: "z2", Usable: true, Models: []string{"quiet", "y", "z"}},
		}
		in.Models = []residency.PlanModel{planModel("busy", 1.2), planModel("quiet", 0), planModel("x", 0), planModel("y", 0), planModel("z", 0)}
		moves := residency.Plan(in)
		Expect(moves).To(HaveLen(1))
		Expect(moves[0].Engine).To(Equal("e2"))
		Expect(moves[0].Model).To(Equal("busy"))
		Expect(moves[0].Evictions).To(Equal([]string{"quiet"}))
	})

	It("moves nothing where the benefit is small, and evicts no model that was just loaded", func() {
		in := planInput()
		in.Engines = []residency.PlanEngine{
			{ID: "e1", Usable: true, Models: []string{"a"}},
			{ID: "e2", Usable: true, Models: []string{"b", "c", "d"}, Fresh: map[string]bool{"b": true, "c": true, "d": true}},
		}
		in.Models = []residency.PlanModel{planModel("a", 0.1), planModel("b", 0.1), planModel("c", 0), planModel("d", 0)}
		Expect(residency.Plan(in)).To(BeEmpty())
	})

	It("makes no more loads from the weight store than allowed", func() {
		in := planInput()
		in.StoreLoads = 1
		in.Engines = []residency.PlanEngine{{ID: "e1", Usable: true}, {ID: "e2", Usable: true}, {ID: "e3", Usable: true, Copies: map[string]time.Duration{"c": time.Second}}}
		in.Models = []residency.PlanModel{planModel("a", 0.1), planModel("b", 0.1), planModel("c", 0)}
		fromStore := 0
		for _, move := range residency.Plan(in) {
			if !move.FromCopy {
				fromStore++
			}
		}
		Expect(fromStore).To(Equal(1))
	})

	It("reserves loads from the weight store for requested models", func() {
		in := planInput()
		in.Engines = []residency.PlanEngine{{ID: "e1", Usable: true}, {ID: "e2", Usable: true}, {ID: "e3", Usable: true}, {ID: "e4", Usable: true}}
		in.Models = []residency.PlanModel{planModel("a", 0), planModel("b", 0), planModel("c", 0)}
		in.StoreLoads = 2
		Expect(residency.Plan(in)).To(BeEmpty())
		in.StoreLoads = 4
		Expect(residency.Plan(in)).To(HaveLen(2))
		By("loading a model with a copy only once it is requested, and then without a load from the store")
		in.Engines[2].Copies = map[string]time.Duration{"c": time.Second}
		for _, move := range residency.Plan(in) {
			Expect(move.Model).NotTo(Equal("c"))
		}
		in.StoreLoads = 0
		in.Models[2].Missed = true
		moves := residency.Plan(in)
		Expect(moves).To(HaveLen(1))
		Expect(moves[0].Engine).To(Equal("e3"))
		in.Models[2].Missed = false
		By("adding a replica of a very busy model before the first one of a rarely requested model")
		in.StoreLoads = 1
		in.Engines[0].Models = []string{"busy"}
		rare := planModel("a", 0.01)
		rare.Missed = true
		in.Models = append(in.Models[1:], rare, planModel("busy", 3))
		Expect(residency.Plan(in)[0].Model).To(Equal("busy"))
		By("adding the first replica of an often requested model before that")
		in.Models[2].Demand = 1.5
		Expect(residency.Plan(in)[0].Model).To(Equal("a"))
	})

	It("prefers a hall that has no replica of a busy model, by a quarter of the model's demand", func() {
		in := planInput()
		in.Moves = 1
		in.Engines = []residency.PlanEngine{
			{ID: "e1", Hall: "z1", Usable: true, Models: []string{"busy"}},
			{ID: "e2", Hall: "z1", Usable: true},
			{ID: "e3", Hall: "z2", Usable: true},
		}
		in.Models = []residency.PlanModel{planModel("busy", 1)}
		moves := residency.Plan(in)
		Expect(moves).To(HaveLen(1))
		Expect(moves[0].Engine).To(Equal("e3"))
		// The squared work falls from 1 to a half, beside 0.25 for the hall, less 0.35 of the move's cost.
		Expect(moves[0].Benefit).To(BeNumerically("~", 0.5+0.25-0.35*0.03, 1e-12))
		By("giving no bonus for a hall that has a replica")
		in.Engines[2].Hall = "z1"
		moves = residency.Plan(in)
		Expect(moves).To(HaveLen(1))
		Expect(moves[0].Benefit).To(BeNumerically("~", 0.5-0.35*0.03, 1e-12))
		By("moving for the bonus where the model's work alone does not justify a move")
		in.Models[0].Demand = 0.1
		Expect(residency.Plan(in)).To(BeEmpty())
		in.Engines[2].Hall = "z2"
		moves = residency.Plan(in)
		Expect(moves).To(HaveLen(1))
		Expect(moves[0].Engine).To(Equal("e3"))
		Expect(moves[0].Benefit).To(BeNumerically("~", 0.005+0.025-0.35*0.03, 1e-12))
	})

	It("subtracts a quarter of a model's demand for evicting its last replica in a hall", func() {
		in := planInput()
		in.Megabytes, in.Moves = 72, 1
		in.Engines = []residency.PlanEngine{
			{ID: "e1", Hall: "z1", Usable: true, Models: []string{"busy"}},
			{ID: "e2", Hall: "z2", Usable: true, Models: []string{"other"}},
			{ID: "e3", Hall: "z2", Models: []string{"other"}},
		}
		in.Models = []residency.PlanModel{planModel("busy", 1), planModel("other", 0.4)}
		// The squared work is 1, 0.04 and 0.04 before, and 0.25, 0.25 and 0.16 after the move.
		// The move takes 0.65 s for the eviction, of a horizon of 5 s.
		const discount = 5 / 5.65
		const value = (1.08-0.66+0.25)*discount - 0.03
		moves := residency.Plan(in)
		Expect(moves).To(HaveLen(1))
		Expect(moves[0].Engine).To(Equal("e2"))
		Expect(moves[0].Evictions).To(Equal([]string{"other"}))
		Expect(moves[0].Benefit).To(BeNumerically("~", value, 1e-12))
		in.Engines[2].Hall = "z1"
		moves = residency.Plan(in)
		Expect(moves).To(HaveLen(1))
		Expect(moves[0].Engine).To(Equal("e2"))
		Expect(moves[0].Benefit).To(BeNumerically("~", value-0.25*0.4*discount, 1e-12))
	})

	It("evicts a last replica only if the model is not requested and the engine keeps a copy, patient models first", func() {
		in := planInput()
		in.Megabytes, in.Moves = 144, 1
		in.Engines = []residency.PlanEngine{
			{ID: "e1", Usable: true, Models: []string{"busy"}},
			{ID: "e2", Usable: true, Models: []string{"a", "b"}},
		}
		in.Engines[0].Models = append(in.Engines[0].Models, "c")
		in.Models = []residency.PlanModel{planModel("busy", 3), planModel("a", 0), planModel("b", 0), planModel("c", 0)}
		Expect(residency.Plan(in)).To(BeEmpty())
		in.Engines[1].Copies = map[string]time.Duration{"a": time.Second, "b": time.Second}
		in.Models[2].Patient = true
		moves := residency.Plan(in)
		Expect(moves).To(HaveLen(1))
		Expect(moves[0].Evictions).To(Equal([]string{"b"}))
		in.Models[1].Demand, in.Models[2].Missed = 0.01, true
		Expect(residency.Plan(in)).To(BeEmpty())
	})

	It("prefers the engine that can serve soonest: one with a copy, and without running requests to wait for", func() {
		in := planInput()
		in.Megabytes, in.Moves = 72, 1
		busy := planModel("busy", 3)
		busy.LoadTime = 6 * time.Second
		in.Models = []residency.PlanModel{busy, planModel("x", 0)}
		in.Engines = []residency.PlanEngine{
			{ID: "e1", Usable: true, Models: []string{"busy"}},
			{ID: "e2", Usable: true, Models: []string{"x"}, Running: map[string]int{"x": 1}},
			{ID: "e3", Usable: true, Models: []string{"x"}},
			{ID: "e4", Usable: true, Models: []string{"x"}},
		}
		Expect(residency.Plan(in)[0].Engine).To(Equal("e3"))
		in.Engines[3].Copies = map[string]time.Duration{"busy": time.Second}
		move := residency.Plan(in)[0]
		Expect(move.Engine).To(Equal("e4"))
		Expect(move.FromCopy).To(BeTrue())
		Expect(move.LoadTime).To(Equal(time.Second))
	})

	It("never overfills an engine or loses a model, whatever the demand", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			in := planInput()
			models := rapid.IntRange(1, 12).Draw(t, "models")
			for n := range models {
				in.Models = append(in.Models, residency.PlanModel{
					Name: fmt.Sprint("m", n), Megabytes: rapid.Float64Range(30, 120).Draw(t, "size"),
					Demand: rapid.Float64Range(0, 2).Draw(t, "demand"), Missed: rapid.Bool().Draw(t, "missed"),
				})
			}
			size := map[string]float64{}
			for _, model := range in.Models {
				size[model.Name] = model.Megabytes
			}
			held := map[string]int{}
			for n := range rapid.IntRange(1, 6).Draw(t, "engines") {
				e := residency.PlanEngine{ID: fmt.Sprint("e", n), Hall: fmt.Sprint("z", n%2), Usable: rapid.Bool().Draw(t, "usable"), Leaving: rapid.Bool().Draw(t, "leaving")}
				free := in.Megabytes
				for m := range models {
					name := fmt.Sprint("m", m)
					if rapid.Bool().Draw(t, "holds") && free >= size[name] {
						e.Models = append(e.Models, name)
						free -= size[name]
						if !e.Leaving {
							held[name]++
						}
					}
				}
				in.Engines = append(in.Engines, e)
			}
			for _, move := range residency.Plan(in) {
				used := size[move.Model]
				for _, e := range in.Engines {
					if e.ID != move.Engine {
						continue
					}
					if !e.Usable || e.Leaving {
						t.Fatalf("move on engine %+v", e)
					}
					for _, name := range e.Models {
						used += size[name]
					}
				}
				for _, name := range move.Evictions {
					used -= size[name]
					held[name]--
					if held[name] < 1 {
						t.Fatalf("last replica of %s lost by %+v", name, move)
					}
				}
				if used > in.Megabytes {
					t.Fatalf("%.0f MB on %s", used, move.Engine)
				}
			}
		})
	})
})
