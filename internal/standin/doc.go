// Package standin has stand-ins of the systems around `ospreymoor serve`, the native way: a
// key-value service with etcd's JSON form, a box list and a weight store (Platform), a model
// engine that is called over Connect (Engine) and a plain service (Service).
//
// It serves `ospreymoor dev`, the hidden command `ospreymoor standin` and the specs of
// internal/box and internal/endtoend. It relies on pkg/kv's store in memory.
//
// Its look-alike for `ospreymoor node` is platform/standin, whose store and engines have the
// users' platform's HTTP and JSON. Both share the store in memory and LoseAnswer, no more: only
// the engines here have slots, a queue, memory in bytes and a weight store.
package standin
