package cmd

import (
	"fmt"

	"ospreymoor.example/ospreymoor/pkg/bundle"
)

// bundleCheckCommand checks bundle files without calling a box.
//
//	ospreymoor bundle check FILE...
type bundleCheckCommand struct {
	Files []string `arg:"" name:"file" help:"Bundle files."`
}

// Run checks the files.
func (c *bundleCheckCommand) Run(out output) error {
	return forEachBundle(c.Files, func(b *bundle.Bundle, _ string) error {
		_, err := fmt.Fprintf(out, "%s version %d: %d models, %d adapters, %d services: good\n",
			b.Customer, b.Version, len(b.Models), len(b.Adapters), len(b.Services))
		return err
	})
}
