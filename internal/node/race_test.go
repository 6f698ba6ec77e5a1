//go:build race

package node

func init() { raceDetector = true }
