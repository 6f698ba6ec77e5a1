// Package node puts one box of `ospreymoor node` together and runs it.
//
// It alone knows all parts: the request path (internal/gateway), what is known of the other boxes
// (internal/cluster), the order lease (internal/orderlease), the view of the store
// (internal/storeview) and the controller of the engines (pkg/residency). It decides nothing but the
// order in which they are made, started and stopped. platform/ gives it its ports.
//
// Its look-alike of `ospreymoor serve` is internal/box.
package node
