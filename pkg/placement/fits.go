package placement

import (
	"sort"

	"github.com/docker/go-units"
	"github.com/juju/errors"
)

// ErrNoRoom means that the units can't all be kept resident.
const ErrNoRoom = errors.ConstError("not enough accelerator memory: retire or shrink models, or add engines")

// Fits checks that every wanted unit can get a replica while the ones it replaces are still
// resident, on the usable engines less Settings.SpareEngines of the largest of each pool.
// One present replica of each unit stays where it is, so that what is accepted can be reached
// from the present state without a gap. The error is ErrNoRoom, with the figures.
func Fits(in Input) error {
	in.Engines = withoutSpares(in.Engines, in.Settings.SpareEngines)
	b := newBuilder(in)
	b.carryOver()
	b.dropRetired()
	b.keepOneReplicaEach()
	missing := b.sorted(func(u *unit) bool { return b.usableReplicas(u) == 0 })
	sort.SliceStable(missing, func(i, j int) bool { return missing[i].Bytes() > missing[j].Bytes() })
	for _, u := range missing {
		e := b.tightest(u)
		if e == nil {
			return b.noRoom(u)
		}
		b.add(u, e)
	}
	return nil
}

// keepOneReplicaEach drops all replicas but one of each unit, a held one first: the rest can give way.
func (b *builder) keepOneReplicaEach() {
	for _, u := range b.sorted(func(*unit) bool { return true }) {
		ids := b.usableIDs(u)
		sort.SliceStable(ids, func(i, j int) bool {
			return b.engines[ids[i]].holds(u) && !b.engines[ids[j]].holds(u)
		})
		for id := range u.on {
			if len(ids) == 0 || id != ids[0] {
				b.remove(u, b.engines[id])
			}
		}
	}
}

// noRoom is the error for a unit that fits nowhere, with the figures of its pool.
func (b *builder) noRoom(u *unit) error {
	var total, free, largest int64
	engines := 0
	for _, e := range b.order {
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

// humanSize writes bytes with their unit.
func humanSize(bytes int64) string { return units.BytesSize(float64(bytes)) }

// withoutSpares leaves out so many usable engines with most memory of each pool;
// what they hold must then fit on the others.
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
