package cmd

import (
	"fmt"
	"runtime"
	"runtime/debug"
)

// version is the release; CHANGELOG.md lists the changes of each.
const version = "0.1.0"

// versionCommand prints the version, the revision that it was built from and the compiler's version.
//
//	ospreymoor version
type versionCommand struct{}

// Run prints the version.
func (c *versionCommand) Run(out output) error {
	revision := "unknown revision"
	if info, ok := debug.ReadBuildInfo(); ok {
		for _, setting := range info.Settings {
			if setting.Key == "vcs.revision" {
				revision = setting.Value
			}
		}
	}
	_, err := fmt.Fprintf(out, "ospreymoor %s (%s, %s)\n", version, revision, runtime.Version())
	return err
}
