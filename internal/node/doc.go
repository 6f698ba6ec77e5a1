// Package node assembles one box of `ospreymoor node` and runs it.
//
// It is the only package that knows all components: the request path (internal/gateway), the state of the
// other boxes (internal/cluster), the order lease (internal/orderlease), the view of the store
// (internal/storeview) and the controller of the engines (pkg/residency). It only decides the order in
// which they are created, started and stopped. platform/ supplies the adapters to the outside.
//
// Its counterpart for `ospreymoor serve` is internal/box.
package node
