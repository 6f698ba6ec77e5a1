// Package storeview keeps one box's view of the platform's store, for `ospreymoor node`.
//
// It owns the box's copy of the store (a pkg/mirror) and decides when the store is polled. It decodes
// the configuration, the list of upstreams and the records that boxes write themselves, and passes
// each part to its owner: the gateway, the directory, the membership, the order lease. Registration
// keeps this box listed in the store.
//
// `ospreymoor serve` has pkg/bundle for the configuration, pkg/membership for the list of boxes and
// pkg/records for the distribution of both instead.
package storeview
