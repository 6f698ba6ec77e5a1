// Package endtoend tests real processes: entry boxes and stand-ins of the systems around them. Its
// specs start them from the one binary, and kill, freeze and stop them.
package endtoend
