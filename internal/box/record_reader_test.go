package box

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"ospreymoor.example/ospreymoor/pkg/membership"
	"ospreymoor.example/ospreymoor/pkg/records"
)

var _ = Describe("A record that cannot be read", func() {
	It("is logged once for its name until one of that name can be read again", func() {
		core, lines := observer.New(zapcore.WarnLevel)
		reader := newRecordReader(records.NewCache(), zap.New(core))
		put := func(term int64, value string) membership.List {
			reader.cache.Put(records.Record{Name: boxListRecord, Generation: records.Generation{Term: term}, Value: []byte(value)})
			return readRecord[membership.List](reader, boxListRecord)
		}
		Expect(put(1, `"broken"`)).To(Equal(membership.List{}))
		Expect(put(2, `"broken"`)).To(Equal(membership.List{}))
		Expect(lines.Len()).To(Equal(1))
		Expect(lines.All()[0].ContextMap()).To(HaveKeyWithValue("record", boxListRecord))
		Expect(put(3, `{"generation":3}`).Generation).To(Equal(int64(3)))
		Expect(put(4, `"broken"`)).To(Equal(membership.List{}))
		Expect(lines.Len()).To(Equal(2))
	})
})
