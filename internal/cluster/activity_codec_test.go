package cluster

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreymoor.example/ospreymoor/pkg/dispatch"
	"ospreymoor.example/ospreymoor/pkg/residency"
)

// activityOf is activity of a number of upstreams and prompts.
func activityOf(upstreams, prompts int) activity {
	random := rand.New(rand.NewPCG(1, 2))
	told := activity{Summary: &loadSummary{Boxes: 49, StoreLost: 2, Loads: map[string]dispatch.Load{}}}
	told.Observations.Outcomes = map[string]dispatch.Outcomes{}
	for n := range upstreams {
		id := fmt.Sprintf("i-%010x", n*7919)
		told.Summary.Loads[id] = dispatch.Load{Running: random.IntN(48), Tokens: random.IntN(250000), Waiting: random.IntN(9), Prefill: [dispatch.UrgencyLevels]int{random.IntN(9000), 0, random.IntN(90000)}}
		told.Observations.Outcomes[id] = dispatch.Outcomes{Succeeded: random.IntN(9), Failed: random.IntN(2)}
	}
	for n := range prompts {
		prompt := dispatch.SentPrompt{Upstream: fmt.Sprintf("i-%010x", n%max(1, upstreams)*7919)}
		for range 2 {
			prompt.Blocks = append(prompt.Blocks, dispatch.PrefixBlock{Key: random.Uint64(), Tokens: random.IntN(9000)})
		}
		told.Observations.Prompts = append(told.Observations.Prompts, prompt)
		told.Summary.Uses = append(told.Summary.Uses, residency.ModelUse{Upstream: prompt.Upstream, Model: fmt.Sprint("m", n), Adapter: "a1", Running: n})
		key := residency.WorkKey{ModelKey: residency.ModelKey{Service: "s", Model: fmt.Sprint("m", n)}, Patient: n%2 == 0}
		told.Work = append(told.Work, workItem{WorkKey: key, Milliseconds: random.Float64() * 1000})
	}
	return told
}

var _ = Describe("the binary form of activity", func() {
	DescribeTable("is read as it was written", func(told activity) {
		Expect(decodeActivity(told.encode())).To(Equal(told))
	},
		Entry("with nothing in it", activity{}),
		Entry("with a summary of nothing", activity{Summary: &loadSummary{Boxes: 1}}),
		Entry("with negative numbers", activity{Summary: &loadSummary{Boxes: -1, Loads: map[string]dispatch.Load{"": {Running: -3}}}}),
		Entry("of a large fleet", activityOf(240, 40)),
	)

	It("is refused with an error where it is cut off, or goes on behind its end", func() {
		told := activityOf(3, 2)
		whole := told.encode()
		for length := range whole {
			_, err := decodeActivity(whole[:length])
			Expect(err).To(MatchError(errActivity))
		}
		_, err := decodeActivity(append(whole, 0))
		Expect(err).To(MatchError(errActivity))
	})

	It("is sent to boxes that read it, and JSON to the others", func() {
		e := relayOf(240, 0)
		e.Members.report("n01", message{Scope: memberScope, Summary: &loadSummary{}, ReadsBinary: true})
		e.Members.report("n02", message{Scope: memberScope, Summary: &loadSummary{}})
		binary, plain := e.messageTo("n01", fleetScope), e.messageTo("n02", fleetScope)
		Expect(binary.ReadsBinary).To(BeTrue())
		Expect(binary.Summary).To(BeNil())
		Expect(binary.BinaryActivity).NotTo(BeEmpty())
		Expect(plain.BinaryActivity).To(BeNil())
		Expect(binary.unpackActivity()).To(Succeed())
		Expect(binary.Summary.Loads).To(Equal(plain.Summary.Loads))
		broken := message{BinaryActivity: []byte{activityForm + 1}}
		Expect(broken.unpackActivity()).To(MatchError(errActivity))
	})
})

var _ = Describe("streams that paused for too long", func() {
	It("are told to all boxes, whatever form they read", func() {
		e := relayOf(3, 0)
		e.Members.report("n01", message{Scope: memberScope, Summary: &loadSummary{}, ReadsBinary: true})
		e.Members.report("n02", message{Scope: memberScope, Summary: &loadSummary{}})
		e.Pending.collect(e.Loads, []target{{name: "n01"}, {name: "n02"}})
		paused := dispatch.Observations{Paused: map[string]int{"e1": 2}}
		e.Pending.forward("n03", memberScope, paused, nil)
		e.Pending.forward("n04", memberScope, paused, nil)
		for _, name := range []string{"n01", "n02"} {
			told := e.messageTo(name, fleetScope)
			Expect(told.unpackActivity()).To(Succeed())
			Expect(told.Observations.Paused).To(Equal(map[string]int{"e1": 4}))
			By("once")
			again := e.messageTo(name, fleetScope)
			Expect(again.unpackActivity()).To(Succeed())
			Expect(again.Observations.Paused).To(BeEmpty())
		}
	})
})

func FuzzActivity(f *testing.F) {
	small, none := activityOf(3, 2), activity{}
	f.Add(small.encode())
	f.Add(none.encode())
	f.Add([]byte{activityForm, 2, 0, 0, 0xff, 0xff, 0xff, 0x7f})
	f.Fuzz(func(t *testing.T, bytes []byte) {
		told, err := decodeActivity(bytes)
		if err != nil {
			return
		}
		again, err := decodeActivity(told.encode())
		if err != nil {
			t.Fatalf("what was read cannot be written and read again: %v", err)
		}
		if len(again.Observations.Prompts) != len(told.Observations.Prompts) || len(again.Work) != len(told.Work) {
			t.Fatal("what was read is not what is written")
		}
	})
}

// BenchmarkActivity takes the activity of a large fleet in both forms, as a relay encodes it and its hall decodes it.
func BenchmarkActivity(b *testing.B) {
	told := activityOf(240, 40)
	text, err := json.Marshal(told)
	if err != nil {
		b.Fatal(err)
	}
	packed, err := pack(text)
	if err != nil {
		b.Fatal(err)
	}
	encoded := told.encode()
	b.Run("encode/JSON", func(b *testing.B) {
		for b.Loop() {
			text, _ := json.Marshal(told)
			_, _ = pack(text)
		}
		b.ReportMetric(float64(len(packed)), "bytes")
	})
	b.Run("encode/binary", func(b *testing.B) {
		for b.Loop() {
			told.encode()
		}
		b.ReportMetric(float64(len(encoded)), "bytes")
	})
	b.Run("decode/JSON", func(b *testing.B) {
		for b.Loop() {
			message := message{PackedActivity: packed}
			_ = message.unpackActivity()
		}
	})
	b.Run("decode/binary", func(b *testing.B) {
		for b.Loop() {
			_, _ = decodeActivity(encoded)
		}
	})
}
