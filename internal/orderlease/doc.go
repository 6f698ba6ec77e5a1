// Package orderlease decides when this box may give orders to engines, in the platform mode `ospreymoor node`.
//
// One box of the fleet at a time gives orders: the holder of the order lease in the store. The package contends for
// the lease (Lease, around pkg/lease) and hands over from the former holder to the new one; see type handover for
// when orders may begin. It learns from internal/cluster what other boxes report, through the functions in Peers.
//
// The counterpart in `ospreymoor serve` is the lease of a hall's controller in internal/box. There each hall has a
// lease, and pkg/orders fences engines by terms, so no handover is needed.
package orderlease
