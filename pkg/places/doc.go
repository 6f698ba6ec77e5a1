// Package places counts the requests that all boxes have under way at the upstreams of a plain service, and decides
// which waiting request gets the next place.
//
// It answers this load: 33 boxes send 190 to 400 requests a second to 4 upstreams with 6 slots each. Every box has
// one or two requests under way and knows what the others sent only some tenths of a second later, longer than a
// request takes. So requests pile up at one upstream, which turns them away, while another has free slots.
//
// One box, the keeper of the service, holds the account. A box asks it for a place right before it sends, and
// returns the place at the end. While there is none, the ask waits at the keeper in an order (Order). An ask that
// cannot be served before its deadline is denied at once.
//
// The package has no input or output; the caller passes the upstreams and the time.
package places
