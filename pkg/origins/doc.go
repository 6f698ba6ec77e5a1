// Package origins remembers at which software version of a service each stream began. What two versions of an upstream's
// software write does not fit together, so that a stream goes on only at the version that began it.
//
// It owns the records of one box (Register), their form in the store (Segment), and the decision where a stream that a
// caller takes up again may go on (Decide). internal/cluster carries records to the boxes that keep them for all,
// internal/storeview stores them, and internal/gateway asks.
//
// `ospreymoor node` uses it. `ospreymoor serve` does not: there a stream resumes only at the engine that runs it.
package origins
