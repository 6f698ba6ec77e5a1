// Package routes is the versioned table that tells which service answers a request, what may
// be repeated, and within which limits.
package routes

import (
	"cmp"
	"net"
	"slices"
	"strings"
	"time"
)

// Kind says what may be repeated of a request.
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

// Route tells how the requests below one path of one host are served.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	Kind       Kind
	// Resumable streams may go on at another back end after the last event that arrived.
	Resumable bool
	// Timeout is the longest time that a request is held; 0 is no bound.
	Timeout time.Duration
	// Target is the time to the answer, or to a stream's first event, that counts as good.
	Target time.Duration
	// GapTarget is the longest good pause between two events of a stream.
	GapTarget time.Duration
	// MaxAttempts is the largest number of back ends that one request may be sent to.
	MaxAttempts int
	// Priority ranks routes; 0 is the most urgent.
	Priority int
	Shares   []Share
}

// Idempotent tells whether a request of the route may run more than once.
func (r *Route) Idempotent() bool {
	return r.Kind == Repeatable || (r.Kind == Stream && r.Resumable)
}

// Model is a model that the engines of a service can hold.
type Model struct {
	Name string
	// Megabytes of an engine's memory that the weights take.
	Megabytes float64
	// LoadTime is how long a load from the weight store takes, DiskLoadTime one from the engine's disk.
	LoadTime     time.Duration
	DiskLoadTime time.Duration
	// Adapters are the names of its adapters.
	Adapters []string
	// AdapterMegabytes is the memory of one adapter.
	AdapterMegabytes float64
}

// Engines describes the engines of a service.
type Engines struct {
	// Slots is how many requests an engine works on at once.
	Slots int
	// CacheTokens is an engine's memory for prompts and answers, in tokens.
	CacheTokens int
	// Megabytes is an engine's memory for weights and adapters together.
	Megabytes    float64
	AdapterSlots int
	// DiskMegabytes is an engine's disk for weights; those unused longest give way.
	DiskMegabytes float64
	// LoadsPerSecond is what the weight store allows all engines together.
	LoadsPerSecond float64
	// Models in the order of the configuration.
	Models []Model
}

// Service is a set of back ends that are alike.
type Service struct {
	Name string
	// MaxConnections that one back end takes from all callers together.
	MaxConnections int
	// Engines is nil for a plain service.
	Engines *Engines

	models map[string]*Model
}

// Model returns the description of a model, or nil.
func (s *Service) Model(name string) *Model { return s.models[name] }

// Limits bound what callers may send; a zero is no bound.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Table is one version of the configuration. It does not change once made.
type Table struct {
	Version  int64
	Routes   []Route
	Services map[string]*Service
	Limits   Limits

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

func (s *Service) index() {
	if s.Engines == nil {
		return
	}
	s.models = make(map[string]*Model, len(s.Engines.Models))
	for i := range s.Engines.Models {
		model := &s.Engines.Models[i]
		s.models[model.Name] = model
	}
}

// Match returns the route of a host with the longest prefix that begins path, or nil.
func (t *Table) Match(host, path string) *Route {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	for _, route := range t.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, route.PathPrefix) {
			return route
		}
	}
	return nil
}

// Pick returns the service that a request goes to; point is a number that is spread evenly
// over requests and the same for every attempt of one.
func (r *Route) Pick(point uint64) string {
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
