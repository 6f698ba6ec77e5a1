// Package routing chooses the upstream of a request in `ospreymoor serve`, the native mode.
//
// It estimates the wait for a slot from an engine's latest report and from what this box and its peers
// have sent there since, because reports lag behind. An engine that has the prompt's prefix cached is
// preferred as long as that saves more than waiting there costs. The package owns what this box sent
// and measured, the index of cached prefixes and the retry budget; internal/box supplies the
// candidates.
//
// `ospreymoor node` has pkg/dispatch instead, which predicts the time to the first token without
// reports of engines, and a retry budget of its own in internal/gateway.
package routing
