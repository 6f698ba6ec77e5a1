// Package peer carries calls between boxes: JSON-RPC 2.0 over TCP with length-prefixed messages.
//
// It owns the connections, the check of the fleet's secret and the bound on a message's size. It relies on
// jsonrpc2 to match answers to calls; every call is bounded by the caller's context.
//
// Both modes use Client, Server, Call and Handle. The methods and messages in messages.go are those of the
// native mode (`ospreymoor serve`, internal/box). Those of `ospreymoor node` are in internal/cluster and
// internal/orderlease.
package peer
