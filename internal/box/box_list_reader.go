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
	// boxesInterval is how often one of the hall's watchers reads the box list.
	boxesInterval = 2 * time.Second
	// boxesTime bounds one reading of the box list.
	boxesTime = 2 * time.Second
	// maxListBytes bounds the box list that is read, in bytes.
	maxListBytes = 4 << 20
)

// boxListReader keeps the platform's box list in the cache. Watchers of the store read it often, the others slowly
// beside what heartbeats bring.
type boxListReader struct {
	// url is the platform's base.
	url     string
	client  *http.Client
	members *members
	cache   *records.Cache
	// tidy runs after each reading.
	tidy *tidier
	set  *metrics.Set
}

// run reads the box list until ctx ends.
func (r *boxListReader) run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := r.read(ctx); err != nil {
			r.set.GetOrCreateCounter("ospreymoor_box_list_failures_total").Inc()
		}
		r.tidy.forgetGone()
		interval := boxesInterval
		if !r.members.selfWatchesStore() {
			interval = pollInterval
		}
		pause(ctx, jitter(interval))
	}
}

// read reads the box list once.
func (r *boxListReader) read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, boxesTime)
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
