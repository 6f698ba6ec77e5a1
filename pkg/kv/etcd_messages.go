package kv

// The messages below are the part of etcd's v3 JSON mapping that this package uses: bytes are base64,
// 64-bit integers are strings, and default values are omitted.

// Header is part of each answer.
type Header struct {
	Revision int64 `json:"revision,string,omitempty"`
}

// KeyValue is one key as the service reports it.
type KeyValue struct {
	Key         []byte `json:"key"`
	Value       []byte `json:"value,omitempty"`
	ModRevision int64  `json:"mod_revision,string,omitempty"`
	Version     int64  `json:"version,string,omitempty"`
	Lease       int64  `json:"lease,string,omitempty"`
}

func (k KeyValue) record() Record {
	return Record{Key: string(k.Key), Value: k.Value, Revision: k.ModRevision, Version: k.Version}
}

// RangeRequest reads the keys from Key up to RangeEnd.
type RangeRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end,omitempty"`
}

// RangeResponse answers a RangeRequest.
type RangeResponse struct {
	Header Header     `json:"header"`
	KVs    []KeyValue `json:"kvs,omitempty"`
}

// PutRequest sets a key.
type PutRequest struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value,omitempty"`
	Lease int64  `json:"lease,string,omitempty"`
}

// DeleteRangeRequest removes a key.
type DeleteRangeRequest struct {
	Key []byte `json:"key"`
}

// Op is one step of a transaction.
type Op struct {
	Put         *PutRequest         `json:"request_put,omitempty"`
	DeleteRange *DeleteRangeRequest `json:"request_delete_range,omitempty"`
}

// Compare is the condition of a transaction: the key's last change is at ModRevision.
type Compare struct {
	Target      string `json:"target"`
	Result      string `json:"result"`
	Key         []byte `json:"key"`
	ModRevision int64  `json:"mod_revision,string"`
}

// TxnRequest executes Success if all conditions of Compare hold.
type TxnRequest struct {
	Compare []Compare `json:"compare"`
	Success []Op      `json:"success"`
}

// TxnResponse answers a TxnRequest.
type TxnResponse struct {
	Header    Header `json:"header"`
	Succeeded bool   `json:"succeeded,omitempty"`
}

// LeaseRequest grants (TTL, in seconds), renews or revokes (ID) a lease.
type LeaseRequest struct {
	ID  int64 `json:"ID,string,omitempty"`
	TTL int64 `json:"TTL,string,omitempty"`
}

// LeaseResponse answers a LeaseRequest; a TTL (in seconds) of 0 means that the lease has ended.
type LeaseResponse struct {
	ID  int64 `json:"ID,string,omitempty"`
	TTL int64 `json:"TTL,string,omitempty"`
}

// WatchRequest opens a watch.
type WatchRequest struct {
	Create WatchCreate `json:"create_request"`
}

// WatchCreate names what to watch, and from which revision on.
type WatchCreate struct {
	Key           []byte `json:"key"`
	RangeEnd      []byte `json:"range_end,omitempty"`
	StartRevision int64  `json:"start_revision,string,omitempty"`
}

// WatchResponse is one message of a watch's stream.
type WatchResponse struct {
	Result WatchResult `json:"result"`
}

// WatchResult holds the events of one message.
type WatchResult struct {
	Header   Header       `json:"header"`
	Created  bool         `json:"created,omitempty"`
	Canceled bool         `json:"canceled,omitempty"`
	Events   []WatchEvent `json:"events,omitempty"`
}

// WatchEvent is a PUT, whose type is omitted, or a DELETE.
type WatchEvent struct {
	Type string   `json:"type,omitempty"`
	KV   KeyValue `json:"kv"`
}
