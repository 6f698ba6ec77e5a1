package customers_test

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"ospreymoor.example/ospreymoor/pkg/customers"
)

// The ways of keeping a quota that the replay compares: by keepers, which is the one in use, by fixed parts, and by sums that
// boxes tell each other.

// byKeepers has one box keep the quota for all, a box of each hall for those that do not reach it, and each box for itself.
func (r *replay) byKeepers(seed uint64) result {
	r.keepers = make([]*customers.Keeper, r.boxes)
	r.forget(seed)
	// The keeper of the fleet is in a hall that is not cut, and among the single boxes that are.
	const keeper = 1
	spenders := make([]*customers.Spender, r.boxes)
	ctx, cancel := context.WithCancel(context.Background())
	defer func() {
		cancel()
		time.Sleep(time.Second) // Asks under way end.
	}()
	for box := range r.boxes {
		spenders[box] = customers.NewSpender(func(ctx context.Context, ask customers.Ask) (customers.Grant, error) {
			return r.ask(ctx, box, keeper, ask)
		})
		go spenders[box].Run(ctx)
	}
	if r.restart {
		time.AfterFunc(7*time.Second, func() { r.forget(seed) })
	}
	if r.keeperDown {
		time.AfterFunc(9*time.Second, func() { r.replace(keeper, seed) })
	}
	r.play(seed, func(box int) bool {
		limit, version := r.currentLimit()
		return spenders[box].Take(&customers.Customer{Name: "c", Limit: limit}, version, r.cost).Granted
	})
	return r.result()
}

// hallKeeper is the first box of a box's hall that it knows to be in touch with it and that does not keep the fleet's account,
// with its part.
func (r *replay) hallKeeper(box, fleetKeeper int) (int, float64) {
	known := within(r.now(), 5*time.Second+noticed, 6*time.Second)
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
func (r *replay) lost() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.luck.Float64() < r.silent
}

var errSilent = errors.New("no answer")

func (r *replay) ask(ctx context.Context, box, keeper int, ask customers.Ask) (customers.Grant, error) {
	to, share := keeper, 0.0
	switch ask.Scope {
	case customers.FleetScope:
		share = float64(r.inTouch(keeper)) / float64(r.boxes)
	case customers.HallScope:
		to, share = r.hallKeeper(box, keeper)
	default:
		to, share = box, 1.0/float64(r.boxes)
	}
	down := (r.keeperDown || r.keeperFrozen) && to == keeper && within(r.now(), 5*time.Second, 4*time.Second)
	if to != box && (down || r.lost() || r.side(to) != r.side(box)) {
		<-ctx.Done()
		return customers.Grant{}, errSilent
	}
	if to != box {
		time.Sleep(2 * replayDelay)
	}
	return r.keeper(to).Spend(ask, share, time.Now()), nil
}

// byFixedParts has each box keep its equal part and ask nobody.
func (r *replay) byFixedParts(seed uint64) result {
	r.keepers = make([]*customers.Keeper, r.boxes)
	r.forget(seed)
	r.play(seed, func(box int) bool {
		limit, version := r.currentLimit()
		ask := customers.Ask{Customer: "c", Scope: customers.BoxScope, Limit: limit, Version: version, Costs: []float64{r.cost}}
		return r.keeper(box).Spend(ask, 1.0/float64(r.boxes), time.Now()).Waits[0] == 0
	})
	return r.result()
}

// byToldSums has each box keep an account of what all spend: what the others spend is told with the exchange, and an
// account holds the part of the boxes that are in touch.
func (r *replay) byToldSums(seed uint64) result {
	r.keepers = make([]*customers.Keeper, r.boxes)
	r.forget(seed)
	ask := func(box int, costs []float64, settled float64) customers.Grant {
		limit, version := r.currentLimit()
		a := customers.Ask{Customer: "c", Scope: customers.FleetScope, Limit: limit, Version: version, Costs: costs, Settled: settled}
		return r.keeper(box).Spend(a, float64(r.inTouch(box))/float64(r.boxes), time.Now())
	}
	if r.restart {
		time.AfterFunc(7*time.Second, func() { r.forget(seed) })
	}
	random := rand.New(rand.NewPCG(seed, 11))
	r.play(seed, func(box int) bool {
		granted := ask(box, []float64{r.cost}, 0).Waits[0] == 0
		if granted {
			r.mu.Lock()
			delay := time.Duration(random.Float64() * toldHops * float64(toldEvery))
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
	time.Sleep(toldHops * toldEvery)
	return r.result()
}
