package places

import (
	"context"
	"sync"
	"time"
)

// holdTime is how long the keeper holds an ask before it answers that the box should ask again. It bounds how late a
// box notices that the keeper is lost.
const holdTime = 60 * time.Millisecond

// maxServices bounds the accounts of one keeper.
const maxServices = 256

// accountTTL is the time after which an account is dropped if no box asks.
const accountTTL = 30 * time.Second

// Keeper keeps the accounts of the services that this box is the keeper of. It is safe for concurrent use.
type Keeper struct {
	// Upstreams returns the upstreams of a service that may get requests now.
	Upstreams func(service string) []Upstream
	// Share returns the share of all boxes that this one is in touch with.
	Share func() float64
	// Running returns the number of requests that boxes report at an upstream.
	Running func(upstream string) int

	mu       sync.Mutex
	services map[string]*service
}

// service is the account of a service with the asks that are held.
type service struct {
	account *Account
	// held holds where the answers of held asks go.
	held   map[uint64]chan string
	usedAt time.Time
}

// Ask answers an ask. It holds one that has to wait for holdTime or until it gets a place.
func (k *Keeper) Ask(ctx context.Context, ask Ask) Answer {
	granted := make(chan string, 1)
	answer := k.offer(ask, granted)
	if answer.Denied || answer.None {
		return answer
	}
	hold := time.NewTimer(holdTime)
	defer hold.Stop()
	select {
	case answer.Upstream = <-granted:
		return answer
	case <-hold.C:
	case <-ctx.Done():
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if s := k.services[ask.Service]; s != nil && s.held[ask.ID] == granted {
		delete(s.held, ask.ID)
	}
	select {
	case answer.Upstream = <-granted:
	default:
	}
	return answer
}

// offer adds an ask to its account and gives out the places that are free.
func (k *Keeper) offer(ask Ask, granted chan string) Answer {
	now := time.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	s := k.update(ask.Service, now)
	if s == nil {
		return Answer{None: true}
	}
	if upstream, ok := s.account.taken[ask.ID]; ok {
		granted <- upstream // It got its place since it asked before, or the answer was lost.
		return s.counted(Answer{}, now)
	}
	answer := s.account.Offer(ask, now)
	if !answer.Denied && !answer.None {
		s.held[ask.ID] = granted
	}
	s.assign(now)
	return s.counted(answer, now)
}

// counted adds what the account counts to an answer.
func (s *service) counted(answer Answer, now time.Time) Answer {
	answer.Known, answer.Taken, answer.Waiting = s.account.Counts()
	answer.Age = now.Sub(s.account.began)
	return answer
}

// Return gives back places.
func (k *Keeper) Return(returns Returns) {
	now := time.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	s := k.update(returns.Service, now)
	if s == nil {
		return
	}
	for _, back := range returns.Places {
		delete(s.held, back.ID)
		s.account.Return(back, now)
	}
	s.assign(now)
}

// update returns the account of a service with its upstreams as of now; nil for one that has none and had none. The
// caller holds the lock.
func (k *Keeper) update(name string, now time.Time) *service {
	upstreams := k.Upstreams(name)
	s := k.services[name]
	if s == nil && len(upstreams) == 0 {
		return nil
	}
	if s == nil {
		s = &service{account: NewAccount(now), held: map[uint64]chan string{}}
		k.prune(now)
		if k.services == nil {
			k.services = map[string]*service{}
		}
		k.services[name] = s
	}
	s.usedAt = now
	s.account.Update(upstreams, k.Share(), k.Running, now)
	return s
}

// prune drops the accounts that no box asks for; more than maxServices are not kept. The caller holds the lock.
func (k *Keeper) prune(now time.Time) {
	for name, s := range k.services {
		if now.Sub(s.usedAt) > accountTTL || len(k.services) >= maxServices {
			delete(k.services, name)
		}
	}
}

// assign gives out the free places.
func (s *service) assign(now time.Time) {
	for _, grant := range s.account.Assign(now) {
		if held, ok := s.held[grant.ID]; ok {
			held <- grant.Upstream
			delete(s.held, grant.ID)
		}
		// Without a held ask, the box asks again and is told then.
	}
}

// Counts returns the places that are known, those that are taken, and the asks that wait, over all accounts.
func (k *Keeper) Counts() (known, taken, waiting int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, s := range k.services {
		all, used, waits := s.account.Counts()
		known, taken, waiting = known+all, taken+used, waiting+waits
	}
	return known, taken, waiting
}
