package customers_test

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"ospreymoor.example/ospreymoor/pkg/customers"
)

// The strategies that the simulation compares: keepers, which is the one in use, fixed parts, and sums that boxes
// exchange.

// byKeepers has one box keep the quota for all. A box of each hall keeps it for boxes of the hall that do not reach
// the first one, and each box for itself if it reaches neither.
func (r *simulation) byKeepers(seed uint64) result {
	r.keepers = make([]*customers.Keeper, r.boxes)
	r.resetAll(seed)
	// The keeper of the fleet is in a hall that is not cut, and among the single boxes that are.
	const keeper = 1
	spenders := make([]*customers.Spender, r.boxes)
	ctx, cancel := context.WithCancel(context.Background())
	defer func() {
		cancel()
		time.Sleep(time.Second) // Calls in flight end.
	}()
	for box := range r.boxes {
		spenders[box] = customers.NewSpender(func(ctx context.Context, ask customers.SpendRequest) (customers.Grant, error) {
			return r.ask(ctx, box, keeper, ask)
		})
		go spenders[box].Run(ctx)
	}
	if r.restartAll {
		time.AfterFunc(7*time.Second, func() { r.resetAll(seed) })
	}
	if r.keeperDown {
		time.AfterFunc(9*time.Second, func() { r.reset(keeper, seed) })
	}
	r.run(seed, func(box int) bool {
		limit, version := r.currentLimit()
		return spenders[box].Take(&customers.Customer{Name: "c", Limit: limit}, version, customers.Class{}, r.cost).Granted
	})
	return r.result()
}

// hallKeeper returns the first box of a box's hall that is known to be reachable and does not keep the fleet's
// account, and the share of its account.
func (r *simulation) hallKeeper(box, fleetKeeper int) (int, float64) {
	known := within(r.now(), 5*time.Second+detectionDelay, 6*time.Second)
	first, count := -1, 0
	for other := box % r.halls; other < r.boxes; other += r.halls {
		if known && r.side(other) != r.side(box) {
			continue
		}
		count++
		if first < 0 && other != fleetKeeper {
			first = other
		}
	}
	if first < 0 {
		first = box
	}
	return first, float64(count) / float64(r.boxes)
}

// lost reports whether a call between boxes gets no answer in time.
func (r *simulation) lost() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lossRandom.Float64() < r.lossRate
}

var errNoAnswer = errors.New("no answer")

func (r *simulation) ask(ctx context.Context, box, keeper int, ask customers.SpendRequest) (customers.Grant, error) {
	to, share := keeper, 0.0
	switch ask.Scope {
	case customers.FleetScope:
		share = float64(r.reachableBoxes(keeper)) / float64(r.boxes)
	case customers.HallScope:
		to, share = r.hallKeeper(box, keeper)
	default:
		to, share = box, 1.0/float64(r.boxes)
	}
	down := (r.keeperDown || r.keeperFrozen) && to == keeper && within(r.now(), 5*time.Second, 4*time.Second)
	if to != box && (down || r.lost() || r.side(to) != r.side(box)) {
		<-ctx.Done()
		return customers.Grant{}, errNoAnswer
	}
	if to != box {
		time.Sleep(2 * callDelay)
	}
	if r.spend != nil {
		return r.spend(to, ask, share), nil
	}
	return r.keeper(to).Spend(ask, share, time.Now()), nil
}

// byFixedParts has each box keep an equal part of the limit and ask no other box.
func (r *simulation) byFixedParts(seed uint64) result {
	r.keepers = make([]*customers.Keeper, r.boxes)
	r.resetAll(seed)
	r.run(seed, func(box int) bool {
		limit, version := r.currentLimit()
		ask := customers.SpendRequest{Customer: "c", Scope: customers.BoxScope, Limit: limit, Version: version, Costs: []float64{r.cost}}
		return r.keeper(box).Spend(ask, 1.0/float64(r.boxes), time.Now()).Waits[0] == 0
	})
	return r.result()
}

// byExchangedSums has each box keep an account of the spending of all boxes, which the boxes exchange. An account
// holds the part of the limit of the reachable boxes.
func (r *simulation) byExchangedSums(seed uint64) result {
	r.keepers = make([]*customers.Keeper, r.boxes)
	r.resetAll(seed)
	ask := func(box int, costs []float64, settled float64) customers.Grant {
		limit, version := r.currentLimit()
		a := customers.SpendRequest{Customer: "c", Scope: customers.FleetScope, Limit: limit, Version: version, Costs: costs, Settled: settled}
		return r.keeper(box).Spend(a, float64(r.reachableBoxes(box))/float64(r.boxes), time.Now())
	}
	if r.restartAll {
		time.AfterFunc(7*time.Second, func() { r.resetAll(seed) })
	}
	random := rand.New(rand.NewPCG(seed, 11))
	r.run(seed, func(box int) bool {
		granted := ask(box, []float64{r.cost}, 0).Waits[0] == 0
		if granted {
			r.mu.Lock()
			delay := time.Duration(random.Float64() * exchangeHops * float64(exchangeInterval))
			r.mu.Unlock()
			time.AfterFunc(delay, func() {
				for other := range r.boxes {
					if other != box && r.side(other) == r.side(box) {
						ask(other, nil, r.cost)
					}
				}
			})
		}
		return granted
	})
	time.Sleep(exchangeHops * exchangeInterval)
	return r.result()
}
