// Package cluster is what one box of `ospreymoor node` knows of the other boxes, and how they
// exchange it.
//
// It owns the membership (Members): who there is, what each box last reported, its load summary
// and the state of the calls to it; and the updates that wait for each other box (PendingUpdates).
// Exchange calls other boxes and answers them; Ensurer asks the order holder for models and
// adapters. The package relies on internal/peer for the calls, and passes on what pkg/dispatch,
// pkg/fleet, pkg/mirror and pkg/residency own.
//
// Small fleets exchange in a full mesh, large ones by one relay a hall; see fullMesh.
//
// Its look-alike of `ospreymoor serve` is pkg/membership with the heartbeats of internal/box: there
// the beats carry counts of dispatches instead of load summaries, and hall controllers add demand up.
package cluster
