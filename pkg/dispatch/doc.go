// Package dispatch chooses the upstream of each request of `ospreymoor node`.
//
// A Chooser predicts the time to the first token at every candidate and returns the candidate with the
// best score. It uses a LoadTracker, which holds the requests in flight on this box and on its peers,
// the outcomes that they report, the prompt prefixes that engines have probably cached, and the learned
// factors that correct predictions. The candidates come from pkg/fleet. The package relies on
// internal/gateway to record requests and their outcomes, and on internal/cluster to exchange loads and
// observations with other boxes. Load reports of the engines themselves are not used because they lag
// behind.
//
// `ospreymoor serve`, the native mode, uses pkg/routing instead. That package estimates the wait for a slot
// from the engines' reports and from the requests sent since.
package dispatch
