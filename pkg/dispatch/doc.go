// Package dispatch chooses the upstream of each request of `ospreymoor node`.
//
// A Chooser predicts the time to the first token at every candidate and takes the best score. It
// owns the LoadTracker, which holds the requests under way on this box and on its peers, the
// outcomes that they report, the prompt prefixes that engines have probably cached, and the
// factors that correct predictions. It relies on pkg/fleet for the candidates, and on
// internal/gateway to exchange loads and observations with other boxes. Load reports of engines
// lag behind and are not used.
//
// The native way, `ospreymoor serve`, has pkg/routing instead, which estimates the wait for a slot
// from engines' reports and from what was sent since.
package dispatch
