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
			Work:        []workItem{{WorkKey: residency.WorkKey{ModelKey: residency.ModelKey{Service: "s", Model: "m"}}, Milliseconds: 3}},
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

	It("keep the form of transfers in pieces", func() {
		Expect(asJSON(message{Pieces: true})).To(HaveSuffix(`"news":{},"pieces":true}`))
		Expect(asJSON(message{PackedActivity: []byte("x")})).To(HaveSuffix(`"news":{},"packed":"eA=="}`))
		Expect(asJSON(activity{})).To(Equal(`{"news":{}}`))
		Expect(asJSON(syncRequest{Pieces: true})).To(Equal(`{"revision":0,"stamp":{},"pieces":true}`))
		Expect(asJSON(syncAnswer{Packed: "copy/1"})).To(Equal(`{"packed":"copy/1"}`))
		Expect(asJSON(pieceRequest{From: "a:1", Blob: recordBlob("k", 5), Offset: 3})).
			To(Equal(`{"from":"a:1","content":"record/5/k","offset":3}`))
		Expect(asJSON(pieceAnswer{})).To(Equal(`{}`))
		Expect(asJSON(pieceAnswer{Size: 1, Data: []byte("x"), Busy: true, Holders: []string{"b:1"}})).
			To(Equal(`{"size":1,"data":"eA==","busy":true,"holders":["b:1"]}`))
		Expect(asJSON(mirror.Delta{Large: []mirror.LargeRecord{{Key: "k", Revision: 5}}})).
			To(Equal(`{"from":0,"revision":0,"large":[{"key":"k","revision":5}]}`))
	})

	It("keep the form of a fetch and of a request to the order holder", func() {
		Expect(asJSON(syncRequest{})).To(Equal(`{"revision":0,"stamp":{}}`))
		Expect(asJSON(syncAnswer{})).To(Equal(`{}`))
		Expect(asJSON(syncAnswer{Delta: &mirror.Delta{}, Update: &fleet.Update{}})).
			To(Equal(`{"delta":{"from":0,"revision":0},"words":{"stamp":{}}}`))
		Expect(asJSON(ensureRequest{Want: residency.Want{Service: "s", Model: "m", Adapter: "a"}})).To(Equal(`{"service":"s","model":"m","adapter":"a"}`))
		Expect(asJSON(ensureRequest{Want: residency.Want{}})).To(Equal(`{"service":"","model":""}`))
		Expect(asJSON(ensureAnswer{Error: "e"})).To(Equal(`{"error":"e"}`))
		Expect([]string{methodExchange, methodSync, methodEnsure, methodPiece}).To(Equal([]string{"exchange", "copy", "ensure", "piece"}))
	})
})
