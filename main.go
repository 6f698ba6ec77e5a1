// Command ospreymoor serves many models on few accelerators. See README.md.
package main

import (
	"os"

	"ospreymoor.example/ospreymoor/internal/cmd"
)

func main() { os.Exit(cmd.Main(os.Args[1:], os.Stdout, os.Stderr)) }
