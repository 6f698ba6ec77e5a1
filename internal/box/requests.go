package box

import (
	"github.com/VictoriaMetrics/metrics"

	"ospreymoor.example/ospreymoor/pkg/admission"
	"ospreymoor.example/ospreymoor/pkg/bundle"
	"ospreymoor.example/ospreymoor/pkg/burn"
	"ospreymoor.example/ospreymoor/pkg/claims"
	"ospreymoor.example/ospreymoor/pkg/routing"
)

// requests holds the parts that serve callers and operators.
type requests struct {
	admission *admission.Controller
	demand    *demand
	claimed   *claimedRuns
	counters  *requestCounters
	burn      *burnReports
	models    *modelServer
	services  *serviceProxy
	operators *operatorServer
}

func newRequests(config Config, self *self, c *connections, k *knowledge, set *metrics.Set) *requests {
	r := &requests{admission: admission.New(k.view.FleetSize), demand: newDemand()}
	r.burn = &burnReports{
		self:     self,
		view:     k.view,
		recorder: burn.NewRecorder(self.id, self.incarnation),
		keeper:   burn.NewSnapshotStore(),
		peers:    c.peers,
		set:      set,
	}
	r.counters = &requestCounters{burn: r.burn.recorder, set: set}
	r.claimed = &claimedRuns{
		self:     self,
		claims:   claims.New(claims.Config{Store: c.store, Window: config.Requests.ClaimWindow}),
		outcomes: newOutcomes(),
		peers:    c.peers,
		set:      set,
	}
	// Models and plain services share the box's retry budget.
	retries := routing.NewRetryBudget(retryBudgetRatio)
	r.models = r.newModelServer(c, k, retries, set)
	r.services = r.newServiceProxy(config.Requests.MaxBody, c, k, retries)
	r.operators = r.newOperatorServer(config, c, k, set)
	return r
}

func (r *requests) newModelServer(c *connections, k *knowledge, retries *routing.RetryBudget, set *metrics.Set) *modelServer {
	return &modelServer{
		inForce:   k.inForce,
		fleet:     k.fleet,
		router:    k.router,
		weights:   newWeightTable(),
		demand:    r.demand,
		admission: r.admission,
		retries:   retries,
		runs: &engineRuns{
			fleet:         k.fleet,
			view:          k.view,
			router:        k.router,
			engines:       c.engines,
			set:           set,
			heartbeatSoon: k.heartbeats.sendSoon,
		},
		claimed:  r.claimed,
		counters: r.counters,
	}
}

func (r *requests) newServiceProxy(maxBody int64, c *connections, k *knowledge, retries *routing.RetryBudget) *serviceProxy {
	return &serviceProxy{
		inForce:          k.inForce,
		fleet:            k.fleet,
		router:           k.router,
		admission:        r.admission,
		retries:          retries,
		claimed:          r.claimed,
		counters:         r.counters,
		repeatableClient: c.serviceClient,
		onceClient:       c.serviceOnceClient,
		maxBodyBytes:     maxBody,
	}
}

func (r *requests) newOperatorServer(config Config, c *connections, k *knowledge, set *metrics.Set) *operatorServer {
	fits := func(current, next []*bundle.Bundle) error {
		return k.fleet.fits(current, next, config.Control.Placement)
	}
	return &operatorServer{
		tokens:   config.Operators,
		registry: &bundle.Registry{Store: c.store, Fits: fits},
		inForce:  k.inForce,
		follower: k.follower,
		burn:     r.burn,
		counters: r.counters,
		set:      set,
	}
}
