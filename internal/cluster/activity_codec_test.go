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

// activityOf returns random activity with a number of upstreams and prompts.
func activityOf(upstreams, prompts int) activity {
	random := rand.New(rand.NewPCG(1, 2))
	act := activity{Summary: &loadSummary{Boxes: 49, StoreLost: 2, Loads: map[string]dispatch.Load{}}}
	act.Observations.Outcomes = map[string]dispatch.Outcomes{}
	for n := range upstreams {
		id := fmt.Sprintf("i-%010x", n*7919)
		act.Summary.Loads[id] = dispatch.Load{Running: random.IntN(48), Tokens: random.IntN(250000), Waiting: random.IntN(9), Prefill: [dispatch.UrgencyLevels]int{random.IntN(9000), 0, random.IntN(90000)}}
		act.Observations.Outcomes[id] = dispatch.Outcomes{Succeeded: random.IntN(9), Failed: random.IntN(2)}
	}
	for n := range prompts {
		prompt := dispatch.SentPrompt{Upstream: fmt.Sprintf("i-%010x", n%max(1, upstreams)*7919)}
		for range 2 {
			prompt.Blocks = append(prompt.Blocks, dispatch.PrefixBlock{Key: random.Uint64(), Tokens: random.IntN(9000)})
		}
		act.Observations.Prompts = append(act.Observations.Prompts, prompt)
		act.Summary.Uses = append(act.Summary.Uses, residency.ModelUse{Upstream: prompt.Upstream, Model: fmt.Sprint("m", n), Adapter: "a1", Running: n})
		key := residency.WorkKey{ModelKey: residency.ModelKey{Service: "s", Model: fmt.Sprint("m", n)}, Patient: n%2 == 0}
		act.Work = append(act.Work, workItem{WorkKey: key, Milliseconds: random.Float64() * 1000})
	}
	return act
}

var _ = Describe("the binary format of activity", func() {
	DescribeTable("decodes to what was encoded", func(act activity) {
		Expect(decodeActivity(act.encode())).To(Equal(act))
	},
		Entry("when empty", activity{}),
		Entry("with a summary without loads", activity{Summary: &loadSummary{Boxes: 1}}),
		Entry("with negative numbers", activity{Summary: &loadSummary{Boxes: -1, Loads: map[string]dispatch.Load{"": {Running: -3}}}}),
		Entry("of a large fleet", activityOf(240, 40)),
	)

	It("is rejected with an error if it is truncated or has trailing bytes", func() {
		act := activityOf(3, 2)
		whole := act.encode()
		for length := range whole {
			_, err := decodeActivity(whole[:length])
			Expect(err).To(MatchError(errBadActivity))
		}
		_, err := decodeActivity(append(whole, 0))
		Expect(err).To(MatchError(errBadActivity))
	})

	It("is sent to boxes that read it, while the others are sent JSON", func() {
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
		broken := message{BinaryActivity: []byte{activityFormat + 1}}
		Expect(broken.unpackActivity()).To(MatchError(errBadActivity))
	})
})

var _ = Describe("streams that paused for too long", func() {
	It("are sent to all boxes, whichever format they read", func() {
		e := relayOf(3, 0)
		e.Members.report("n01", message{Scope: memberScope, Summary: &loadSummary{}, ReadsBinary: true})
		e.Members.report("n02", message{Scope: memberScope, Summary: &loadSummary{}})
		e.Pending.collect(e.Loads, []target{{name: "n01"}, {name: "n02"}})
		paused := dispatch.Observations{Paused: map[string]int{"e1": 2}}
		e.Pending.forward("n03", memberScope, paused, nil)
		e.Pending.forward("n04", memberScope, paused, nil)
		for _, name := range []string{"n01", "n02"} {
			sent := e.messageTo(name, fleetScope)
			Expect(sent.unpackActivity()).To(Succeed())
			Expect(sent.Observations.Paused).To(Equal(map[string]int{"e1": 4}))
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
	f.Add([]byte{activityFormat, 2, 0, 0, 0xff, 0xff, 0xff, 0x7f})
	f.Fuzz(func(t *testing.T, bytes []byte) {
		decoded, err := decodeActivity(bytes)
		if err != nil {
			return
		}
		again, err := decodeActivity(decoded.encode())
		if err != nil {
			t.Fatalf("decoded activity cannot be encoded and decoded again: %v", err)
		}
		if len(again.Observations.Prompts) != len(decoded.Observations.Prompts) || len(again.Work) != len(decoded.Work) {
			t.Fatal("decoded activity changes when it is encoded and decoded again")
		}
	})
}

// BenchmarkActivity encodes the activity of a large fleet in both formats, as a relay does, and decodes it, as its
// hall does.
func BenchmarkActivity(b *testing.B) {
	act := activityOf(240, 40)
	text, err := json.Marshal(act)
	if err != nil {
		b.Fatal(err)
	}
	packed, err := pack(text)
	if err != nil {
		b.Fatal(err)
	}
	encoded := act.encode()
	b.Run("encode/JSON", func(b *testing.B) {
		for b.Loop() {
			text, _ := json.Marshal(act)
			_, _ = pack(text)
		}
		b.ReportMetric(float64(len(packed)), "bytes")
	})
	b.Run("encode/binary", func(b *testing.B) {
		for b.Loop() {
			act.encode()
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
