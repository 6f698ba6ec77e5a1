package cluster

import (
	"encoding/json"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreymoor.example/ospreymoor/pkg/dispatch"
	"ospreymoor.example/ospreymoor/pkg/fleet"
	"ospreymoor.example/ospreymoor/pkg/mirror"
	"ospreymoor.example/ospreymoor/pkg/residency"
	"ospreymoor.example/ospreymoor/pkg/spectest"
)

func TestCluster(t *testing.T) { spectest.Run(t, "Cluster") }

func asJSON(value any) string {
	text, err := json.Marshal(value)
	Expect(err).NotTo(HaveOccurred())
	return string(text)
}

var _ = Describe("messages between boxes", func() {
	box := Box{Name: "n", Hall: "z", Address: "a:1", Incarnation: "inc", Cores: 1.5}

	It("keep the form of a box's record", func() {
		Expect(asJSON(box)).To(Equal(`{"name":"n","zone":"z","address":"a:1","incarnation":"inc","cores":1.5}`))
		Expect(asJSON(Box{})).To(Equal(`{"name":"","zone":"","address":"","incarnation":""}`))
	})

	It("keep the form of an exchange", func() {
		full := message{
			From: box, Scope: hallScope, Leaving: true, StoreLost: true, StoreAge: time.Second, Staleness: -1, Revision: 5,
			Delta:       &mirror.Delta{},
			OrderHolder: &orderHolder{Name: "h", Address: "b:2", Term: 7, Age: time.Second},
			Update:      &fleet.Update{},
			Summary:     &loadSummary{Boxes: 2, StoreLost: 1, Loads: map[string]dispatch.Load{"e": {}}, Uses: []residency.ModelUse{{}}},
			Work:        []workItem{{ModelKey: residency.ModelKey{Service: "s", Model: "m"}, Milliseconds: 3}},
		}
		Expect(asJSON(full)).To(Equal(`{"from":{"name":"n","zone":"z","address":"a:1","incarnation":"inc","cores":1.5},` +
			`"voice":"zone","leaving":true,"storeLost":true,"storeAge":1000000000,"staleness":-1,"revision":5,` +
			`"delta":{"from":0,"revision":0},"orderHolder":{"name":"h","address":"b:2","term":7,"age":1000000000},` +
			`"stamp":{},"words":{"stamp":{}},"tally":{"machines":2,"storeLost":1,"loads":{"e":{}},"uses":[{"b":"","m":"","a":""}]},` +
			`"news":{},"work":[{"s":"s","m":"m","w":3}]}`))
		Expect(asJSON(message{})).To(Equal(`{"from":{"name":"","zone":"","address":"","incarnation":""},` +
			`"voice":"","storeAge":0,"staleness":0,"revision":0,"stamp":{},"news":{}}`))
		Expect(asJSON(loadSummary{})).To(Equal(`{"machines":0}`))
		Expect(asJSON([]scope{ownScope, memberScope, hallScope, fleetScope, noScope})).To(Equal(`["own","member","zone","fleet","none"]`))
	})

	It("keep the form of a fetch and of a question to the order holder", func() {
		Expect(asJSON(copyRequest{})).To(Equal(`{"revision":0,"stamp":{}}`))
		Expect(asJSON(copyAnswer{})).To(Equal(`{}`))
		Expect(asJSON(copyAnswer{Delta: &mirror.Delta{}, Update: &fleet.Update{}})).
			To(Equal(`{"delta":{"from":0,"revision":0},"words":{"stamp":{}}}`))
		Expect(asJSON(ensureRequest{Service: "s", Model: "m", Adapter: "a"})).To(Equal(`{"service":"s","model":"m","adapter":"a"}`))
		Expect(asJSON(ensureRequest{})).To(Equal(`{"service":"","model":""}`))
		Expect(asJSON(ensureAnswer{Error: "e"})).To(Equal(`{"error":"e"}`))
		Expect([]string{methodExchange, methodCopy, methodEnsure}).To(Equal([]string{"exchange", "copy", "ensure"}))
	})
})
