// Package bundle manages the operators' versioned bundles and the table of the versions in force.
//
// A bundle declares one customer's models, adapters, plain services, callers and limits.
// Signing it off stores it permanently; rolling puts it in force in place of a lower version;
// retiring takes it out of service. All three go through the key-value service (pkg/kv). The
// package owns the format, the checks and the table; internal/box checks who may change it.
//
// It belongs to the native mode, `ospreymoor serve`. On `ospreymoor node` the versioned configuration
// is one table of routes (pkg/routes), which boxes only read from the platform's store.
package bundle

import (
	"fmt"
	"time"
)

// Bundle is one version of a customer's declaration of what it runs.
type Bundle struct {
	// Customer is the customer's name: lower-case letters, digits and dashes.
	Customer string `yaml:"customer" json:"customer"`
	// Version grows with each bundle that the customer rolls.
	Version uint64 `yaml:"version" json:"version"`
	// Callers are the clients that may send requests.
	Callers []Caller `yaml:"callers" json:"callers"`
	// Limits bound the customer as a whole.
	Limits Limits `yaml:"limits" json:"limits"`
	// Models, Adapters and Services are what callers can name in requests.
	Models   []Model   `yaml:"models" json:"models"`
	Adapters []Adapter `yaml:"adapters" json:"adapters"`
	Services []Service `yaml:"services" json:"services"`
}

// Caller is one client that may send requests, identified by its token.
type Caller struct {
	Name string `yaml:"name" json:"name"`
	// TokenSHA256 is the token's SHA-256 in hex; the token itself is not stored anywhere.
	TokenSHA256 string `yaml:"token-sha256" json:"tokenSha256"`
}

// Limits bound the requests admitted in the whole fleet; 0 sets no limit.
type Limits struct {
	RequestsPerSecond float64 `yaml:"requests-per-second" json:"requestsPerSecond"`
	InFlight          int     `yaml:"in-flight" json:"inFlight"`
	// Weight is the customer's relative share when demand exceeds capacity; 0 selects 1.
	Weight float64 `yaml:"weight" json:"weight"`
}

// Model is one model that must stay reachable while the bundle is in force.
type Model struct {
	Name string `yaml:"name" json:"name"`
	// Weights names the weights in the weight store; new weights have a new name.
	Weights string `yaml:"weights" json:"weights"`
	// Pool is the pool of engines that can run it; empty selects "llm".
	Pool string `yaml:"pool" json:"pool"`
	// Memory is the memory that one replica takes on an engine.
	Memory Size `yaml:"memory" json:"memory"`
	// Priority orders requests: those of higher priority run first.
	Priority int32 `yaml:"priority" json:"priority"`
	// FirstToken and BetweenTokens are the latency targets of a request.
	FirstToken    Duration `yaml:"first-token" json:"firstToken"`
	BetweenTokens Duration `yaml:"between-tokens" json:"betweenTokens"`
	// Objective is the share of requests to serve within target; 0 selects 0.95.
	Objective float64 `yaml:"objective" json:"objective"`
	// MaxTokens bounds an answer, in tokens; 0 selects 4096.
	MaxTokens uint32 `yaml:"max-tokens" json:"maxTokens"`
	Limits    Limits `yaml:"limits" json:"limits"`
}

// Adapter is a small set of additional weights for one model.
type Adapter struct {
	Name    string `yaml:"name" json:"name"`
	Model   string `yaml:"model" json:"model"`
	Weights string `yaml:"weights" json:"weights"`
	Memory  Size   `yaml:"memory" json:"memory"`
}

// Service is a plain HTTP service, which runs on upstreams other than engines.
type Service struct {
	Name string `yaml:"name" json:"name"`
	// Pool is the pool of upstreams that run it.
	Pool string `yaml:"pool" json:"pool"`
	// Timeout bounds one call; 0 selects 30 s.
	Timeout Duration `yaml:"timeout" json:"timeout"`
	// NotRepeatable lists the calls that may run at most once.
	NotRepeatable []Call `yaml:"not-repeatable" json:"notRepeatable"`
	Limits        Limits `yaml:"limits" json:"limits"`
}

// Call matches requests by method and path prefix.
type Call struct {
	Method string `yaml:"method" json:"method"`
	Path   string `yaml:"path" json:"path"`
}

// Defaults of fields that may be left out.
const (
	DefaultPool = "llm"
	// DefaultObjective is a share of requests: 0.95.
	DefaultObjective = 0.95
	// defaultMaxTokens is 4096 tokens.
	defaultMaxTokens = 4096
	// defaultServiceTimeout is 30 s.
	defaultServiceTimeout = 30 * time.Second
	// defaultWeight is an equal share for each customer.
	defaultWeight = 1
)

// ModelItem returns the name under which engines hold a model's weights.
func ModelItem(customer string, model Model) string {
	return fmt.Sprintf("%s/%s@%s", customer, model.Name, model.Weights)
}

// AdapterItem returns the name under which engines hold an adapter's weights.
func AdapterItem(customer string, adapter Adapter) string {
	return fmt.Sprintf("%s/%s+%s@%s", customer, adapter.Model, adapter.Name, adapter.Weights)
}

// Model returns the model with a name, false if there is none.
func (b *Bundle) Model(name string) (Model, bool) {
	for _, model := range b.Models {
		if model.Name == name {
			return model, true
		}
	}
	return Model{}, false
}

// Adapter returns a model's adapter with a name, false if there is none.
func (b *Bundle) Adapter(model, name string) (Adapter, bool) {
	for _, adapter := range b.Adapters {
		if adapter.Model == model && adapter.Name == name {
			return adapter, true
		}
	}
	return Adapter{}, false
}

// Service returns the plain service with a name, false if there is none.
func (b *Bundle) Service(name string) (Service, bool) {
	for _, service := range b.Services {
		if service.Name == name {
			return service, true
		}
	}
	return Service{}, false
}

// fillDefaults sets the fields that were left out and have a default.
func (b *Bundle) fillDefaults() {
	for i := range b.Models {
		m := &b.Models[i]
		if m.Pool == "" {
			m.Pool = DefaultPool
		}
		if m.Objective == 0 {
			m.Objective = DefaultObjective
		}
		if m.MaxTokens == 0 {
			m.MaxTokens = defaultMaxTokens
		}
	}
	for i := range b.Services {
		if b.Services[i].Timeout == 0 {
			b.Services[i].Timeout = Duration(defaultServiceTimeout)
		}
	}
	if b.Limits.Weight == 0 {
		b.Limits.Weight = defaultWeight
	}
}
