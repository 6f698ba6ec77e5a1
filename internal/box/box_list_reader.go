package box

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"ospreymoor.example/ospreymoor/pkg/membership"
	"ospreymoor.example/ospreymoor/pkg/records"
)

const (
	// boxListInterval is how often a box that watches the store reads the box list.
	boxListInterval = 2 * time.Second
	// boxListTimeout bounds one read of the box list.
	boxListTimeout = 2 * time.Second
	// maxListBytes bounds the size of the box list in bytes.
	maxListBytes = 4 << 20
)

// boxListReader keeps the platform's box list in the cache. The hall's watchers of the store read it every
// boxListInterval. The other boxes get it with heartbeats and read it themselves only every pollInterval.
type boxListReader struct {
	// url is the platform's base URL.
	url     string
	client  *http.Client
	members *members
	cache   *records.Cache
	// cleaner runs after each read.
	cleaner *staleStateCleaner
	set     *metrics.Set
}

// run reads the box list periodically until ctx ends.
func (r *boxListReader) run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := r.read(ctx); err != nil {
			r.set.GetOrCreateCounter("ospreymoor_box_list_failures_total").Inc()
		}
		r.cleaner.removeStale()
		interval := boxListInterval
		if !r.members.selfWatchesStore() {
			interval = pollInterval
		}
		pause(ctx, jitter(interval))
	}
}

// read reads the box list once and puts it into the cache.
func (r *boxListReader) read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, boxListTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, strings.TrimSuffix(r.url, "/")+"/boxes", nil)
	if err != nil {
		return err
	}
	response, err := r.client.Do(request)
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
	r.cache.Put(records.Record{Name: boxListRecord, Generation: records.Generation{Term: list.Generation}, Value: value})
	return nil
}
