// Package storeview is one box's view of the platform's store, in the way of `ospreymoor node`.
//
// It owns the copy of the store (a pkg/mirror) with the rules for when the store is asked, and what
// is decoded from it: the configuration, the list of upstreams and the records that boxes write
// themselves. It hands each part to its owner: the gateway, the directory, the membership, the order
// lease. Registration keeps this box listed in the store.
//
// Its look-alikes of `ospreymoor serve` are pkg/bundle for the configuration, pkg/membership for the
// list of boxes and pkg/records for how both spread.
package storeview
