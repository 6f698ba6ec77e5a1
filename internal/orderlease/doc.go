// Package orderlease decides when this box may give engines orders, in the way of
// `ospreymoor node`.
//
// One box of the fleet at a time gives orders: the holder of the order lease in the store. The
// package owns this box's part in the contest for it (Lease, around pkg/lease) and the handover
// from the former holder to the new one; handover.go has when orders may begin. It relies on
// internal/cluster for what other boxes report, by the functions in Peers.
//
// Its look-alike of `ospreymoor serve` is the lease of a hall's controller in internal/box: there
// each hall has a lease, and pkg/orders fences engines by terms instead of handing over.
package orderlease
