// Package routes is the versioned route table: which service answers a request, what of it may be
// retried, and within which limits.
//
// It owns the matching of a request with its route, and the split of a route's requests over services; the
// customers of a version (pkg/customers) stand in its table. The table is decoded elsewhere and does not change once made. `ospreymoor
// node` uses it. In `ospreymoor serve` the bundle of a customer (pkg/bundle) has that role.
package routes

import (
	"cmp"
	"net"
	"slices"
	"strings"
	"time"

	"ospreymoor.example/ospreymoor/pkg/customers"
)

// Kind is what may be retried of a request.
type Kind int

// The kinds of request.
const (
	// Once may run at most once.
	Once Kind = iota
	// Repeatable may run any number of times.
	Repeatable
	// Stream is answered by events; it runs at most once unless its route is resumable.
	Stream
)

// Share is a service's part of a route's requests.
type Share struct {
	Service string
	// Weight is relative to the other shares of the route.
	Weight int
}

// Route is how the requests below one path of one host are served.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	Kind       Kind
	// Resumable streams may resume at another upstream after the last event that arrived.
	Resumable bool
	// Timeout is the longest time that a request is held; 0 is no bound.
	Timeout time.Duration
	// Target is the longest good time to the answer, or to a stream's first event; 0 for no target.
	Target time.Duration
	// GapTarget is the longest good pause between two events of a stream; 0 sets no target.
	GapTarget time.Duration
	// MaxAttempts is the largest number of attempts of one request that may run. An attempt that its
	// upstream did not execute does not count.
	MaxAttempts int
	// Urgency ranks routes; 0 is the most urgent, and a negative one counts as 0.
	Urgency int
	Shares  []Share
	// Public routes ask for no key.
	Public bool
	// Regions in which requests of the route may be served.
	Regions customers.Regions
}

// Idempotent reports whether a request of the route may run more than once.
func (r *Route) Idempotent() bool {
	return r.Kind == Repeatable || (r.Kind == Stream && r.Resumable)
}

// PickService returns the service that a request goes to; empty if no share has a weight. point is a number
// that is spread evenly over requests and the same for every attempt of one.
func (r *Route) PickService(point uint64) string {
	total := 0
	for _, share := range r.Shares {
		total += share.Weight
	}
	if total <= 0 {
		return ""
	}
	at := int(point % uint64(total))
	for _, share := range r.Shares {
		if at < share.Weight {
			return share.Service
		}
		at -= share.Weight
	}
	return ""
}

// Limits bound what callers may send; a zero is no bound. The bounds of headers are those of gateway.Front
// in every version of the configuration.
type Limits struct {
	MaxBodyBytes int64
	// IdleTimeout is how long a connection may be idle.
	IdleTimeout time.Duration
}

// Table is one version of the configuration. It does not change once made.
type Table struct {
	// Version grows with each change of the configuration.
	Version  int64
	Routes   []Route
	Services map[string]*Service
	Limits   Limits
	// Customers of this version; nil if it has none, and nobody is asked for a key.
	Customers *customers.Directory

	// byHost is the routes of each host in lower case, those with the longest prefixes first.
	byHost map[string][]*Route
}

// New returns a table that can be matched against.
func New(version int64, routes []Route, services []Service, limits Limits) *Table {
	t := &Table{
		Version:  version,
		Routes:   routes,
		Services: make(map[string]*Service, len(services)),
		Limits:   limits,
		byHost:   map[string][]*Route{},
	}
	for i := range routes {
		routes[i].Urgency = max(0, routes[i].Urgency)
		host := strings.ToLower(routes[i].Host)
		t.byHost[host] = append(t.byHost[host], &routes[i])
	}
	for _, list := range t.byHost {
		slices.SortStableFunc(list, func(a, b *Route) int {
			return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix))
		})
	}
	for i := range services {
		service := &services[i]
		service.index()
		t.Services[service.Name] = service
	}
	return t
}

// Match returns the route of a host with the longest prefix that begins path; nil if there is none. The
// host may have a port and letters of any case. Of two routes with the same prefix, the first in the
// configuration matches.
func (t *Table) Match(host, path string) *Route {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name // Without a port, SplitHostPort fails and the host is taken as it is.
	}
	for _, route := range t.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, route.PathPrefix) {
			return route
		}
	}
	return nil
}
