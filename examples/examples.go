// Package examples holds a realistic bundle of each user. Their tokens stand in the
// comments, so they are for trying out only.
package examples

import _ "embed"

// Masolatkereso is the bundle of a plagiarism report service.
//
//go:embed masolatkereso.yaml
var Masolatkereso []byte

// SenVang is the bundle of an airport map service.
//
//go:embed senvang.yaml
var SenVang []byte
