package box

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strings"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"ospreymoor.example/ospreymoor/internal/peer"
	"ospreymoor.example/ospreymoor/pkg/bundle"
	"ospreymoor.example/ospreymoor/pkg/kv"
	"ospreymoor.example/ospreymoor/pkg/membership"
	"ospreymoor.example/ospreymoor/pkg/placement"
	"ospreymoor.example/ospreymoor/pkg/records"
)

// inForce is the table of bundles in force with their texts, as this box serves it.
type inForce struct {
	generation int64
	table      bundle.Table
	bundles    map[string]*bundle.Bundle
	// callers by the SHA-256 of their token.
	callers map[[sha256.Size]byte]caller
}

// caller is who sent a request.
type caller struct {
	name   string
	bundle *bundle.Bundle
}

// adoptInForce puts the newest table in force as soon as all of its texts are here.
func (b *Box) adoptInForce(ctx context.Context) error {
	record, ok := b.cache.Get(bundle.TableKey)
	if !ok {
		return nil
	}
	if held := b.inForce.Load(); held != nil && held.generation >= record.Generation.Term {
		return nil
	}
	table, err := kv.DecodeDocument[bundle.Table](kv.Record{Key: record.Name, Value: record.Value})
	if err != nil {
		return err
	}
	next, err := b.newInForce(ctx, record.Generation.Term, table.Body)
	if err != nil {
		return err
	}
	b.inForce.Store(next)
	b.log.Info("bundles in force", zap.Int64("generation", next.generation), zap.Int("customers", len(next.bundles)))
	return nil
}

func (b *Box) newInForce(ctx context.Context, generation int64, table bundle.Table) (*inForce, error) {
	next := &inForce{
		generation: generation,
		table:      table,
		bundles:    map[string]*bundle.Bundle{},
		callers:    map[[sha256.Size]byte]caller{},
	}
	for _, customer := range table.Serving() {
		text, err := b.bundleText(ctx, customer, table.Customers[customer].Version)
		if err != nil {
			return nil, err
		}
		next.bundles[customer] = text
		for _, c := range text.Callers {
			var sum [sha256.Size]byte
			if _, err := hex.Decode(sum[:], []byte(strings.ToLower(c.TokenSHA256))); err == nil {
				next.callers[sum] = caller{name: c.Name, bundle: text}
			}
		}
	}
	return next, nil
}

// textPeers is how many peers are asked for a bundle's text before the store is.
const textPeers = 2

// bundleText returns a signed-off version: from what is held, from a peer, or from the store.
func (b *Box) bundleText(ctx context.Context, customer string, version uint64) (*bundle.Bundle, error) {
	if held := b.inForce.Load(); held != nil {
		if text := held.bundles[customer]; text != nil && text.Version == version {
			return text, nil
		}
	}
	key := bundle.TextKey(customer, version)
	peers := b.view.Live()
	// Those of the same hall first: they are near, and reached when the hall is cut off.
	slices.SortStableFunc(peers, func(p, q membership.Peer) int {
		return boolOrder(q.Hall == b.config.Hall) - boolOrder(p.Hall == b.config.Hall)
	})
	for _, p := range peers[:min(textPeers, len(peers))] {
		if hasKey(b.cache, key) {
			break
		}
		b.fetchRecords(ctx, p.Address, []string{key})
	}
	if record, ok := b.cache.Get(key); ok {
		return bundle.DecodeText(key, record.Value)
	}
	record, err := b.store.Get(ctx, key)
	if err != nil {
		return nil, errors.Annotatef(err, "reading %s", key)
	}
	b.cache.Put(records.Record{Name: key, Generation: records.Generation{Term: 1}, Value: record.Value})
	return bundle.DecodeText(key, record.Value)
}

func boolOrder(b bool) int {
	if b {
		return 1
	}
	return 0
}

// fetchRecords asks a peer for records by name and takes them in.
func (b *Box) fetchRecords(ctx context.Context, address string, names []string) {
	ctx, cancel := context.WithTimeout(ctx, peerCallTime)
	defer cancel()
	answer, err := peer.Call[peer.RecordsResponse](ctx, b.peers, address, peer.MethodRecords, peer.RecordsRequest{Names: names})
	if err != nil {
		return
	}
	for _, record := range answer.Records {
		b.cache.Put(record)
	}
}

// units lists what the bundles ask engines to hold, with the demand for each.
func units(bundles map[string]*bundle.Bundle, demand map[string]float64) []placement.Unit {
	var all []placement.Unit
	for customer, text := range bundles {
		for _, model := range text.Models {
			all = append(all, modelUnit(customer, text, model, demand))
		}
	}
	return all
}

func modelUnit(customer string, text *bundle.Bundle, model bundle.Model, demand map[string]float64) placement.Unit {
	key := customer + "/" + model.Name
	item := placement.Item{Name: bundle.ModelItem(customer, model), Bytes: int64(model.Memory)}
	unit := placement.Unit{Model: key, Item: item, Pool: model.Pool, Demand: demand[key]}
	for _, adapter := range text.Adapters {
		if adapter.Model == model.Name {
			unit.Adapters = append(unit.Adapters, placement.Item{
				Name:  bundle.AdapterItem(customer, adapter),
				Base:  key,
				Bytes: int64(adapter.Memory),
			})
		}
	}
	return unit
}

// fits checks a roll: all models of next beside all of current, on the engines now known.
func (b *Box) fits(current, next []*bundle.Bundle) error {
	wanted := map[string]placement.Unit{}
	for _, set := range [][]*bundle.Bundle{current, next} {
		for _, text := range set {
			for _, unit := range units(map[string]*bundle.Bundle{text.Customer: text}, nil) {
				if old, ok := wanted[unit.Item.Name]; !ok || unit.Bytes() > old.Bytes() {
					wanted[unit.Item.Name] = unit
				}
			}
		}
	}
	in := placement.Input{Engines: b.placementEngines(), Last: b.fleet.Load().plan, Settings: b.config.Placement}
	for _, unit := range wanted {
		in.Wanted = append(in.Wanted, unit)
	}
	return placement.Fits(in)
}
