package customers_test

import (
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreymoor.example/ospreymoor/pkg/customers"
	"ospreymoor.example/ospreymoor/pkg/spectest"
)

func TestCustomers(t *testing.T) { spectest.Run(t, "Customers") }

var _ = Describe("A directory", func() {
	acme := customers.Customer{Name: "acme", Keys: []customers.Digest{customers.DigestOf("k1"), customers.DigestOf("shared")}}
	burr := customers.Customer{Name: "burr", Keys: []customers.Digest{customers.DigestOf("k2"), customers.DigestOf("shared")}}
	keyless := customers.Customer{Name: "keyless"}
	directory := customers.NewDirectory([]customers.Customer{acme, burr, keyless})

	DescribeTable("finds the customer that a key names, or says why it names none",
		func(name string, rejection customers.Rejection, values ...string) {
			customer, rejected := directory.Find(customers.ReadCredential(values))
			Expect(rejected).To(Equal(rejection))
			if name == "" {
				Expect(customer).To(BeNil())
				return
			}
			Expect(customer.Name).To(Equal(name))
		},
		Entry("a key", "acme", customers.Accepted, "Bearer k1"),
		Entry("the scheme in any case", "burr", customers.Accepted, "bearer k2"),
		Entry("several spaces", "burr", customers.Accepted, "Bearer   k2"),
		Entry("no field", "", customers.NoKey),
		Entry("two fields", "", customers.UnreadableKey, "Bearer k1", "Bearer k1"),
		Entry("two keys in one field", "", customers.UnreadableKey, "Bearer k1, Bearer k2"),
		Entry("another scheme", "", customers.UnreadableKey, "Basic azE6"),
		Entry("no scheme", "", customers.UnreadableKey, "k1"),
		Entry("an empty field", "", customers.UnreadableKey, ""),
		Entry("an empty key", "", customers.UnreadableKey, "Bearer "),
		Entry("a key of two words", "", customers.UnreadableKey, "Bearer k1 k2"),
		Entry("a trailing space", "", customers.UnreadableKey, "Bearer k1 "),
		Entry("a control character", "", customers.UnreadableKey, "Bearer k1\x01"),
		Entry("a key over the bound", "", customers.UnreadableKey, "Bearer "+strings.Repeat("k", 1025)),
		Entry("a key that nobody has", "", customers.UnknownKey, "Bearer k3"),
		Entry("a key in another case", "", customers.UnknownKey, "Bearer K1"),
		Entry("a key that two customers have names neither", "", customers.UnknownKey, "Bearer shared"),
	)

	It("names the customers that have a key in common", func() {
		Expect(directory.SharingKey()).To(ConsistOf("acme", "burr"))
	})

	It("takes a key that one customer lists twice", func() {
		twice := customers.NewDirectory([]customers.Customer{{Name: "c", Keys: []customers.Digest{customers.DigestOf("k"), customers.DigestOf("k")}}})
		Expect(twice.SharingKey()).To(BeEmpty())
		customer, _ := twice.Find(customers.ReadCredential([]string{"Bearer k"}))
		Expect(customer.Name).To(Equal("c"))
	})

	It("requires no key if no customers are configured, but requires one if the list is empty", func() {
		var none *customers.Directory
		customer, rejected := none.Find(customers.ReadCredential(nil))
		Expect(customer).To(BeNil())
		Expect(rejected).To(Equal(customers.Accepted))
		Expect(none.SharingKey()).To(BeEmpty())
		_, rejected = customers.NewDirectory(nil).Find(customers.ReadCredential([]string{"Bearer k1"}))
		Expect(rejected).To(Equal(customers.UnknownKey))
	})
})

// FuzzCredential parses header fields of callers: only a single key of the required form may identify a customer.
func FuzzCredential(f *testing.F) {
	for _, seed := range []string{"Bearer key", "bearer  key", "Basic key", "Bearer", "Bearer key,", "\x00", "Bearer \x00"} {
		f.Add(seed)
	}
	directory := customers.NewDirectory([]customers.Customer{{Name: "c", Keys: []customers.Digest{customers.DigestOf("key"), customers.DigestOf("")}}})
	f.Fuzz(func(t *testing.T, value string) {
		customer, rejected := directory.Find(customers.ReadCredential([]string{value}))
		scheme, key, _ := strings.Cut(value, " ")
		valid := strings.EqualFold(scheme, "bearer") && strings.TrimLeft(key, " ") == "key"
		if (customer != nil) != valid || (rejected == customers.Accepted) != valid {
			t.Fatalf("%q: customer %v, rejection %q", value, customer, rejected)
		}
	})
}
