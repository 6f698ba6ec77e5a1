package quarantine_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreymoor.example/ospreymoor/pkg/quarantine"
	"ospreymoor.example/ospreymoor/pkg/spectest"
)

func TestQuarantine(t *testing.T) { spectest.Run(t, "Quarantine") }

var _ = Describe("a fingerprint", func() {
	content := quarantine.Content{Customer: "c", Method: "POST", Host: "h", URI: "/a/b?x=1", Body: []byte("text")}

	DescribeTable("differs with each part of the content", func(change func(*quarantine.Content)) {
		other := content
		change(&other)
		Expect(other.Fingerprint()).NotTo(Equal(content.Fingerprint()))
	},
		Entry("customer", func(c *quarantine.Content) { c.Customer = "d" }),
		Entry("method", func(c *quarantine.Content) { c.Method = "GET" }),
		Entry("host", func(c *quarantine.Content) { c.Host = "i" }),
		Entry("query", func(c *quarantine.Content) { c.URI = "/a/b?x=2" }),
		Entry("body", func(c *quarantine.Content) { c.Body = []byte("texts") }),
		Entry("boundary between two parts", func(c *quarantine.Content) { c.Host, c.URI = "h/a", "/b?x=1" }),
	)

	It("is equal for equal content, and is parsed as it was formatted", func() {
		same := content
		text, err := same.Fingerprint().MarshalText()
		Expect(err).NotTo(HaveOccurred())
		var parsed quarantine.Fingerprint
		Expect(parsed.UnmarshalText(text)).To(Succeed())
		Expect(parsed).To(Equal(content.Fingerprint()))
		Expect(parsed.UnmarshalText(text[1:])).NotTo(Succeed())
		Expect(parsed.UnmarshalText(append(text[:15:15], 'x'))).NotTo(Succeed())
	})
})

// BenchmarkFingerprint computes the fingerprint of a request with a body of 18 KB.
func BenchmarkFingerprint(b *testing.B) {
	content := quarantine.Content{Method: "POST", Host: "host", URI: "/a/b", Body: make([]byte, 18_000)}
	for b.Loop() {
		content.Fingerprint()
	}
}
