package standin

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/juju/errors"

	"ospreymoor.example/ospreymoor/pkg/kv"
)

// rangeKeys answers a range call. Without RangeEnd it reads one key; with it, all keys that begin with Key.
func rangeKeys(ctx context.Context, store kv.Store, request kv.RangeRequest) (kv.RangeResponse, error) {
	var answer kv.RangeResponse
	if len(request.RangeEnd) > 0 {
		snapshot, err := store.Snapshot(ctx, string(request.Key))
		answer.Header.Revision = snapshot.Revision
		for _, record := range snapshot.Records {
			answer.KVs = append(answer.KVs, keyValue(record))
		}
		return answer, err
	}
	record, err := store.Get(ctx, string(request.Key))
	if errors.Is(err, kv.ErrNotFound) {
		return answer, nil
	}
	answer.KVs = []kv.KeyValue{keyValue(record)}
	return answer, err
}

// transact answers a transaction, which must have one comparison and one operation.
func transact(ctx context.Context, store kv.Store, request kv.TxnRequest) (kv.TxnResponse, error) {
	if len(request.Compare) != 1 || len(request.Success) != 1 {
		return kv.TxnResponse{}, errors.New("this stand-in takes one comparison and one step")
	}
	revision, err := applyOperation(ctx, store, request.Compare[0].ModRevision, request.Success[0])
	if errors.Is(err, kv.ErrConflict) {
		return kv.TxnResponse{}, nil
	}
	return kv.TxnResponse{Header: kv.Header{Revision: revision}, Succeeded: err == nil}, err
}

func applyOperation(ctx context.Context, store kv.Store, from int64, op kv.Op) (int64, error) {
	if op.DeleteRange != nil {
		return 0, store.Delete(ctx, string(op.DeleteRange.Key), from)
	}
	record, err := store.Swap(ctx, kv.Swap{
		Key:      string(op.Put.Key),
		Revision: from,
		Value:    op.Put.Value,
		Lease:    kv.LeaseID{Number: op.Put.Lease},
	})
	return record.Revision, err
}

// renewResult wraps the answer to a renewal, as etcd's stream does.
type renewResult struct {
	Result kv.LeaseResponse `json:"result"`
}

func renew(ctx context.Context, store kv.Store, request kv.LeaseRequest) (renewResult, error) {
	err := store.Renew(ctx, kv.LeaseID{Number: request.ID})
	if errors.Is(err, kv.ErrLeaseLost) {
		return renewResult{Result: kv.LeaseResponse{ID: request.ID}}, nil
	}
	return renewResult{Result: kv.LeaseResponse{ID: request.ID, TTL: 1}}, err
}

func keyValue(record kv.Record) kv.KeyValue {
	return kv.KeyValue{
		Key:         []byte(record.Key),
		Value:       record.Value,
		ModRevision: record.Revision,
		Version:     record.Version,
	}
}

// watch streams the changes of a prefix until the caller disconnects or SetMode ends all watches.
func (p *Platform) watch(w http.ResponseWriter, r *http.Request) {
	var request kv.WatchRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	watchEnd := p.watchEnd
	p.mu.Unlock()
	events, err := p.Memory.Store().Watch(r.Context(), kv.WatchOptions{Prefix: string(request.Create.Key), From: request.Create.StartRevision})
	if err != nil {
		http.Error(w, errors.Details(err), http.StatusInternalServerError)
		return
	}
	writeJSON(w, kv.WatchResponse{Result: kv.WatchResult{Created: true}})
	flush(w)
	for {
		select {
		case batch, ok := <-events:
			if !ok {
				return
			}
			for _, event := range batch {
				writeJSON(w, watchMessage(event))
			}
			flush(w)
		case <-watchEnd:
			panic(http.ErrAbortHandler)
		}
	}
}

func watchMessage(event kv.Event) kv.WatchResponse {
	message := kv.WatchEvent{KV: keyValue(event.Record)}
	if event.Deleted {
		message.Type = "DELETE"
	}
	return kv.WatchResponse{Result: kv.WatchResult{Events: []kv.WatchEvent{message}}}
}
