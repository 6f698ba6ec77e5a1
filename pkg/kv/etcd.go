package kv

import (
	"context"
	"net/http"
	"time"

	"github.com/juju/errors"
)

// Paths of the etcd v3 API in its published HTTP/JSON form.
const (
	PathRange  = "/v3/kv/range"
	PathTxn    = "/v3/kv/txn"
	PathGrant  = "/v3/lease/grant"
	PathRenew  = "/v3/lease/keepalive"
	PathRevoke = "/v3/lease/revoke"
	PathWatch  = "/v3/watch"
)

// EtcdConfig defines where the service is and how to reach it.
type EtcdConfig struct {
	// URL is the service's base URL, such as http://127.0.0.1:2379.
	URL string
	// Client makes the calls; nil means http.DefaultClient.
	Client *http.Client
	// CallTimeout is the timeout of each call except a watch; 0 means 2 s.
	CallTimeout time.Duration
}

// defaultCallTimeout is the timeout of a call if the config sets none.
const defaultCallTimeout = 2 * time.Second

// NewEtcd returns a Store that calls the etcd v3 API over HTTP and JSON, for `ospreymoor serve`.
func NewEtcd(config EtcdConfig) Store {
	if config.Client == nil {
		config.Client = http.DefaultClient
	}
	if config.CallTimeout == 0 {
		config.CallTimeout = defaultCallTimeout
	}
	e := &etcd{EtcdConfig: config}
	return Store{
		Get:      e.get,
		List:     e.list,
		Snapshot: e.snapshot,
		Swap:     e.swap,
		Delete:   e.remove,
		Grant:    e.grant,
		Renew:    e.renew,
		Revoke:   e.revoke,
		Watch:    e.watch,
	}
}

type etcd struct{ EtcdConfig }

func (e *etcd) get(ctx context.Context, key string) (Record, error) {
	var answer RangeResponse
	if err := e.read(ctx, PathRange, RangeRequest{Key: []byte(key)}, &answer); err != nil {
		return Record{}, err
	}
	if len(answer.KVs) == 0 {
		return Record{}, errors.Annotatef(ErrNotFound, "get %s", key)
	}
	return answer.KVs[0].record(), nil
}

func (e *etcd) list(ctx context.Context, prefix string) ([]Record, error) {
	snapshot, err := e.snapshot(ctx, prefix)
	return snapshot.Records, err
}

func (e *etcd) snapshot(ctx context.Context, prefix string) (Snapshot, error) {
	var answer RangeResponse
	request := RangeRequest{Key: []byte(prefix), RangeEnd: prefixEnd(prefix)}
	if err := e.read(ctx, PathRange, request, &answer); err != nil {
		return Snapshot{}, err
	}
	records := make([]Record, 0, len(answer.KVs))
	for _, kv := range answer.KVs {
		records = append(records, kv.record())
	}
	return Snapshot{Records: records, Revision: answer.Header.Revision}, nil
}

func (e *etcd) swap(ctx context.Context, swap Swap) (Record, error) {
	if len(swap.Value) > MaxValueBytes {
		return Record{}, errors.Annotatef(ErrTooLarge, "swap %s: %d bytes", swap.Key, len(swap.Value))
	}
	put := Op{Put: &PutRequest{Key: []byte(swap.Key), Value: swap.Value, Lease: swap.Lease.Number}}
	answer, err := e.txn(ctx, swap.Key, swap.Revision, put)
	if err != nil {
		return Record{}, err
	}
	return Record{Key: swap.Key, Value: swap.Value, Revision: answer.Header.Revision}, nil
}

func (e *etcd) remove(ctx context.Context, key string, revision int64) error {
	_, err := e.txn(ctx, key, revision, Op{DeleteRange: &DeleteRangeRequest{Key: []byte(key)}})
	return err
}

// txn executes op if the key is at the revision, and returns ErrConflict if it is not.
func (e *etcd) txn(ctx context.Context, key string, revision int64, op Op) (TxnResponse, error) {
	request := TxnRequest{
		Compare: []Compare{{Target: "MOD", Result: "EQUAL", Key: []byte(key), ModRevision: revision}},
		Success: []Op{op},
	}
	var answer TxnResponse
	if err := e.change(ctx, PathTxn, request, &answer); err != nil {
		return answer, errors.Annotatef(err, "change %s", key)
	}
	if !answer.Succeeded {
		return answer, errors.Annotatef(ErrConflict, "change %s from revision %d", key, revision)
	}
	return answer, nil
}

// grant rounds the TTL up to whole seconds, etcd's unit.
func (e *etcd) grant(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	var answer LeaseResponse
	seconds := int64((ttl + time.Second - 1) / time.Second)
	err := e.change(ctx, PathGrant, LeaseRequest{TTL: seconds}, &answer)
	return LeaseID{Number: answer.ID}, err
}

func (e *etcd) renew(ctx context.Context, id LeaseID) error {
	var answer struct {
		Result LeaseResponse `json:"result"`
	}
	if err := e.change(ctx, PathRenew, LeaseRequest{ID: id.Number}, &answer); err != nil {
		return err
	}
	if answer.Result.TTL <= 0 {
		return errors.Annotatef(ErrLeaseLost, "renew lease %d", id.Number)
	}
	return nil
}

func (e *etcd) revoke(ctx context.Context, id LeaseID) error {
	var answer LeaseResponse
	return e.change(ctx, PathRevoke, LeaseRequest{ID: id.Number}, &answer)
}

// prefixEnd returns the first key after all keys that begin with prefix.
func prefixEnd(prefix string) []byte {
	end := []byte(prefix)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return end[:i+1]
		}
	}
	return []byte{0}
}
