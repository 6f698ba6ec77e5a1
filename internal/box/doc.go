// Package box implements one entry box of the native mode, `ospreymoor serve`. It serves callers' requests on
// models and plain services, serves operators, and takes part in the control of the fleet.
//
// It differs from the entry box of the platform mode, `ospreymoor node` (internal/gateway), in two points: callers
// and engines use Connect, and requests that may not be repeated are claimed in the key-value service.
//
// It owns the state of one box: what is known of the fleet (knowledge.go), the parts that serve requests
// (requests.go), connections (links.go) and control (control.go). All of it is soft state except for the claims,
// bundles, leases and plans in the key-value service. It builds on the rules of pkg/admission, pkg/routing,
// pkg/placement, pkg/orders, pkg/claims and pkg/membership, and adds those for retries (retry.go), refusals
// (refusal_rules.go), runs at most once (run_once.go), heartbeat timing (heartbeats.go) and draining (drain.go).
package box
