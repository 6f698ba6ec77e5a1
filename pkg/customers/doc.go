// Package customers is who may ask, and how much: customers, the keys that name them, and their quotas
// over all boxes.
//
// A Directory is the customers of one version of the configuration; it finds the customer of a key. It is
// made once and does not change. A Keeper holds what customers may still spend, on behalf of many boxes; a
// Spender is a box's way to the keepers, and says at once whether a request is within its customer's quota.
// How boxes reach each other, and which of them keeps whose quota, is a function field: internal/cluster has
// both.
//
// Keys are kept as digests alone. No key stands in an error, a log line or a metric.
//
// `ospreymoor node` uses it. The limits of `ospreymoor serve` are still those of pkg/admission.
package customers
