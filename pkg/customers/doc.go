// Package customers identifies customers by their keys, and enforces their quotas over all boxes.
//
// A Directory holds the customers of one version of the configuration and finds the customer of a key. It is
// immutable. A Keeper holds what customers may still spend, on behalf of many boxes. A Spender is a box's client
// of the keepers; it tells whether a request is within its customer's quota. How boxes reach each other, and
// which box keeps which quota, is behind the Spender's AskKeeper function, which internal/cluster provides.
//
// Keys are stored as digests only. No key appears in an error, a log line or a metric.
//
// `ospreymoor node` uses this package. The limits of `ospreymoor serve` are in pkg/admission.
package customers
