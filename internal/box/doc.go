// Package box is one entry box of the native way, `ospreymoor serve`: it serves callers' requests on models and plain
// services, serves operators, and takes part in the control of the fleet.
//
// It differs from its look-alike of the way that is on call, `ospreymoor node` (internal/gateway), in two points:
// callers and engines use Connect, and requests that may not be repeated are claimed in the key-value service.
//
// It owns the state of one box: what is known of the fleet (knowledge.go), the parts that serve requests (requests.go),
// connections (links.go) and control (control.go). All of it is soft but the claims, bundles, leases and plans in the
// key-value service. It relies on the rules of pkg/admission, pkg/routing, pkg/placement, pkg/orders, pkg/claims and
// pkg/membership, and adds those of retries (retry.go), refusals (refusal_rules.go), runs at most once (run_once.go),
// heartbeat timing (heartbeats.go) and draining (drain.go).
package box
