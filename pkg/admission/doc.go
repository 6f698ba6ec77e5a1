// Package admission decides at once whether a request of `ospreymoor serve`, the native way, may run.
//
// No request waits here: one that cannot be served within its target is refused on arrival, with the
// time after which it may be sent again. A Controller owns the counts of what this box admitted;
// the wait, the target and the limits come from internal/box. Limits of the whole fleet are divided
// evenly by the boxes. A customer beyond its fair share of the slots is refused earlier than others,
// so that its surge leaves their targets alone.
//
// `ospreymoor node` admits in internal/gateway instead, by the predicted first token alone: it has
// neither customers' limits nor fair shares, and lets a request wait for a load for a while.
package admission
