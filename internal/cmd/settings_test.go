package cmd

import (
	"os"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestCmd(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Command line")
}

var _ = Describe("The page of settings", func() {
	It("lists each flag of serve with its variable, default and meaning", func() {
		page, err := os.ReadFile("../../docs/operating/settings.md")
		Expect(err).NotTo(HaveOccurred())
		Expect(string(page)).To(ContainSubstring(SettingsTable()), "put this table into the page:\n"+SettingsTable())
	})

	It("lists each flag of node with its variable, default and meaning", func() {
		page, err := os.ReadFile("../../docs/operating/settings.md")
		Expect(err).NotTo(HaveOccurred())
		Expect(string(page)).To(ContainSubstring(NodeSettingsTable()), "put this table into the page:\n"+NodeSettingsTable())
	})
})
