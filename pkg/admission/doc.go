// Package admission decides whether a request of `ospreymoor serve`, the native mode, may run.
//
// Requests never wait here: one that cannot be served within its target is refused on arrival, with the
// time after which it may be retried. A Controller counts the requests that this box admitted; the wait,
// the target and the limits come from internal/box. Limits of the whole fleet are divided evenly among the
// boxes. A customer beyond its fair share of the slots is refused earlier than others, so that its surge
// does not make other customers miss their targets.
//
// `ospreymoor node` admits in internal/gateway instead, by the predicted time to the first token alone. It
// has neither limits per customer nor fair shares, and lets a request wait for a limited time while a model
// is loaded.
package admission
