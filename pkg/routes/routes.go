// Package routes is the versioned route table: which service answers a request, how often it may run,
// and within which limits.
//
// It matches a request with its route, and splits a route's requests over services. A table also
// holds the customers of its version (pkg/customers). It is decoded in other packages, and does not
// change once made. `ospreymoor node` uses it. In `ospreymoor serve` the bundle of a customer
// (pkg/bundle) has that role.
package routes

import (
	"cmp"
	"maps"
	"net"
	"slices"
	"strings"
	"time"

	"ospreymoor.example/ospreymoor/pkg/customers"
)

// Kind states how often a request may run.
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

// Route states how the requests to one host, below one path, are served.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	Kind       Kind
	// Resumable means that a stream may resume at another upstream after the last event that arrived.
	Resumable bool
	// Timeout is the longest time that a request is held; 0 sets no bound.
	Timeout time.Duration
	// Target is the longest acceptable time to the answer, or to a stream's first event; 0 sets no
	// target.
	Target time.Duration
	// GapTarget is the longest acceptable gap between two events of a stream; 0 sets no target.
	GapTarget time.Duration
	// MaxAttempts is the largest number of attempts of one request that may run. An attempt that its
	// upstream did not execute does not count.
	MaxAttempts int
	// Urgency ranks routes; 0 is the most urgent, and a negative value counts as 0.
	Urgency int
	Shares  []Share
	// Public means that requests need no key.
	Public bool
	// Regions are those in which requests of the route may be served.
	Regions customers.Regions
}

// Idempotent reports whether a request of the route may run more than once.
func (r *Route) Idempotent() bool {
	return r.Kind == Repeatable || (r.Kind == Stream && r.Resumable)
}

// PickService returns the service that a request goes to; "" if no share has a weight. hash is evenly
// distributed over requests, and the same for every attempt of one request.
func (r *Route) PickService(hash uint64) string {
	total := 0
	for _, share := range r.Shares {
		total += share.Weight
	}
	if total <= 0 {
		return ""
	}
	offset := int(hash % uint64(total))
	for _, share := range r.Shares {
		if offset < share.Weight {
			return share.Service
		}
		offset -= share.Weight
	}
	return ""
}

// Limits bounds what callers may send; 0 sets no bound. The bounds of headers are those of
// gateway.Front in every version of the configuration.
type Limits struct {
	MaxBodyBytes int64
	// IdleTimeout is how long a connection may be idle.
	IdleTimeout time.Duration
}

// Origin identifies the text of a version of the configuration.
type Origin struct {
	// Epoch is that of the store that has the version.
	Epoch int64
	// Digest is a hash of the text.
	Digest uint64
}

// Table is one version of the configuration. It does not change once made.
type Table struct {
	// Version grows with each change of the configuration.
	Version  int64
	Routes   []Route
	Services map[string]*Service
	Limits   Limits
	// Origin is where the version comes from.
	Origin Origin
	// Customers holds the customers of this version; nil if it has none, and then requests need no key.
	Customers *customers.Directory

	// byHost holds the routes of each host in lower case, the longest prefixes first.
	byHost map[string][]*Route
	// resumable holds the services of routes whose streams may go on at another upstream, sorted.
	resumable []string
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
		service.indexModels()
		t.Services[service.Name] = service
	}
	t.resumable = resumableServices(routes)
	return t
}

// resumableServices returns the services of resumable streams, sorted.
func resumableServices(routes []Route) []string {
	services := map[string]bool{}
	for _, route := range routes {
		if route.Kind != Stream || !route.Resumable {
			continue
		}
		for _, share := range route.Shares {
			services[share.Service] = true
		}
	}
	return slices.Sorted(maps.Keys(services))
}

// ResumableServices returns the services whose streams may resume at another upstream, sorted. The caller must not change
// the slice.
func (t *Table) ResumableServices() []string { return t.resumable }

// Replaces reports whether this configuration replaces another one: it has a higher version, or the store came back from
// a copy and the operator gave the version out again with another text.
func (t *Table) Replaces(other *Table) bool {
	if t.Version != other.Version {
		return t.Version > other.Version
	}
	return t.Origin.Epoch > other.Origin.Epoch && t.Origin.Digest != other.Origin.Digest
}

// Match returns the route of a host with the longest prefix that path begins with; nil if there is
// none. The host may have a port, and letters of any case. Of two routes with the same prefix, the
// first in the configuration matches.
func (t *Table) Match(host, path string) *Route {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name // Without a port, SplitHostPort fails and the host is used as it is.
	}
	for _, route := range t.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, route.PathPrefix) {
			return route
		}
	}
	return nil
}
