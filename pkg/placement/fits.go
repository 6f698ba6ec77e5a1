package placement

import (
	"sort"

	"github.com/docker/go-units"
	"github.com/juju/errors"
)

// ErrNoRoom means that the memory of the engines is too small to keep all units resident.
const ErrNoRoom = errors.ConstError("not enough accelerator memory: retire or shrink models, or add engines")

// Fits checks that every wanted unit can get a replica while the units that it replaces are still resident.
// It uses the usable engines without Settings.SpareEngines of the largest in each pool. One present replica
// of each unit stays where it is, so that an accepted change can be reached from the present state without a
// model becoming unavailable. The error is ErrNoRoom with the figures of the pool.
func Fits(in Input) error {
	in.Engines = withoutSpares(in.Engines, in.Settings.SpareEngines)
	b := newBuilder(in)
	b.carryOver()
	b.dropRetired()
	b.keepOneReplicaEach()
	missing := b.sortedUnits(func(u *unit) bool { return b.usableReplicas(u) == 0 })
	sort.SliceStable(missing, func(i, j int) bool { return missing[i].Bytes() > missing[j].Bytes() })
	for _, u := range missing {
		e := b.bestFit(u)
		if e == nil {
			return b.noRoom(u)
		}
		b.addReplica(u, e)
	}
	return nil
}

// keepOneReplicaEach removes all replicas but one of each unit, because the others can make room. It keeps a
// replica that an engine holds, if there is one.
func (b *builder) keepOneReplicaEach() {
	for _, u := range b.sortedUnits(func(*unit) bool { return true }) {
		ids := b.usableIDs(u)
		sort.SliceStable(ids, func(i, j int) bool {
			return b.engines[ids[i]].holds(u) && !b.engines[ids[j]].holds(u)
		})
		for id := range u.replicas {
			if len(ids) == 0 || id != ids[0] {
				b.removeReplica(u, b.engines[id])
			}
		}
	}
}

// noRoom returns the error for a unit that fits on no engine, with the figures of its pool.
func (b *builder) noRoom(u *unit) error {
	var total, free, largest int64
	engines := 0
	for _, e := range b.sortedEngines {
		if e.Pool != u.Pool || e.Condition != Usable {
			continue
		}
		engines++
		total += e.Memory
		free += e.free
		largest = max(largest, e.free)
	}
	return errors.Annotatef(ErrNoRoom, "pool %s: model %s with its adapters takes %s, but of %s on %d engines (%d more set aside for failures) %s is free, at most %s on one",
		u.Pool, u.Model, humanSize(u.Bytes()), humanSize(total), engines, b.in.Settings.SpareEngines, humanSize(free), humanSize(largest))
}

// humanSize formats a number of bytes with a unit.
func humanSize(bytes int64) string { return units.BytesSize(float64(bytes)) }

// withoutSpares leaves out the given number of usable engines with the most memory in each pool. What they
// hold must then fit on the others.
func withoutSpares(engines []Engine, spares int) []Engine {
	sorted := append([]Engine(nil), engines...)
	sort.SliceStable(sorted, func(i, j int) bool { return sorted[i].Memory > sorted[j].Memory })
	left := map[string]int{}
	var kept []Engine
	for _, e := range sorted {
		if e.Condition == Usable && left[e.Pool] < spares {
			left[e.Pool]++
			continue
		}
		kept = append(kept, e)
	}
	return kept
}
