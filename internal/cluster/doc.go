// Package cluster keeps what one box of `ospreymoor node` knows about the other boxes, and exchanges data with them.
//
// It owns the membership (Members), which holds for each other box its latest report, its load summary and the state
// of the calls to it. It also owns the updates that are queued for each other box (PendingUpdates). Exchange calls
// other boxes and answers them. Ensurer requests models and adapters from the order holder, the box that holds the
// order lease. The package relies on internal/peer for the calls, and passes on data that pkg/dispatch, pkg/fleet,
// pkg/mirror and pkg/residency own.
//
// Small fleets exchange in a full mesh, large ones through one relay for each hall; see maxMeshPeers.
//
// A keeper is the one box that keeps an account for a whole fleet or hall, such as a customer's quota; see
// Members.keeperOf.
//
// The counterpart for `ospreymoor serve` is pkg/membership with the heartbeats of internal/box. There, heartbeats
// carry counts of dispatches instead of load summaries, and hall controllers add up demand.
package cluster
