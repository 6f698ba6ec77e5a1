// Package quarantine is what a fleet remembers of requests under which upstreams crashed, and the rule that keeps those
// away from upstreams under which one after the other does.
//
// A Fingerprint names a request by what its caller asked, so that it is known again when it comes again: at another box,
// under another id, after a restart. A Register holds one box's records: under which crashes a request was under way since
// it was last answered whole. Boxes tell each other what is new as Updates, which may come late, twice and in any order. What
// is held is also a record in the store, as Stored, for boxes that start after it. A Policy is the rule. How updates travel is
// internal/cluster's, the store's records are internal/storeview's, and what a held request is answered internal/gateway's.
//
// It owns the records alone, bounded in number and age, and relies on its callers for the time.
//
// `ospreymoor node` uses it.
package quarantine
