package cmd

import (
	"fmt"
	"os"
	"reflect"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreymoor.example/ospreymoor/pkg/spectest"
)

func TestCmd(t *testing.T) { spectest.Run(t, "Command line") }

var _ = Describe("The page of settings", func() {
	It("lists each flag of serve with its variable, default and meaning", func() {
		page, err := os.ReadFile("../../docs/operating/settings.md")
		Expect(err).NotTo(HaveOccurred())
		Expect(string(page)).To(ContainSubstring(settingsTable(reflect.TypeFor[serveCommand]())), "put this table into the page:\n"+settingsTable(reflect.TypeFor[serveCommand]()))
	})

	It("lists each flag of node with its variable, default and meaning", func() {
		page, err := os.ReadFile("../../docs/operating/settings.md")
		Expect(err).NotTo(HaveOccurred())
		Expect(string(page)).To(ContainSubstring(settingsTable(reflect.TypeFor[nodeCommand]())), "put this table into the page:\n"+settingsTable(reflect.TypeFor[nodeCommand]()))
	})
})

// settingsTable returns the flags of a command as the table that the page of settings must contain.
func settingsTable(command reflect.Type) string {
	var table strings.Builder
	table.WriteString("| flag | variable | default | meaning |\n| --- | --- | --- | --- |\n")
	for i := range command.NumField() {
		tag := command.Field(i).Tag
		initial := tag.Get("default")
		if initial != "" {
			initial = "`" + initial + "`"
		}
		fmt.Fprintf(&table, "| `--%s` | `%s` | %s | %s |\n", tag.Get("name"), tag.Get("env"), initial, tag.Get("help"))
	}
	return table.String()
}
