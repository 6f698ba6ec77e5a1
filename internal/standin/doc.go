// Package standin implements stand-ins of the systems around `ospreymoor serve`, the native mode: a
// key-value service with etcd's JSON API, a box list and a weight store (Platform), a model engine that is
// called over Connect (Engine) and a plain service (Service).
//
// `ospreymoor dev`, the hidden command `ospreymoor standin` and the specs of internal/box and
// internal/endtoend use it. The key-value service is pkg/kv's store in memory.
//
// Its counterpart for `ospreymoor node` is platform/standin, whose store and engines use the HTTP and JSON
// API of the users' platform. The two share only the store in memory and LoseAnswer: only the engines
// here have slots, a queue, memory in bytes and a weight store.
package standin
