// Package quarantine keeps records of requests under which upstreams crashed, and decides which requests are held,
// that is, sent to no upstream, because one upstream after the other crashed under them.
//
// A Fingerprint identifies a request by what its caller asked, so that it is recognized when it is sent again: to
// another box, under another ID, or after a restart. A Register holds one box's records: the crashes at which a
// request was in flight since it was last answered completely. Boxes send each other what changed as Updates, which
// may arrive late, twice and in any order. Each held request also has a record in the store, as Stored, for boxes
// that start later. A Policy defines how long a request is held. internal/cluster sends the updates,
// internal/storeview keeps the records in the store, and internal/gateway answers held requests.
//
// The package owns only the records, which are limited in number and age. Its callers supply the times of crashes.
//
// `ospreymoor node` uses it.
package quarantine
