// Package policy holds the benchmark of the decisions: planner, hall controllers, admission and
// routing as they are, against small engine stand-ins on the clock of a bubble, beside two
// baselines under the same demand.
package policy
