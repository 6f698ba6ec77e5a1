package cluster

import (
	"context"
	"encoding/json"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"ospreymoor.example/ospreymoor/pkg/customers"
	"ospreymoor.example/ospreymoor/pkg/spectest"
)

var _ = Describe("quotas", func() {
	It("decide requests whose classes they can't use, and log the first", func() {
		spectest.Bubble(func() {
			core, lines := observer.New(zapcore.DebugLevel)
			quotas := &Quotas{Members: smallFleet(), Keeper: customers.NewKeeper(customers.Tolerance{Window: time.Second}), Log: zap.New(core)}
			for _, classes := range []string{`null`, `{"classes":[{"service":"lm"}],"of":[0]}`, `7`, `{"classes":[{"service":"lm","urgency":-4}],"of":[0]}`} {
				message := `{"customer":"c","scope":"box","limit":{"PerSecond":1000,"Burst":1000},"costs":[3],"classes":` + classes + `}`
				var request customers.SpendRequest
				Expect(json.Unmarshal([]byte(message), &request)).To(Succeed())
				grant, err := quotas.answer(context.Background(), request)
				Expect(err).NotTo(HaveOccurred())
				Expect(grant.Waits).To(Equal([]time.Duration{0}), classes)
			}
			Expect(lines.FilterMessage("classes of a quota unusable").Len()).To(Equal(1))
		})
	})
})
