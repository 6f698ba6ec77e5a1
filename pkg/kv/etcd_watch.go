package kv

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/juju/errors"
)

// watch opens a stream. It has no timeout: the service sends nothing while nothing changes.
func (e *etcd) watch(ctx context.Context, watching WatchOptions) (<-chan []Event, error) {
	prefix := watching.Prefix
	create := WatchCreate{Key: []byte(prefix), RangeEnd: prefixEnd(prefix), StartRevision: watching.From}
	response, err := e.post(ctx, PathWatch, WatchRequest{Create: create})
	if err != nil {
		return nil, fmt.Errorf("%v: %w", errors.Annotatef(err, "watch %s", prefix), ErrUnavailable)
	}
	if response.StatusCode != http.StatusOK {
		_ = response.Body.Close()
		return nil, errors.Annotatef(ErrUnavailable, "watch %s: %s", prefix, response.Status)
	}
	events := make(chan []Event)
	go readWatch(ctx, response.Body, events)
	return events, nil
}

// readWatch sends the events of a watch's stream until the stream or ctx ends. It reports no error: after
// the channel is closed the caller reads a snapshot, which fails if the service can't be reached.
func readWatch(ctx context.Context, body io.ReadCloser, events chan<- []Event) {
	defer close(events)
	defer func() { _ = body.Close() }()
	decoder := json.NewDecoder(body)
	for {
		var message WatchResponse
		if decoder.Decode(&message) != nil || message.Result.Canceled {
			return
		}
		batch := make([]Event, len(message.Result.Events))
		for i, e := range message.Result.Events {
			batch[i] = Event{Record: e.KV.record(), Deleted: e.Type == "DELETE"}
		}
		if len(batch) == 0 {
			continue
		}
		select {
		case events <- batch:
		case <-ctx.Done():
			return
		}
	}
}
