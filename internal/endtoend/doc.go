// Package endtoend drives the real processes: entry boxes and stand-ins of the systems
// around them, started from the one binary, killed, frozen and stopped by its tests.
package endtoend
