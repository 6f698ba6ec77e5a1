// Package quarantine is what a fleet remembers of requests under which upstreams crashed.
//
// A Fingerprint names a request by what its caller asked, so that it is known again when it comes again: at
// another box, under another id, after a restart.
//
// `ospreymoor node` uses it.
package quarantine
