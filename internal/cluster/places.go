package cluster

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"ospreymoor.example/ospreymoor/internal/peer"
	"ospreymoor.example/ospreymoor/pkg/dispatch"
	"ospreymoor.example/ospreymoor/pkg/fleet"
	"ospreymoor.example/ospreymoor/pkg/places"
)

const (
	// placeTimeout bounds a call for a place. The keeper holds an ask for a part of it.
	placeTimeout = 120 * time.Millisecond
	// returnTimeout bounds a call that returns places. A place that is not returned is free after its deadline.
	returnTimeout = 500 * time.Millisecond
	// maxReturnTries is how often in a row places are returned in vain, returnRetryDelay apart, before they are left
	// to their deadlines.
	maxReturnTries   = 20
	returnRetryDelay = 200 * time.Millisecond
	// maxReturns bounds the places that wait to be returned for one service, while the keeper does not answer.
	maxReturns = 1000
	// placesPrefix precedes the service in the name by which its keeper is found, so that a customer of that name
	// has another one.
	placesPrefix = "places of "
)

// Places asks the keepers of plain services for places at their upstreams, and answers for the services that this box
// is the keeper of.
type Places struct {
	Members   *Members
	Client    *peer.Client
	Directory *fleet.Directory
	Log       *zap.Logger

	kept *places.Keeper

	mu sync.Mutex
	// returning holds, by service, the places to return; a service is present while a goroutine returns them.
	returning map[string][]places.Return
}

// Handle registers the methods by which other boxes take and return places, and begins to keep accounts.
func (p *Places) Handle(server *peer.Server) {
	peer.Handle(server, methodPlace, p.answer)
	peer.Handle(server, methodReturnPlaces, p.takeBack)
}

// NewPlaces returns places without accounts.
func NewPlaces(members *Members, client *peer.Client, directory *fleet.Directory, loads *dispatch.LoadTracker, log *zap.Logger) *Places {
	p := &Places{Members: members, Client: client, Directory: directory, Log: log, returning: map[string][]places.Return{}}
	p.kept = &places.Keeper{
		Upstreams: p.upstreams,
		Share:     func() float64 { return members.reachableShare(time.Now()) },
		Running:   func(id string) int { return loads.Total(id).Running },
	}
	return p
}

// Counted reports whether places are counted: if boxes exchange through relays. Otherwise the loads that they report
// are fresh enough.
func (p *Places) Counted() bool { return p.Members.Large() }

// Ask asks the keeper of a service for a place. The error is errKeeperLost or that of the call; the request then goes
// by the loads that boxes report.
func (p *Places) Ask(ctx context.Context, ask places.Ask) (places.Answer, error) {
	keeper := p.Members.keeperOf(placesPrefix + ask.Service)
	if keeper.Name == p.Members.self.Name {
		return p.answer(ctx, ask)
	}
	call := keeperCall{Members: p.Members, Client: p.Client, Log: p.Log, Method: methodPlace, Keeper: keeper, Timeout: placeTimeout}
	return callKeeper[places.Answer](ctx, call, ask)
}

func (p *Places) answer(ctx context.Context, ask places.Ask) (places.Answer, error) {
	return p.kept.Ask(ctx, ask), nil
}

// Return gives back a place, or withdraws an ask. It does not wait for the keeper. Places that are returned while a
// message is under way go together in the next one.
func (p *Places) Return(service string, back places.Return) {
	p.mu.Lock()
	defer p.mu.Unlock()
	pending, underway := p.returning[service]
	if len(pending) < maxReturns {
		p.returning[service] = append(pending, back)
	}
	if !underway {
		go p.sendReturns(service)
	}
}

// sendReturns returns the places of a service until there are none to return. While the keeper does not answer, it
// tries again: one that was frozen still counts them as taken.
func (p *Places) sendReturns(service string) {
	failures := 0
	p.mu.Lock()
	for len(p.returning[service]) > 0 && failures < maxReturnTries {
		returns := places.Returns{Service: service, Places: p.returning[service]}
		p.returning[service] = nil
		p.mu.Unlock()
		err := p.sendReturn(returns)
		if err != nil {
			// It is not logged: asks for places log when the keeper is lost and regained.
			time.Sleep(returnRetryDelay)
		}
		p.mu.Lock()
		if err == nil {
			failures = 0
			continue
		}
		failures++
		p.returning[service] = append(returns.Places, p.returning[service]...)
	}
	delete(p.returning, service)
	p.mu.Unlock()
}

// sendReturn sends one message. It also goes to a keeper that counts as lost: one that was frozen takes no request
// until its places are returned.
func (p *Places) sendReturn(returns places.Returns) error {
	keeper := p.Members.keeperOf(placesPrefix + returns.Service)
	if keeper.Name == p.Members.self.Name {
		p.kept.Return(returns)
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), returnTimeout)
	defer cancel()
	_, err := peer.CallKeepingConn[peer.Empty](ctx, p.Client, keeper.Address, methodReturnPlaces, returns)
	return err
}

func (p *Places) takeBack(_ context.Context, returns places.Returns) (peer.Empty, error) {
	p.kept.Return(returns)
	return peer.Empty{}, nil
}

// upstreams returns the upstreams of a service that may get requests. Which of them an asking box doesn't reach, and
// which asked it for a backoff, its ask says: this box may be cut off from others.
func (p *Places) upstreams(service string) []places.Upstream {
	now := time.Now()
	var list []places.Upstream
	for _, state := range p.Directory.OfService(service) {
		if state.Usable(now) && !state.Evacuated {
			list = append(list, places.Upstream{ID: state.ID, Hall: state.Hall, Slots: state.Slots})
		}
	}
	return list
}

// Counts returns the places that this box knows of as a keeper, those that are taken, and the asks that wait.
func (p *Places) Counts() (known, taken, waiting int) { return p.kept.Counts() }
