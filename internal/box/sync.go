package box

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"go.uber.org/zap"

	"ospreymoor.example/ospreymoor/pkg/bundle"
	"ospreymoor.example/ospreymoor/pkg/kv"
	"ospreymoor.example/ospreymoor/pkg/membership"
	"ospreymoor.example/ospreymoor/pkg/orders"
	"ospreymoor.example/ospreymoor/pkg/records"
)

const (
	// storeRetry is the pause after a watch ended or could not be made.
	storeRetry = time.Second
	// pollInterval is how often a box that does not watch reads the store itself.
	pollInterval = 30 * time.Second
	// boxesInterval is how often a watcher reads the box list.
	boxesInterval = 2 * time.Second
	// boxesTime bounds one reading of the box list.
	boxesTime = 2 * time.Second
	// adoptRetry is the pause after a table could not be put in force for lack of a text.
	adoptRetry = 500 * time.Millisecond
	// longest box list that is read, in bytes.
	maxListBytes = 4 << 20
)

// followStore keeps the table in force and the plan up to date: by a watch if this box is
// one of its hall's watchers, else by a slow poll beside what peers tell.
func (b *Box) followStore(ctx context.Context) {
	for ctx.Err() == nil {
		from, err := b.readStore(ctx)
		if err != nil {
			pause(ctx, jitter(storeRetry))
			continue
		}
		if !b.members.selfWatchesStore() {
			b.waitForTurn(ctx)
			continue
		}
		b.watchStore(ctx, from+1)
		pause(ctx, jitter(storeRetry))
	}
}

// readStore reads all shared records, and returns the highest revision among them.
func (b *Box) readStore(ctx context.Context) (int64, error) {
	list, err := b.store.List(ctx, storePrefix)
	if err != nil {
		return 0, err
	}
	var highest int64
	for _, record := range list {
		highest = max(highest, record.Revision)
		b.cache.Put(records.Record{
			Name:       record.Key,
			Generation: records.Generation{Term: record.Revision},
			Value:      record.Value,
		})
	}
	b.inForce.adoptNothing()
	return highest, nil
}

// watchStore takes changes in until the watch ends or another box should watch instead.
func (b *Box) watchStore(ctx context.Context, from int64) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	events, err := b.store.Watch(ctx, kv.Watching{Prefix: storePrefix, From: from})
	if err != nil {
		return
	}
	check := time.NewTicker(pollInterval)
	defer check.Stop()
	for {
		select {
		case batch, ok := <-events:
			if !ok {
				return
			}
			b.cacheEvents(batch)
		case <-check.C:
			if !b.members.selfWatchesStore() {
				return
			}
		}
	}
}

// cacheEvents takes a batch of changes in.
func (b *Box) cacheEvents(batch []kv.Event) {
	for _, event := range batch {
		if event.Deleted {
			continue
		}
		b.cache.Put(records.Record{
			Name:       event.Record.Key,
			Generation: records.Generation{Term: event.Record.Revision},
			Value:      event.Record.Value,
		})
	}
}

// waitForTurn pauses a box that does not watch, until its next poll or until it should watch.
func (b *Box) waitForTurn(ctx context.Context) {
	end := time.Now().Add(jitter(pollInterval))
	for time.Now().Before(end) && pause(ctx, storeRetry) {
		if b.members.selfWatchesStore() {
			return
		}
	}
}

// followBoxes reads the platform's box list.
func (b *Box) followBoxes(ctx context.Context) {
	for ctx.Err() == nil {
		if err := b.readBoxes(ctx); err != nil {
			b.set.GetOrCreateCounter("ospreymoor_box_list_failures_total").Inc()
		}
		b.tidy()
		interval := boxesInterval
		if !b.members.selfWatchesStore() {
			interval = pollInterval
		}
		pause(ctx, jitter(interval))
	}
}

func (b *Box) readBoxes(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, boxesTime)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, strings.TrimSuffix(b.config.PlatformURL, "/")+"/boxes", nil)
	if err != nil {
		return err
	}
	response, err := b.platform.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	var list membership.List
	if err := json.NewDecoder(http.MaxBytesReader(nil, response.Body, maxListBytes)).Decode(&list); err != nil {
		return err
	}
	value, err := json.Marshal(list)
	if err != nil {
		return err
	}
	b.cache.Put(records.Record{Name: boxListRecord, Generation: records.Generation{Term: list.Generation}, Value: value})
	return nil
}

// tidy forgets what boxes, engines and bundles left behind that are gone.
func (b *Box) tidy() {
	incarnations := map[string]bool{}
	for _, p := range b.view.Live() {
		incarnations[p.Incarnation] = true
	}
	b.fleet.sent.forget(incarnations)
	fleet := b.fleet.snapshot.Load()
	b.engines.forget(fleet.engines)
	b.router.Forget(fleet.lists)
	f := b.inForce.current.Load()
	if f == nil {
		return
	}
	texts := map[string]bool{}
	for customer, entry := range f.table.Customers {
		texts[bundle.TextKey(customer, entry.Version)] = true
	}
	b.cache.Forget(func(name string) bool { return isShared(name) || texts[name] })
}

// applyRecords turns records that were taken in into what requests are served by.
func (b *Box) applyRecords(ctx context.Context) {
	applied := map[string]records.Generation{}
	for {
		select {
		case <-b.recordNews:
		case <-ctx.Done():
			return
		}
		news := b.newRecords(applied)
		b.applyFleet(news)
		if err := b.inForce.adopt(ctx); err != nil {
			b.set.GetOrCreateCounter("ospreymoor_adopt_failures_total").Inc()
			b.log.Warn("table not put in force yet", zap.Error(err))
			time.AfterFunc(adoptRetry, func() { wake(b.recordNews) })
		}
	}
}

// newRecords lists what changed since the last call and notes it as applied.
func (b *Box) newRecords(applied map[string]records.Generation) []string {
	var news []string
	for name, generation := range b.cache.Generations(func(string) bool { return true }) {
		if old, ok := applied[name]; !ok || old.Less(generation) {
			applied[name] = generation
			news = append(news, name)
		}
	}
	return news
}

func (b *Box) applyFleet(news []string) {
	changed := false
	for _, name := range news {
		switch {
		case name == boxListRecord:
			b.view.SetList(readRecord[membership.List](b.reader, name))
			changed = true
		case name == planRecord, strings.HasPrefix(name, holdingsPrefix):
			changed = true
		case strings.HasPrefix(name, loadsPrefix):
			b.applyLoads(name, readRecord[orders.Loads](b.reader, name))
		}
		if name == bundle.TableKey || name == planRecord {
			wake(b.beatNow)
		}
	}
	if changed {
		b.fleet.rebuild()
	}
}

func (b *Box) applyLoads(name string, loads orders.Loads) {
	b.fleet.loads.take(name, loads)
	for id := range loads.Engines {
		b.fleet.sent.reported(id)
	}
}
